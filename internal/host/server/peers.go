package server

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopwall/hyssopwall/internal/entry/poison"
	"github.com/hyssopwall/hyssopwall/internal/entry/route"
	"github.com/hyssopwall/hyssopwall/internal/fleet/identity"
	"github.com/hyssopwall/hyssopwall/internal/fleet/link"
	"github.com/hyssopwall/hyssopwall/internal/platform/hostlist"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// The times of the exchange between hosts.
const (
	helloEvery   = time.Second
	helloTimeout = 900 * time.Millisecond
	peerExpiry   = 3 * time.Second // silence after which a host counts as failed
	listEvery    = 5 * time.Second // between two looks at the platform's host list
)

// hopCost is the cost of sending a request to another zone.
const hopCost = 5 * time.Millisecond

// peers knows the other hosts: it exchanges a hello with each every second.
type peers struct {
	server *Server
	lister hostlist.Lister

	counted int // live hosts at the last round; only the duty uses it

	mu        sync.Mutex
	addresses map[string]bool // link addresses to say hello to
	known     map[string]*peer
	pickers   map[string]*route.Picker // homes of the other zones
	news      time.Time                // last sign of the platform, seen here or at a peer
}

// peer is another host and what it last said.
type peer struct {
	hello
	seen time.Time
	down bool
}

func newPeers(s *Server) *peers {
	p := &peers{
		server:    s,
		lister:    &hostlist.Client{Base: s.config.Settings.Platform, Source: s.config.Settings.Host},
		addresses: make(map[string]bool),
		known:     make(map[string]*peer),
		pickers:   make(map[string]*route.Picker),
		news:      time.Now(),
	}
	for _, address := range s.config.Settings.Peers {
		p.addresses[address] = true
	}
	p.serve()
	return p
}

func (p *peers) serve() {
	link.Serve(p.server.endpoint, helloKind, func(_ context.Context, from identity.Host, h hello) (hello, error) {
		p.learn(from, h)
		return p.own(), nil
	})
	link.Serve(p.server.endpoint, marksKind, func(_ context.Context, _ identity.Host, marks poison.Marks) (none, error) {
		p.server.poison.Merge(time.Now(), marks.List)
		return none{}, nil
	})
}

// run is the duty that says hello.
func (p *peers) run(ctx context.Context) {
	ticker := time.NewTicker(helloEvery)
	defer ticker.Stop()
	listed := time.Time{}
	for {
		if time.Since(listed) >= listEvery {
			listed = time.Now()
			go p.list(ctx)
		}
		p.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// list takes the platform's host list as a hint of whom to say hello to.
func (p *peers) list(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	hosts, err := p.lister.Hosts(ctx)
	if err != nil {
		return
	}
	p.heard()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, host := range hosts {
		p.addresses[host.Address] = true
	}
}

// round says hello to every known address at once.
func (p *peers) round(ctx context.Context) {
	own := p.own()
	p.learnOwn(own)
	var group sync.WaitGroup
	for _, address := range p.targets() {
		group.Go(func() { p.greet(ctx, address, own) })
	}
	group.Wait()
	p.expire()
	p.server.spread.Rank(p.rank())
	p.server.gate.ExpireGrace(p.cutOff(), time.Now())
	if now := p.count(); now != p.counted {
		p.counted = now
		p.server.reshare()
	}
}

// shareMemory is how long a host of another zone that is silent still counts
// for the division of limits: it may be cut off and serving.
const shareMemory = time.Hour

// count returns the number of hosts among which limits are divided, this one
// included: the live ones of this zone, and those of other zones that may be
// serving.
func (p *peers) count() int {
	zone := p.server.config.Settings.Zone
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := 1
	for _, peer := range p.known {
		silent := peer.down && (peer.Zone == zone || time.Since(peer.seen) > shareMemory)
		if !peer.Leaving && !silent {
			sum++
		}
	}
	return sum
}

// rank returns the place of this host among the live hosts of its zone, by
// name; a host that stops has none.
func (p *peers) rank() int {
	return slices.Index(slices.Sorted(slices.Values(p.zoneHosts())), p.server.config.Settings.Host)
}

func (p *peers) targets() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	self := p.server.endpoint.Address()
	var all []string
	for address := range p.addresses {
		if address != self {
			all = append(all, address)
		}
	}
	return all
}

func (p *peers) greet(ctx context.Context, address string, own hello) {
	ctx, stop := context.WithTimeout(ctx, helloTimeout)
	defer stop()
	h, err := link.Call[hello, hello](ctx, p.server.endpoint, address, helloKind, own)
	if err != nil {
		return
	}
	p.learn(identity.Host{Name: h.Host, Zone: h.Zone}, h)
}

func (p *peers) own() hello {
	s := p.server
	h := hello{
		Host: s.config.Settings.Host, Zone: s.config.Settings.Zone, Address: s.endpoint.Address(),
		Version: s.spread.Version(), Age: p.age(), Leaving: s.draining.Load(), Summaries: s.home.Summaries(),
		Process: s.incarnation,
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for address := range p.addresses {
		h.Known = append(h.Known, address)
	}
	return h
}

// learnOwn takes this host's own summaries in.
func (p *peers) learnOwn(h hello) {
	p.server.picker.LearnHost(time.Now(), h.Host, h.Summaries)
}

// learn takes a hello in. The certificate of the peer proves who it is.
func (p *peers) learn(from identity.Host, h hello) {
	if h.Host != from.Name || h.Zone != from.Zone {
		return
	}
	now := time.Now()
	p.mu.Lock()
	old := p.known[h.Host]
	joined := old == nil || old.down
	p.known[h.Host] = &peer{hello: h, seen: now}
	p.addresses[h.Address] = true
	for _, address := range h.Known {
		p.addresses[address] = true
	}
	p.mu.Unlock()
	p.server.spread.Hear(h.Address, h.Version)
	if joined {
		p.server.config.Log.Emit(event.PeerJoined, "host", h.Host, "zone", h.Zone)
	}
	p.learnNews(h.Age)
	if h.Leaving {
		p.pickerOf(h.Zone).Forget(h.Host)
		return
	}
	p.pickerOf(h.Zone).LearnHost(now, h.Host, h.Summaries)
}

// expire marks silent hosts as failed.
func (p *peers) expire() {
	for _, peer := range p.silent() {
		p.pickerOf(peer.Zone).Forget(peer.Host)
		p.server.config.Log.Emit(event.PeerFailed, "host", peer.Host, "zone", peer.Zone)
	}
}

// silent marks and returns the hosts that have just been silent for too long.
func (p *peers) silent() []*peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var failed []*peer
	for _, peer := range p.known {
		if !peer.down && time.Since(peer.seen) > peerExpiry {
			peer.down = true
			failed = append(failed, peer)
		}
	}
	return failed
}

// leave tells every peer that this host takes no more work.
func (p *peers) leave(ctx context.Context) { p.round(ctx) }

// heard notes a sign of the platform.
func (p *peers) heard() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.news = time.Now()
}

// freshFor is how long a sign of the platform counts as news.
const freshFor = 15 * time.Second

// age returns the time since the last sign of the platform.
func (p *peers) age() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.news)
}

// learnNews takes the age of the news that a peer has, which needs no common
// clock. A peer passes on how long ago the platform was heard and not that it
// is fresh, since hosts of a cut-off zone would keep each other fresh for ever.
func (p *peers) learnNews(age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at := time.Now().Add(-max(0, age)); at.After(p.news) {
		p.news = at
	}
}

// cutOff returns since when this host has been cut off from news, zero while
// it is not. A host that reaches every other zone, none of which has news
// either, is not cut off: the platform is down, and no document can have been
// accepted that would withdraw a key.
func (p *peers) cutOff() time.Time {
	age := p.age()
	if age < freshFor || p.reachesAll() {
		return time.Time{}
	}
	return time.Now().Add(-age)
}

// reachesAll reports whether a live host of every other zone is known.
func (p *peers) reachesAll() bool {
	index := p.server.index.Load()
	if index == nil {
		return false
	}
	for _, zone := range index.Document.Zones {
		if zone.Name == p.server.config.Settings.Zone {
			continue
		}
		if _, ok := p.Gateway(zone.Name); !ok {
			return false
		}
	}
	return true
}

func (p *peers) live(accept func(*peer) bool) []*peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []*peer
	for _, peer := range p.known {
		if !peer.down && !peer.Leaving && accept(peer) {
			copied := *peer
			all = append(all, &copied)
		}
	}
	slices.SortFunc(all, func(a, b *peer) int { return cmp.Compare(a.Host, b.Host) })
	return all
}

// zoneHosts returns the live hosts of this zone, this one included unless it
// stops.
func (p *peers) zoneHosts() []string {
	set := p.server.config.Settings
	var names []string
	if !p.server.draining.Load() {
		names = append(names, set.Host)
	}
	for _, peer := range p.live(func(peer *peer) bool { return peer.Zone == set.Zone }) {
		names = append(names, peer.Host)
	}
	return names
}

// Address returns the link address of a live host.
func (p *peers) Address(host string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.known[host]
	if peer == nil || peer.down {
		return "", false
	}
	return peer.Address, true
}

// Hops returns the totals of the other zones that serve a pool, those with the
// most free slots first.
func (p *peers) Hops(pool string) []route.Hop {
	now := time.Now()
	var hops []route.Hop
	for zone, picker := range p.zonePickers() {
		if total := picker.Total(now, zone, pool); total.Slots > 0 {
			hops = append(hops, route.Hop{Total: total, Cost: hopCost})
		}
	}
	slices.SortFunc(hops, func(a, b route.Hop) int {
		return cmp.Or(cmp.Compare(b.Total.Slots-b.Total.Running, a.Total.Slots-a.Total.Running), cmp.Compare(a.Total.Zone, b.Total.Zone))
	})
	return hops
}

func (p *peers) zonePickers() map[string]*route.Picker {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.pickers)
}

// pickerOf returns what is known of the homes of a zone.
func (p *peers) pickerOf(zone string) *route.Picker {
	if zone == p.server.config.Settings.Zone {
		return &p.server.picker
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	picker := p.pickers[zone]
	if picker == nil {
		picker = &route.Picker{}
		p.pickers[zone] = picker
	}
	return picker
}

// Gateway returns the link address of a live host of another zone.
func (p *peers) Gateway(zone string) (string, bool) {
	hosts := p.live(func(peer *peer) bool { return peer.Zone == zone })
	if len(hosts) == 0 {
		return "", false
	}
	at := xxhash.Sum64String(p.server.config.Settings.Host) % uint64(len(hosts))
	return hosts[at].Address, true
}

// Mates returns the live hosts that should keep copies for a key: hosts of
// other zones first, in an order that all hosts agree on.
func (p *peers) Mates(key string) []string {
	zone := p.server.config.Settings.Zone
	hosts := p.live(func(*peer) bool { return true })
	slices.SortFunc(hosts, func(a, b *peer) int {
		return cmp.Or(
			compareBool(a.Zone == zone, b.Zone == zone),
			cmp.Compare(xxhash.Sum64String(key+a.Host), xxhash.Sum64String(key+b.Host)),
		)
	})
	names := make([]string, len(hosts))
	for i, host := range hosts {
		names[i] = host.Host
	}
	return names
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// spreadMarks tells every live host of new suspicions and convictions.
func (p *peers) spreadMarks(marks []poison.Mark) {
	for _, peer := range p.live(func(*peer) bool { return true }) {
		go func() {
			ctx, stop := context.WithTimeout(context.Background(), helloTimeout)
			defer stop()
			_, _ = link.Call[poison.Marks, none](ctx, p.server.endpoint, peer.Address, marksKind, poison.Marks{List: marks})
		}()
	}
}
