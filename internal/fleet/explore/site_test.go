package explore_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/billing/usage"
	"github.com/hyssopwall/hyssopwall/internal/entry/claim"
	"github.com/hyssopwall/hyssopwall/internal/fleet/commit"
	"github.com/hyssopwall/hyssopwall/internal/fleet/explore"
	"github.com/hyssopwall/hyssopwall/internal/fleet/lease"
	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/platform/report"
)

// site is two zones of four hosts with a virtual clock, joined by direct
// calls. Each zone can be cut off from the platform and from the other.
type site struct {
	mu       sync.Mutex
	now      time.Duration
	store    explore.FakeStore
	platform map[string]bool // zones cut off from it
	zones    bool            // zones cut off from each other
	hosts    []*host
	dead     map[string]bool
	taken    map[string]uint64 // requests reported, by report
	added    uint64
}

type host struct {
	site    *site
	self    view.Member
	zone    string
	session lease.Session
	duty    lease.Duty
	keeper  *claim.Manager
	client  *claim.Client
	meter   *usage.Meter
	sealer  *usage.Sealer
}

var origin = time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)

func newSite(ctx context.Context) *site {
	s := &site{platform: map[string]bool{}, taken: map[string]uint64{}}
	for _, zone := range []string{"a", "b"} {
		for n := range 4 {
			s.hosts = append(s.hosts, s.newHost(zone, n))
		}
	}
	for _, h := range s.hosts {
		go h.meter.Run(ctx)
	}
	return s
}

func (s *site) newHost(zone string, n int) *host {
	h := &host{site: s, zone: zone, self: view.Member{Host: fmt.Sprintf("%s%d", zone, n), Incarnation: 1}}
	h.session = lease.Session{Host: h.self.Host, Incarnation: 1}
	h.duty = lease.Duty{Name: usage.Duty}
	book := &view.Cache{}
	h.keeper = &claim.Manager{
		Self: h.self, Zone: zone, Store: door{&s.store, h}, Peers: claims{h}, Clock: s, Fleet: h,
		HomeShards: []string{"shard-" + zone}, Book: book,
	}
	h.client = &claim.Client{Self: h.self, Manager: h.keeper, Peers: claims{h}, Book: book}
	h.meter = &usage.Meter{Self: h.self, Peers: counts{h}, Hosts: h.reachable, Alive: h.Alive, Now: s.wall}
	h.sealer = &usage.Sealer{
		Self: h.self, Store: door{&s.store, h}, Sink: h, Leases: h, Peers: counts{h}, Hosts: h.reachable, Now: s.wall,
	}
	return h
}

// Now implements claim.Clock.
func (s *site) Now() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

func (s *site) wall() time.Time { return origin.Add(s.Now()) }

func (s *site) cut(platform []string, zones bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.zones = zones
	s.platform = map[string]bool{}
	for _, zone := range platform {
		s.platform[zone] = true
	}
}

// fail stops a host for good.
func (s *site) fail(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dead = map[string]bool{name: true}
}

func (s *site) find(m view.Member) *host {
	at := slices.IndexFunc(s.hosts, func(h *host) bool { return h.self == m })
	return s.hosts[at]
}

// Alive implements claim.Fleet: a host takes for dead what it can't reach.
func (h *host) Alive(m view.Member) bool {
	h.site.mu.Lock()
	defer h.site.mu.Unlock()
	return !h.site.dead[m.Host] && (strings.HasPrefix(m.Host, h.zone) || !h.site.zones)
}

// ConfirmedDead implements claim.Fleet.
func (h *host) ConfirmedDead(view.Member) bool { return false }

// Hosts implements claim.Fleet.
func (h *host) Hosts(string) []view.Member {
	var near []view.Member
	for _, other := range h.site.hosts {
		if other.zone == h.zone && h.Alive(other.self) {
			near = append(near, other.self)
		}
	}
	return near
}

func (h *host) reachable() []view.Member {
	var all []view.Member
	for _, other := range h.site.hosts {
		if h.Alive(other.self) {
			all = append(all, other.self)
		}
	}
	return all
}

// Held implements usage.Leases.
func (h *host) Held(string) (lease.Grant, bool) { return h.duty.Held(h.session, h.site.Now()) }

// Do implements usage.Leases.
func (h *host) Do(ctx context.Context, duty string, send func(context.Context, lease.Grant) error) error {
	grant, ok := h.Held(duty)
	if !ok {
		return &lease.NotHeldError{Duty: duty}
	}
	return send(ctx, grant)
}

// Send implements report.Sink.
func (h *host) Send(_ context.Context, r report.Report) error {
	if err := h.outage(); err != nil {
		return err
	}
	sum := uint64(0)
	for _, line := range r.Lines {
		sum += line.Requests
	}
	if before, ok := h.site.taken[r.ID]; ok && before != sum {
		return fmt.Errorf("report %s came with %d after %d", r.ID, sum, before)
	}
	h.site.taken[r.ID] = sum
	return nil
}

func (h *host) outage() error {
	h.site.mu.Lock()
	defer h.site.mu.Unlock()
	if h.site.platform[h.zone] {
		return &object.OutageError{Err: errors.New("cut off")}
	}
	return nil
}

// door is the platform as a host reaches it.
type door struct {
	*explore.FakeStore
	host *host
}

func (d door) Get(ctx context.Context, key string) (object.Object, error) {
	if err := d.host.outage(); err != nil {
		return object.Object{}, err
	}
	return d.FakeStore.Get(ctx, key)
}

func (d door) Put(ctx context.Context, key string, value []byte, expect uint64) (object.Object, error) {
	if err := d.host.outage(); err != nil {
		return object.Object{}, err
	}
	return d.FakeStore.Put(ctx, key, value, expect)
}

var errCut = errors.New("cut off")

type claims struct{ *host }

func (c claims) Claim(ctx context.Context, to view.Member, r claim.Request) (claim.Reply, error) {
	if !c.Alive(to) {
		return claim.Reply{}, errCut
	}
	return c.site.find(to).keeper.Claim(ctx, r), nil
}

func (c claims) Finish(ctx context.Context, to view.Member, f claim.Finish) error {
	if !c.Alive(to) {
		return errCut
	}
	return c.site.find(to).keeper.Finish(ctx, f)
}

func (c claims) Copy(_ context.Context, to view.Member, m claim.Copy) (claim.CopyReply, error) {
	if !c.Alive(to) {
		return claim.CopyReply{}, errCut
	}
	return c.site.find(to).keeper.Copy(m)
}

type counts struct{ *host }

func (c counts) Copy(_ context.Context, to view.Member, m usage.Copy) error {
	if !c.Alive(to) {
		return errCut
	}
	c.site.find(to).meter.Copy(m)
	return nil
}

func (c counts) Collect(_ context.Context, from view.Member, open usage.Window) (usage.Holdings, error) {
	if !c.Alive(from) {
		return usage.Holdings{}, errCut
	}
	return c.site.find(from).meter.Collect(open), nil
}

func (c counts) Cover(_ context.Context, to view.Member, m usage.Cover) error {
	if !c.Alive(to) {
		return errCut
	}
	c.site.find(to).meter.Cover(m)
	return nil
}

// leases makes the calls of a host's session and duty that are due.
func (h *host) leases(ctx context.Context, contend bool) {
	now := h.site.Now()
	var (
		call commit.Call
		ok   bool
	)
	if h.session, call, ok = h.session.Next(h.duty.Wants(now), now); ok {
		h.session = h.session.Done(commit.Do(ctx, door{&h.site.store, h}, call), now)
	}
	if h.duty, call, ok = h.duty.Next(h.session, contend, now); ok {
		h.duty = h.duty.Done(commit.Do(ctx, door{&h.site.store, h}, call), now)
	}
}

// holders returns the zones of the hosts that hold the duty now.
func (s *site) holders() []string {
	var zones []string
	for _, h := range s.hosts {
		if _, ok := h.Held(usage.Duty); ok {
			zones = append(zones, h.zone)
		}
	}
	return zones
}

// pass lets the first host of each zone contend for the duty, each half second.
// It returns the most hosts that held the duty at once.
func (s *site) pass(ctx context.Context, by time.Duration, contend func(*host) bool) int {
	most := 0
	for end := s.Now() + by; s.Now() < end; {
		s.mu.Lock()
		s.now += 500 * time.Millisecond
		s.mu.Unlock()
		for _, h := range s.hosts {
			if h.self.Host[1] == '0' {
				h.leases(ctx, contend(h))
			}
		}
		most = max(most, len(s.holders()))
	}
	return most
}

// look lets every host look after its shards and tell the others their views.
func (s *site) look(ctx context.Context) {
	for range 4 {
		for _, h := range s.hosts {
			if !h.Alive(h.self) {
				continue
			}
			h.keeper.Tick(ctx).Wait()
			for _, v := range h.keeper.Book.All() {
				for _, m := range h.reachable() {
					s.find(m).keeper.Learn(v)
				}
			}
		}
	}
}
