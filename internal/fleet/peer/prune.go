package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// Limits of a Pruner.
const (
	// probeInterval is the time between two probes of a host. With it each host is probed by
	// about one other host a second, whatever the number of hosts.
	probeInterval = time.Second
	// probeCallTimeout bounds a probe. A host with a fraction of a core answers later than the
	// network alone allows.
	probeCallTimeout = 700 * time.Millisecond
	// maxReprobes is the number of hosts that missed their latest call and are probed again in
	// one interval, beside the next host in turn.
	maxReprobes = 3
	// pruneAfter is how long a host has to be silent before its object is removed: well above
	// the partitions, freezes and restarts that hosts come back from by themselves.
	pruneAfter = 20 * time.Second
	// zonePruneAfter is the same if no host of its zone answers. The zone may be cut off from
	// this one, and its hosts would write their objects again and again.
	zonePruneAfter = 5 * time.Minute
	// pruneTimeout bounds the call that removes an object.
	pruneTimeout = 2 * time.Second
)

// Pruner probes the other hosts and removes the objects of those that are gone for good, so that
// they no longer count in ranks. A host that is removed although it runs writes its object again
// (see Directory.KeepRegistered). Set the exported fields, then call Run.
type Pruner struct {
	Directory *Directory
	Store     object.Writer
	// Probe calls a host. The outcome is recorded by Call.
	Probe func(ctx context.Context, host string) error
	// First returns hosts that are probed more often than in turn, for the decisions of this
	// host that depend on them; optional.
	First func() []string
	// MayRemove reports whether this host reaches the store.
	MayRemove func() bool
	Log       event.Log

	turn, firstTurn int
}

// Run probes hosts and removes the objects of those that are gone until the context ends.
func (p *Pruner) Run(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, host := range p.next() {
			go p.probe(ctx, host)
		}
		if !p.MayRemove() {
			continue
		}
		for _, gone := range p.Directory.gone(time.Now()) {
			p.remove(ctx, gone)
		}
	}
}

// probe calls a host once.
func (p *Pruner) probe(ctx context.Context, host string) {
	ctx, cancel := context.WithTimeout(ctx, probeCallTimeout)
	defer cancel()
	_ = p.Probe(ctx, host) // its outcome is recorded by Call
}

// next returns the hosts to probe now: the next in an order of this host's own, the next of
// First, and some that missed their latest call.
func (p *Pruner) next() []string {
	d := p.Directory
	var all []string
	for _, h := range d.Ranked(d.Self.Name) {
		if h.Name != d.Self.Name {
			all = append(all, h.Name)
		}
	}
	if len(all) == 0 {
		return nil
	}
	p.turn++
	names := []string{all[p.turn%len(all)]}
	if p.First != nil {
		if first := p.First(); len(first) > 0 {
			p.firstTurn++
			names = append(names, first[p.firstTurn%len(first)])
		}
	}
	names = append(names, d.missed(maxReprobes)...)
	slices.Sort(names)
	return slices.Compact(names)
}

// missed returns up to count listed hosts that missed their latest call, drawn at random.
func (d *Directory) missed(count int) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for name, c := range d.contacts {
		if _, listed := d.hosts[name]; listed && c.misses > 0 {
			names = append(names, name)
		}
	}
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(count, len(names))]
}

// listedHost is a host and the version of its object.
type listedHost struct {
	Host
	version uint64
}

// gone returns the hosts whose objects may be removed: those that have been silent for
// pruneAfter, or for zonePruneAfter if no host of their zone answers. It returns none while no
// host answers.
func (d *Directory) gone(now time.Time) []listedHost {
	d.mu.Lock()
	defer d.mu.Unlock()
	zoneAnswers := map[string]bool{d.Self.Zone: true}
	for name, c := range d.contacts {
		if now.Sub(c.answered) < pruneAfter {
			zoneAnswers[d.hosts[name].Zone] = true
		}
	}
	var found []listedHost
	for _, name := range d.silent(now) {
		h, listed := d.hosts[name]
		limit := zonePruneAfter
		if zoneAnswers[h.Zone] {
			limit = pruneAfter
		}
		if listed && name != d.Self.Name && d.contacts[name].silentFor() >= limit {
			found = append(found, listedHost{h, d.versions[name]})
		}
	}
	return found
}

// remove removes the object of a host unless it has changed. What fails is tried again.
func (p *Pruner) remove(ctx context.Context, gone listedHost) {
	ctx, cancel := context.WithTimeout(ctx, pruneTimeout)
	defer cancel()
	err := p.Store.Delete(ctx, KeyPrefix+gone.Name, gone.version)
	if _, conflict := errors.AsType[*object.ConflictError](err); conflict || err == nil {
		p.Directory.forget(gone.Name) // a changed object is that of a new process
	}
	if err == nil {
		p.Log.Emit(event.HostRemoved, "host", gone.Name, "zone", gone.Zone, "address", gone.Address)
	}
}

// forget drops what calls to a host have shown.
func (d *Directory) forget(host string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.contacts, host)
}
