package server

import (
	"context"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/entry/poison"
	"github.com/hyssopwall/hyssopwall/internal/entry/route"
	"github.com/hyssopwall/hyssopwall/internal/fleet/identity"
	"github.com/hyssopwall/hyssopwall/internal/fleet/link"
	"github.com/hyssopwall/hyssopwall/internal/host/reach"
	"github.com/hyssopwall/hyssopwall/internal/platform/hostlist"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// Intervals and timeouts of the exchange between hosts.
const (
	helloInterval    = time.Second
	helloTimeout     = 900 * time.Millisecond
	peerExpiry       = 3 * time.Second // time without a hello after which a host counts as failed
	hostListInterval = 5 * time.Second // between two reads of the platform's host list
)

// peers tracks the other hosts. It exchanges a hello with each of them every second.
type peers struct {
	server *Server
	lister hostlist.Lister

	lastSharers int // limitSharers after the last exchange; only run's goroutine uses it

	mu         sync.Mutex
	addresses  map[string]bool          // link addresses that get a hello
	known      map[string]*peer         // by host, including leaving and failed ones
	pickers    map[string]*route.Picker // of the other zones, by zone
	lastUpdate time.Time                // last update from the platform, here or at a peer; the start counts as one
}

// peer is another host with its last hello.
type peer struct {
	hello
	lastSeen time.Time // when the last hello came
	down     bool      // counts as failed, because no hello came for longer than peerExpiry
}

// newPeers returns the peers of a host, starting from the addresses in its settings,
// and answers the calls of other hosts.
func newPeers(s *Server) *peers {
	p := &peers{
		server:     s,
		lister:     &hostlist.Client{Base: s.config.Settings.Platform, Source: s.config.Settings.Host},
		addresses:  make(map[string]bool),
		known:      make(map[string]*peer),
		pickers:    make(map[string]*route.Picker),
		lastUpdate: time.Now(),
	}
	for _, address := range s.config.Settings.Peers {
		p.addresses[address] = true
	}
	p.serve()
	return p
}

// serve answers the hellos and the poison marks of other hosts.
func (p *peers) serve() {
	link.Serve(p.server.endpoint, helloKind, func(_ context.Context, sender identity.Host, h hello) (hello, error) {
		p.applyHello(sender, h)
		return p.ownHello(), nil
	})
	link.Serve(p.server.endpoint, marksKind, func(_ context.Context, _ identity.Host, marks poison.Marks) (reach.None, error) {
		p.server.poison.Merge(time.Now(), marks.List)
		return reach.None{}, nil
	})
}

// run exchanges hellos and reads the platform's host list until ctx ends.
func (p *peers) run(ctx context.Context) {
	ticker := time.NewTicker(helloInterval)
	defer ticker.Stop()
	listed := time.Time{}
	for {
		if time.Since(listed) >= hostListInterval {
			listed = time.Now()
			go p.refreshAddresses(ctx)
		}
		p.exchangeHellos(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// refreshAddresses adds the addresses of the platform's host list to those that get a
// hello. The list is only a hint: it says nothing about which hosts are live. A
// successful read counts as an update from the platform.
func (p *peers) refreshAddresses(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	hosts, err := p.lister.Hosts(ctx)
	if err != nil {
		return
	}
	p.recordUpdate()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, host := range hosts {
		p.addresses[host.Address] = true
	}
}

// exchangeHellos sends a hello to all addresses in parallel and waits for the answers.
// It then marks silent hosts as failed and updates everything that depends on the set
// of live hosts or on the age of the last update.
func (p *peers) exchangeHellos(ctx context.Context) {
	own := p.ownHello()
	p.updateOwnSummaries(own)
	var group sync.WaitGroup
	for _, address := range p.helloTargets() {
		group.Go(func() { p.sendHello(ctx, address, own) })
	}
	group.Wait()
	p.expireSilent()
	p.server.spread.SetRank(p.rank())
	p.server.gate.ExpireGrace(p.cutOffSince(), time.Now())
	if now := p.limitSharers(); now != p.lastSharers {
		p.lastSharers = now
		p.server.updateShares()
	}
}

// helloTargets returns all known addresses except this host's.
func (p *peers) helloTargets() []string {
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

// sendHello sends a hello to an address and applies the answer.
func (p *peers) sendHello(ctx context.Context, address string, own hello) {
	ctx, stop := context.WithTimeout(ctx, helloTimeout)
	defer stop()
	h, err := link.Call[hello, hello](ctx, p.server.endpoint, address, helloKind, own)
	if err != nil {
		return
	}
	p.applyHello(identity.Host{Name: h.Host, Zone: h.Zone}, h)
}

// ownHello returns the current hello of this host.
func (p *peers) ownHello() hello {
	s := p.server
	h := hello{
		Host: s.config.Settings.Host, Zone: s.config.Settings.Zone, Address: s.endpoint.Address(),
		Version: s.spread.Version(), UpdateAge: p.updateAge(), Leaving: s.draining.Load(), Summaries: s.home.Summaries(),
		Incarnation: s.incarnation,
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for address := range p.addresses {
		h.Known = append(h.Known, address)
	}
	return h
}

// updateOwnSummaries updates the picker of this host's zone with the summaries of its own
// pools.
func (p *peers) updateOwnSummaries(h hello) {
	p.server.picker.UpdateHost(time.Now(), h.Host, h.Summaries)
}

// applyHello records a hello and updates the picker of its zone. A hello that names
// another host or zone than the sender's is ignored. For a received call, sender is the
// identity in the peer's certificate. For an answer, it is what the hello itself names.
func (p *peers) applyHello(sender identity.Host, h hello) {
	if h.Host != sender.Name || h.Zone != sender.Zone {
		return
	}
	now := time.Now()
	p.mu.Lock()
	old := p.known[h.Host]
	joined := old == nil || old.down
	p.known[h.Host] = &peer{hello: h, lastSeen: now}
	p.addresses[h.Address] = true
	for _, address := range h.Known {
		p.addresses[address] = true
	}
	p.mu.Unlock()
	p.server.spread.ReportPeerVersion(h.Address, h.Version)
	if joined {
		p.server.config.Log.Emit(event.PeerJoined, "host", h.Host, "zone", h.Zone)
	}
	p.mergeUpdateAge(h.UpdateAge)
	if h.Leaving {
		p.pickerFor(h.Zone).RemoveHost(h.Host)
		return
	}
	p.pickerFor(h.Zone).UpdateHost(now, h.Host, h.Summaries)
}

// expireSilent marks silent hosts as failed and removes them from the pickers.
func (p *peers) expireSilent() {
	for _, peer := range p.markSilent() {
		p.pickerFor(peer.Zone).RemoveHost(peer.Host)
		p.server.config.Log.Emit(event.PeerFailed, "host", peer.Host, "zone", peer.Zone)
	}
}

// markSilent marks the hosts without a hello for longer than peerExpiry as failed, and
// returns those that were not marked before.
func (p *peers) markSilent() []*peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var failed []*peer
	for _, peer := range p.known {
		if !peer.down && time.Since(peer.lastSeen) > peerExpiry {
			peer.down = true
			failed = append(failed, peer)
		}
	}
	return failed
}

// announceLeaving tells every peer that this host accepts no more work. The draining
// flag must be set before.
func (p *peers) announceLeaving(ctx context.Context) { p.exchangeHellos(ctx) }

// broadcastMarks sends new suspicions and convictions of requests to every live host.
// It does not wait for the answers, and ignores errors.
func (p *peers) broadcastMarks(marks []poison.Mark) {
	for _, peer := range p.live(func(*peer) bool { return true }) {
		go func() {
			ctx, stop := context.WithTimeout(context.Background(), helloTimeout)
			defer stop()
			_, _ = link.Call[poison.Marks, reach.None](ctx, p.server.endpoint, peer.Address, marksKind, poison.Marks{List: marks})
		}()
	}
}
