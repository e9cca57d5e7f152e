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

// The times of the exchange between hosts.
const (
	helloEvery   = time.Second
	helloTimeout = 900 * time.Millisecond
	peerExpiry   = 3 * time.Second // silence after which a host counts as failed
	listEvery    = 5 * time.Second // between two looks at the platform's host list
)

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
	link.Serve(p.server.endpoint, marksKind, func(_ context.Context, _ identity.Host, marks poison.Marks) (reach.None, error) {
		p.server.poison.Merge(time.Now(), marks.List)
		return reach.None{}, nil
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
	p.server.spread.SetRank(p.rank())
	p.server.gate.ExpireGrace(p.cutOff(), time.Now())
	if now := p.count(); now != p.counted {
		p.counted = now
		p.server.reshare()
	}
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
	p.server.picker.UpdateHost(time.Now(), h.Host, h.Summaries)
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
	p.server.spread.ReportPeerVersion(h.Address, h.Version)
	if joined {
		p.server.config.Log.Emit(event.PeerJoined, "host", h.Host, "zone", h.Zone)
	}
	p.learnNews(h.Age)
	if h.Leaving {
		p.pickerOf(h.Zone).RemoveHost(h.Host)
		return
	}
	p.pickerOf(h.Zone).UpdateHost(now, h.Host, h.Summaries)
}

// expire marks silent hosts as failed.
func (p *peers) expire() {
	for _, peer := range p.silent() {
		p.pickerOf(peer.Zone).RemoveHost(peer.Host)
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

// spreadMarks tells every live host of new suspicions and convictions.
func (p *peers) spreadMarks(marks []poison.Mark) {
	for _, peer := range p.live(func(*peer) bool { return true }) {
		go func() {
			ctx, stop := context.WithTimeout(context.Background(), helloTimeout)
			defer stop()
			_, _ = link.Call[poison.Marks, reach.None](ctx, p.server.endpoint, peer.Address, marksKind, poison.Marks{List: marks})
		}()
	}
}
