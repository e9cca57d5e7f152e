// Package home runs requests on the backend servers that this host is home to. It
// queues requests fairly by workspace, chooses a backend server, passes the answer on,
// and tracks the state of each backend server.
//
// Homes make routing efficient and must not be relied on for safety: another host with
// a different view of the membership may use the same backend servers.
package home

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/backend/service"
	"github.com/hyssopwall/hyssopwall/internal/entry/queue"
	"github.com/hyssopwall/hyssopwall/internal/entry/route"
	"github.com/hyssopwall/hyssopwall/internal/host/forward"
	"github.com/hyssopwall/hyssopwall/internal/site/document"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// maxEngineSlots and maxServiceSlots are the largest numbers of requests that this home runs
// at once on a backend server, also if an engine reports more slots. An engine that has not
// reported yet, and a service, which never does, count as having that many. initialSpeed is
// the assumed speed of one stream of a backend server, in tokens per second, until it has
// been measured.
const (
	maxEngineSlots  = 64
	maxServiceSlots = 128
	initialSpeed    = 100
)

// moveInterval is the time between two searches for waiting requests that no backend
// server of this home may run any more.
const moveInterval = 250 * time.Millisecond

// reasonMoved is the reason for shedding a request that needs another home.
const reasonMoved = "home moved"

// sweepInterval is the time between two checks for waiting requests whose backend
// servers may have become free, or which can no longer meet their deadline.
const sweepInterval = 20 * time.Millisecond

// Dialer creates the clients of backend servers.
type Dialer interface {
	Engine(address string) engine.Engine
	Service(address string) service.Caller
}

// Server is a backend server that this host is home to.
type Server struct {
	Name    string
	Pool    string
	Kind    document.Kind
	Address string
	Spot    bool // may be reclaimed on short notice; gets idempotent requests only
	Leaving bool // gets no new requests
}

// Config is the configuration of a home. Host and Zone name its host.
type Config struct {
	Host   string
	Zone   string
	Dialer Dialer
	Now    func() time.Time
	Log    event.Log
}

// Home queues and runs the requests of one host's backend servers. Use New.
type Home struct {
	config  Config
	servers route.Servers

	mu       sync.Mutex
	backends map[string]*backend
	queues   map[string]*queue.Queue // by pool
	weights  map[string]int          // by workspace

	draining atomic.Bool
	running  atomic.Int64 // requests that wait or run
	cancel   context.CancelFunc
	done     chan struct{}
}

// backend is a backend server and its client; exactly one client is set.
type backend struct {
	Server
	engine  engine.Engine
	service service.Caller
	stop    context.CancelFunc
}

// job is a request that waits or runs at this home. Either reserved or shed receives one
// value when the job leaves the queue, unless withdraw removed it.
type job struct {
	task     forward.Task
	prefixes []uint64
	reserved chan reservation
	shed     chan queue.RefusedError
}

// reservation is the slot that was reserved for a job, and the job's queue item.
type reservation struct {
	choice route.Choice
	item   queue.Item
}

// New returns a running home without backend servers. Close stops it.
func New(config Config) *Home {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Home{
		config:   config,
		backends: make(map[string]*backend),
		queues:   make(map[string]*queue.Queue),
		cancel:   cancel,
		done:     make(chan struct{}),
	}
	go h.sweep(ctx)
	return h
}

// Done returns a channel that is closed once Close has ended the checks of waiting
// requests. Running requests may not have ended by then.
func (h *Home) Done() <-chan struct{} { return h.done }

// Close stops the home. Waiting requests are refused; running requests end with their
// own contexts.
func (h *Home) Close() {
	h.Drain()
	h.cancel()
	<-h.done
	h.SetServers(nil)
}

// Drain refuses new and waiting requests; running requests continue to their end.
func (h *Home) Drain() {
	h.draining.Store(true)
	for _, q := range h.allQueues() {
		notifyShed(q.Close())
	}
}

// sweep checks the waiting requests at regular intervals until ctx ends.
func (h *Home) sweep(ctx context.Context) {
	defer close(h.done)
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	moves := time.NewTicker(moveInterval)
	defer moves.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.sweepQueues()
		case <-moves.C:
			h.shedUnservable()
		}
	}
}

// shedUnservable refuses waiting requests that no backend server of this home may run
// any more, because the home or the servers have changed. The hosts that sent them
// choose another home.
func (h *Home) shedUnservable() {
	for _, q := range h.allQueues() {
		notifyShed(q.ShedFunc(reasonMoved, func(item queue.Item) bool {
			j, isJob := item.Value.(*job)
			return isJob && !h.servers.HasEligible(routeNeed(j.task, nil))
		}))
	}
}

// sweepQueues sheds waiting requests that can't meet their deadline, and starts those
// that a backend server can take.
func (h *Home) sweepQueues() {
	now := h.config.Now()
	for _, q := range h.allQueues() {
		notifyShed(q.Sweep(now))
		h.startWaiting(q)
	}
}
