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

// pollEvery is the time between two reports of an engine, pollTimeout the
// longest wait for one.
const (
	pollEvery   = 500 * time.Millisecond
	pollTimeout = 2 * time.Second
)

// SetServers replaces the backend servers that this host is home to. Requests
// that run on one that is gone go on.
func (h *Home) SetServers(servers []Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := make(map[string]*backend, len(servers))
	described := make([]route.Server, 0, len(servers))
	for _, s := range servers {
		next[s.Name] = h.keep(s)
		described = append(described, describe(s))
	}
	for name, old := range h.servers {
		if next[name] != old {
			old.stop()
		}
	}
	h.servers = next
	h.engines.SetServers(described)
	for _, s := range servers {
		h.engines.SetLeaving(s.Name, s.Leaving)
	}
}

// keep returns the known backend when only its state changed, or a new one.
func (h *Home) keep(s Server) *backend {
	old := h.servers[s.Name]
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

func describe(s Server) route.Server {
	slots := engineSlots
	if s.Kind == document.Service {
		slots = serviceSlots
	}
	return route.Server{Name: s.Name, Pool: s.Pool, Slots: slots, Speed: firstSpeed, Durable: !s.Spot}
}

// poll is the duty that reads the reports and cache events of one engine.
func (h *Home) poll(ctx context.Context, name string, e engine.Engine) {
	ticker := time.NewTicker(pollEvery)
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

func (h *Home) pollOnce(ctx context.Context, name string, e engine.Engine, after uint64) uint64 {
	ctx, stop := context.WithTimeout(ctx, pollTimeout)
	defer stop()
	state, err := e.State(ctx)
	if err != nil {
		return after
	}
	state.Name = name
	h.engines.ApplyState(h.config.Now(), state)
	events, err := e.CacheEvents(ctx, after)
	if err != nil {
		return after
	}
	next, _ := h.engines.ApplyCacheEvents(name, events)
	return next
}

// SetWorkspaceWeights replaces the weights of workspaces in the fair queue.
func (h *Home) SetWorkspaceWeights(weights map[string]int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.weights = weights
	for _, q := range h.queues {
		q.SetWeights(weights)
	}
}

func (h *Home) backend(name string) (*backend, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b, ok := h.servers[name]
	return b, ok
}

func (h *Home) queueOf(pool string) *queue.Queue {
	h.mu.Lock()
	defer h.mu.Unlock()
	q := h.queues[pool]
	if q == nil {
		q = queue.New(queue.Config{Weights: h.weights})
		h.queues[pool] = q
	}
	return q
}

func (h *Home) allQueues() []*queue.Queue {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Collect(maps.Values(h.queues))
}

// Servers returns the state of every backend server of this home.
func (h *Home) Servers() []route.State { return h.engines.States() }

// Running returns the number of requests that run or wait here.
func (h *Home) Running() int { return int(h.running.Load()) }

// Summaries returns one summary for each pool of this home.
func (h *Home) Summaries() []route.Summary {
	now := h.config.Now()
	var all []route.Summary
	for pool := range h.pools() {
		load := h.queueOf(pool).Load()
		queued := route.QueueLoad{Backlog: load.Backlog, Waits: load.Waits}
		all = append(all, h.engines.Summarize(now, h.config.Host, h.config.Zone, pool, queued))
	}
	return all
}

func (h *Home) pools() map[string]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	pools := make(map[string]bool)
	for _, b := range h.servers {
		pools[b.Pool] = true
	}
	return pools
}

// Apply sends a command to an engine of this home and holds it from new work
// meanwhile when the command changes its weights.
func (h *Home) Apply(ctx context.Context, server string, command engine.Command) error {
	b, ok := h.backend(server)
	if !ok || b.engine == nil {
		return errors.New("no such engine at this home")
	}
	return b.engine.Apply(ctx, command)
}
