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

// The duties that one host of the fleet holds at a time.
const (
	dutyWeights = "weights"
	dutyOrder   = "order"
	dutyUsage   = usage.Duty
)

// contenders is the number of hosts that contend for a duty; each reads the
// platform regularly.
const contenders = 3

// newHolder returns the holder of this host's leases.
func (s *Server) newHolder() *lease.Holder {
	return &lease.Holder{
		Host: s.config.Settings.Host, Incarnation: s.incarnation, Store: s.store, Clock: lease.BootClock{},
		Config: s.config.Lease, Duties: []string{dutyWeights, dutyOrder, dutyUsage}, Contend: s.contends, Log: s.config.Log,
	}
}

func (s *Server) contends(duty string) bool {
	if s.ready() != nil {
		return false
	}
	hosts := []string{s.config.Settings.Host}
	for _, peer := range s.peers.live(func(*peer) bool { return true }) {
		hosts = append(hosts, peer.Host)
	}
	return lease.IsCandidate(duty, s.config.Settings.Host, hosts, contenders)
}

// dutyLease is the lease of one duty as a duty asks for it.
type dutyLease struct {
	holder *lease.Holder
	duty   string
}

// Held returns the fencing number and the end of this host's belief.
func (l dutyLease) Held(now time.Time) (epoch uint64, until time.Time, ok bool) {
	grant, ok := l.holder.Held(l.duty)
	if !ok {
		return 0, time.Time{}, false
	}
	return grant.Epoch, now.Add(grant.Until - l.holder.Clock.Now()), true
}

// clock is the real time of duties.
type clock struct{}

// Now returns the current time.
func (clock) Now() time.Time { return time.Now() }

// After returns a channel that gets the time after d.
func (clock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// rolls runs the weight roll-out of each model of the document in force.
type rolls struct {
	server *Server

	mu     sync.Mutex
	duties map[string]*weights.Duty
	closed bool
}

// set starts the roll-out of each engine pool and stops those that are gone.
func (r *rolls) set(ctx context.Context, doc document.Document) {
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

func (r *rolls) start(ctx context.Context, pool document.Pool) *weights.Duty {
	duty := &weights.Duty{
		Model:  pool.Name,
		Fleet:  &engines{server: r.server},
		Store:  &weightstore.Client{Base: r.server.config.Settings.Platform, Source: r.server.config.Settings.Host},
		Lease:  dutyLease{holder: r.server.leases, duty: dutyWeights},
		Clock:  clock{},
		Policy: weights.Policy{MinServingShare: pool.MinServingShare},
		Log:    r.server.config.Log,
	}
	duty.Start(ctx)
	return duty
}

func (r *rolls) close() {
	r.mu.Lock()
	r.closed = true
	duties := r.duties
	r.duties = nil
	r.mu.Unlock()
	for _, duty := range duties {
		_ = duty.Close()
	}
}
