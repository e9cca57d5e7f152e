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

// site is two zones of four hosts with a virtual clock. The hosts reach each other
// by direct calls. Each zone can be cut off from the platform and from the other
// zone.
type site struct {
	mu          sync.Mutex
	now         time.Duration
	store       explore.FakeStore
	platformCut map[string]bool // zones cut off from the platform
	zonesCut    bool            // zones cut off from each other
	hosts       []*host
	failed      map[string]bool
	reported    map[string]uint64 // requests, by the ID of their report
	counted     uint64            // requests counted by the hosts
}

type host struct {
	site    *site
	self    view.Member
	zone    string
	session lease.Session
	duty    lease.Duty
	manager *claim.Manager
	client  *claim.Client
	meter   *usage.Meter
	sealer  *usage.Sealer
}

var origin = time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)

// newSite returns a site without faults. Its meters run until ctx ends.
func newSite(ctx context.Context) *site {
	s := &site{platformCut: map[string]bool{}, reported: map[string]uint64{}}
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
	cache := &view.Cache{}
	h.manager = &claim.Manager{
		Self: h.self, Zone: zone, Store: reachableStore{&s.store, h}, Peers: claims{h}, Clock: s, Fleet: h,
		HomeShards: []string{"shard-" + zone}, Views: cache,
	}
	h.client = &claim.Client{Self: h.self, Manager: h.manager, Peers: claims{h}, Views: cache}
	h.meter = &usage.Meter{Self: h.self, Peers: counts{h}, Hosts: h.reachable, Alive: h.Alive, Now: s.wallTime}
	h.sealer = &usage.Sealer{
		Self: h.self, Store: reachableStore{&s.store, h}, Sink: h, Leases: h, Peers: counts{h}, Hosts: h.reachable, Now: s.wallTime,
	}
	return h
}

// Now implements claim.Clock.
func (s *site) Now() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

// wallTime returns the virtual time as a date.
func (s *site) wallTime() time.Time { return origin.Add(s.Now()) }

// setCuts cuts the given zones off from the platform, and the zones from each other
// if zones is set. It heals all other cuts.
func (s *site) setCuts(platform []string, zones bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.zonesCut = zones
	s.platformCut = map[string]bool{}
	for _, zone := range platform {
		s.platformCut[zone] = true
	}
}

// fail stops a host permanently.
func (s *site) fail(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = map[string]bool{name: true}
}

// find returns the host of a member.
func (s *site) find(m view.Member) *host {
	at := slices.IndexFunc(s.hosts, func(h *host) bool { return h.self == m })
	return s.hosts[at]
}

// Alive implements claim.Fleet. A host assumes that hosts it can't reach have
// failed.
func (h *host) Alive(m view.Member) bool {
	h.site.mu.Lock()
	defer h.site.mu.Unlock()
	return !h.site.failed[m.Host] && (strings.HasPrefix(m.Host, h.zone) || !h.site.zonesCut)
}

// ConfirmedDead implements claim.Fleet.
func (h *host) ConfirmedDead(view.Member) bool { return false }

// Hosts implements claim.Fleet.
func (h *host) Hosts(string) []view.Member {
	var members []view.Member
	for _, other := range h.site.hosts {
		if other.zone == h.zone && h.Alive(other.self) {
			members = append(members, other.self)
		}
	}
	return members
}

// reachable returns the hosts that h can reach, itself included.
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
	if before, ok := h.site.reported[r.ID]; ok && before != sum {
		return fmt.Errorf("report %s has %d requests, but had %d before", r.ID, sum, before)
	}
	h.site.reported[r.ID] = sum
	return nil
}

// outage returns an error while the host's zone is cut off from the platform.
func (h *host) outage() error {
	h.site.mu.Lock()
	defer h.site.mu.Unlock()
	if h.site.platformCut[h.zone] {
		return &object.OutageError{Err: errors.New("cut off")}
	}
	return nil
}

// reachableStore is the platform for one host. Calls fail while the host's zone is
// cut off.
type reachableStore struct {
	*explore.FakeStore
	host *host
}

func (d reachableStore) Get(ctx context.Context, key string) (object.Object, error) {
	if err := d.host.outage(); err != nil {
		return object.Object{}, err
	}
	return d.FakeStore.Get(ctx, key)
}

func (d reachableStore) Put(ctx context.Context, key string, value []byte, expect uint64) (object.Object, error) {
	if err := d.host.outage(); err != nil {
		return object.Object{}, err
	}
	return d.FakeStore.Put(ctx, key, value, expect)
}

var errCut = errors.New("cut off")

// claims implements claim.Peers by direct calls.
type claims struct{ *host }

func (c claims) Claim(ctx context.Context, to view.Member, r claim.Request) (claim.Reply, error) {
	if !c.Alive(to) {
		return claim.Reply{}, errCut
	}
	return c.site.find(to).manager.Claim(ctx, r), nil
}

func (c claims) Finish(ctx context.Context, to view.Member, f claim.Finish) error {
	if !c.Alive(to) {
		return errCut
	}
	return c.site.find(to).manager.Finish(ctx, f)
}

func (c claims) Copy(_ context.Context, to view.Member, m claim.Copy) (claim.CopyReply, error) {
	if !c.Alive(to) {
		return claim.CopyReply{}, errCut
	}
	return c.site.find(to).manager.Copy(m)
}

// counts implements usage.Peers by direct calls.
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

// tickLeases makes the calls of a host's session and duty that are due.
func (h *host) tickLeases(ctx context.Context, contend bool) {
	now := h.site.Now()
	var (
		call commit.Call
		ok   bool
	)
	if h.session, call, ok = h.session.Next(h.duty.NeedsSession(now), now); ok {
		h.session = h.session.Apply(commit.Do(ctx, reachableStore{&h.site.store, h}, call), now)
	}
	if h.duty, call, ok = h.duty.Next(h.session, contend, now); ok {
		h.duty = h.duty.Apply(commit.Do(ctx, reachableStore{&h.site.store, h}, call), now)
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

// advance advances the clock by half a second at a time. Each time, the first host
// of each zone makes the lease calls that are due, and contends for the duty if
// contend returns true for it. It returns the largest number of hosts that held the
// duty at once.
func (s *site) advance(ctx context.Context, by time.Duration, contend func(*host) bool) int {
	most := 0
	for end := s.Now() + by; s.Now() < end; {
		s.mu.Lock()
		s.now += 500 * time.Millisecond
		s.mu.Unlock()
		for _, h := range s.hosts {
			if h.self.Host[1] == '0' {
				h.tickLeases(ctx, contend(h))
			}
		}
		most = max(most, len(s.holders()))
	}
	return most
}

// tickManagers lets every host maintain its shards and send its views to the others.
func (s *site) tickManagers(ctx context.Context) {
	for range 4 {
		for _, h := range s.hosts {
			if !h.Alive(h.self) {
				continue
			}
			h.manager.Tick(ctx).Wait()
			for _, v := range h.manager.Views.All() {
				for _, m := range h.reachable() {
					s.find(m).manager.MergeView(v)
				}
			}
		}
	}
}
