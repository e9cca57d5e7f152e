package home

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/entry/queue"
	"github.com/hyssopwall/hyssopwall/internal/entry/route"
	"github.com/hyssopwall/hyssopwall/internal/site/document"
)

// pollInterval is the time between two polls of an engine; pollTimeout limits one poll.
const (
	pollInterval = 500 * time.Millisecond
	pollTimeout  = 2 * time.Second
)

// SetServers replaces the backend servers that this host is home to. Requests that run
// on a removed server continue.
func (h *Home) SetServers(servers []Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := make(map[string]*backend, len(servers))
	described := make([]route.Server, 0, len(servers))
	for _, s := range servers {
		next[s.Name] = h.backendFor(s)
		described = append(described, routeServer(s))
	}
	for name, old := range h.backends {
		if next[name] != old {
			old.stop()
		}
	}
	h.backends = next
	h.servers.SetServers(described)
	for _, s := range servers {
		h.servers.SetLeaving(s.Name, s.Leaving)
	}
}

// backendFor returns the existing backend of a server if its address and pool are the
// same, and a new one otherwise. For a new engine it starts polling; the caller stops
// the polling by the old backend. The caller holds h.mu.
func (h *Home) backendFor(s Server) *backend {
	old := h.backends[s.Name]
	if old != nil && old.Address == s.Address && old.Pool == s.Pool {
		old.Server = s
		return old
	}
	ctx, stop := context.WithCancel(context.Background())
	b := &backend{Server: s, stop: stop}
	if s.Kind == document.Engine {
		b.engine = h.config.Dialer.Engine(s.Address)
		go h.poll(ctx, s.Name, b.engine)
	} else {
		b.service = h.config.Dialer.Service(s.Address)
	}
	return b
}

// routeServer returns a server for routing, with its maximum of slots and initial speed.
func routeServer(s Server) route.Server {
	slots := maxEngineSlots
	if s.Kind == document.Service {
		slots = maxServiceSlots
	}
	return route.Server{Name: s.Name, Pool: s.Pool, Slots: slots, Speed: initialSpeed, Durable: !s.Spot}
}

// poll reads the state and cache events of an engine until ctx ends.
func (h *Home) poll(ctx context.Context, name string, e engine.Engine) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	after := uint64(0)
	for {
		after = h.pollOnce(ctx, name, e, after)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// pollOnce reads the state of an engine and its cache events after the given sequence
// number. It returns the sequence number after which to read on.
func (h *Home) pollOnce(ctx context.Context, name string, e engine.Engine, after uint64) uint64 {
	ctx, stop := context.WithTimeout(ctx, pollTimeout)
	defer stop()
	state, err := e.State(ctx)
	if err != nil {
		return after
	}
	state.Name = name
	h.servers.ApplyState(h.config.Now(), state)
	events, err := e.CacheEvents(ctx, after)
	if err != nil {
		return after
	}
	next, _ := h.servers.ApplyCacheEvents(name, events)
	return next
}

// SetWorkspaceWeights replaces the weights of workspaces in the fair queues of all
// pools. A workspace without a weight has weight 1.
func (h *Home) SetWorkspaceWeights(weights map[string]int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.weights = weights
	for _, q := range h.queues {
		q.SetWeights(weights)
	}
}

// backend returns the backend server with the given name, if this host is its home.
func (h *Home) backend(name string) (*backend, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b, ok := h.backends[name]
	return b, ok
}

// queueFor returns the queue of a pool and creates it on first use.
func (h *Home) queueFor(pool string) *queue.Queue {
	h.mu.Lock()
	defer h.mu.Unlock()
	q := h.queues[pool]
	if q == nil {
		q = queue.New(queue.Config{Weights: h.weights})
		h.queues[pool] = q
	}
	return q
}

// allQueues returns the queues of all pools.
func (h *Home) allQueues() []*queue.Queue {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Collect(maps.Values(h.queues))
}

// Servers returns the state of every backend server of this home.
func (h *Home) Servers() []route.State { return h.servers.States() }

// Running returns the number of requests that run or wait at this home.
func (h *Home) Running() int { return int(h.running.Load()) }

// Summaries returns a summary of load and capacity for each pool of this home.
func (h *Home) Summaries() []route.Summary {
	now := h.config.Now()
	var all []route.Summary
	for pool := range h.pools() {
		load := h.queueFor(pool).Load()
		queued := route.QueueLoad{Backlog: load.Backlog, Waits: load.Waits}
		all = append(all, h.servers.Summarize(now, h.config.Host, h.config.Zone, pool, queued))
	}
	return all
}

// pools returns the set of pools that have backend servers at this home.
func (h *Home) pools() map[string]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	pools := make(map[string]bool)
	for _, b := range h.backends {
		pools[b.Pool] = true
	}
	return pools
}

// Apply sends a command to an engine of this home. It returns the engine's error, such as
// an *engine.RefusedError, and an error of no particular type if it has no such engine.
func (h *Home) Apply(ctx context.Context, server string, command engine.Command) error {
	b, ok := h.backend(server)
	if !ok || b.engine == nil {
		return errors.New("no such engine at this home")
	}
	return b.engine.Apply(ctx, command)
}
