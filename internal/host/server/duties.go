package server

import (
	"context"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/billing/usage"
	"github.com/hyssopwall/hyssopwall/internal/fleet/lease"
	"github.com/hyssopwall/hyssopwall/internal/platform/weightstore"
	"github.com/hyssopwall/hyssopwall/internal/rollout/weights"
	"github.com/hyssopwall/hyssopwall/internal/site/document"
)

// The duties for which one host of the fleet holds a lease at a time.
const (
	dutyWeights = "weights"
	dutyOrder   = "order"
	dutyUsage   = usage.Duty
)

// candidatesPerDuty is the number of hosts that contend for the lease of a duty. It is
// low because each candidate polls the platform.
const candidatesPerDuty = 3

// newHolder returns the lease holder of this host, which contends for all duties.
func (s *Server) newHolder() *lease.Holder {
	return &lease.Holder{
		Host: s.config.Settings.Host, Incarnation: s.incarnation, Store: s.store, Clock: lease.BootClock{},
		Config: s.config.Lease, Duties: []string{dutyWeights, dutyOrder, dutyUsage}, Contend: s.isCandidate, Log: s.config.Log,
	}
}

// isCandidate reports whether this host contends for the lease of a duty. A host that
// is not ready does not.
func (s *Server) isCandidate(duty string) bool {
	if s.ready() != nil {
		return false
	}
	hosts := []string{s.config.Settings.Host}
	for _, peer := range s.peers.live(func(*peer) bool { return true }) {
		hosts = append(hosts, peer.Host)
	}
	return lease.IsCandidate(duty, s.config.Settings.Host, hosts, candidatesPerDuty)
}

// dutyLease gives a duty access to its own lease.
type dutyLease struct {
	holder *lease.Holder
	duty   string
}

// Held returns the epoch of the lease, which fences its holder's writes, and the time
// until which this host may act on it, by the clock that gave now. It returns false if
// this host does not hold the lease.
func (l dutyLease) Held(now time.Time) (epoch uint64, until time.Time, ok bool) {
	grant, ok := l.holder.Held(l.duty)
	if !ok {
		return 0, time.Time{}, false
	}
	return grant.Epoch, now.Add(grant.Until - l.holder.Clock.Now()), true
}

// systemClock is the clock of duties outside tests.
type systemClock struct{}

// Now returns the current time.
func (systemClock) Now() time.Time { return time.Now() }

// After returns a channel that receives the time once d has passed.
func (systemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// rollouts runs the weight roll-out of each engine pool of the current document.
type rollouts struct {
	server *Server

	mu     sync.Mutex
	duties map[string]*weights.Duty
	closed bool
}

// update starts the roll-outs of new engine pools and stops those of removed ones. Those of
// other pools run on with the settings that they were started with.
func (r *rollouts) update(ctx context.Context, doc document.Document) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	wanted := make(map[string]bool)
	for _, pool := range doc.Pools {
		if pool.Kind != document.Engine {
			continue
		}
		wanted[pool.Name] = true
		if r.duties[pool.Name] == nil {
			r.duties[pool.Name] = r.start(ctx, pool)
		}
	}
	for name, duty := range r.duties {
		if !wanted[name] {
			_ = duty.Close()
			delete(r.duties, name)
		}
	}
}

// start starts the roll-out of an engine pool.
func (r *rollouts) start(ctx context.Context, pool document.Pool) *weights.Duty {
	duty := &weights.Duty{
		Model:  pool.Name,
		Fleet:  &fleetEngines{server: r.server},
		Store:  &weightstore.Client{Base: r.server.config.Settings.Platform, Source: r.server.config.Settings.Host},
		Lease:  dutyLease{holder: r.server.leases, duty: dutyWeights},
		Clock:  systemClock{},
		Policy: weights.Policy{MinServingShare: pool.MinServingShare},
		Log:    r.server.config.Log,
	}
	duty.Start(ctx)
	return duty
}

// close stops all roll-outs; update starts none afterwards.
func (r *rollouts) close() {
	r.mu.Lock()
	r.closed = true
	duties := r.duties
	r.duties = nil
	r.mu.Unlock()
	for _, duty := range duties {
		_ = duty.Close()
	}
}
