// Package home runs the requests of the backend servers that this host is home
// to: it queues them fairly by workspace, chooses the backend server, passes
// the answer on, and keeps what it learns of each backend server.
//
// A home makes routing efficient, never safe: another host with a different
// view may use the same backend servers.
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

// The slots and the speed in tokens a second of a backend server that has not
// reported yet.
const (
	engineSlots  = 64
	serviceSlots = 128
	firstSpeed   = 100
)

// moveEvery is the time between two searches for waiting requests that no
// backend server of this home may run any more.
const moveEvery = 250 * time.Millisecond

// reasonMoved is the reason of a request that has to look for another home.
const reasonMoved = "home moved"

// sweepEvery is the time between two looks at waiting requests whose backend
// servers may have become free, or whose deadline has come out of reach.
const sweepEvery = 20 * time.Millisecond

// Dialer makes the clients of backend servers.
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
	Spot    bool
	Leaving bool
}

// Config is what a home needs from its host.
type Config struct {
	Host   string
	Zone   string
	Dialer Dialer
	Now    func() time.Time
	Log    event.Log
}

// Home is the state of one host's backend servers. Use New.
type Home struct {
	config  Config
	engines route.Engines

	mu      sync.Mutex
	servers map[string]*backend
	queues  map[string]*queue.Queue
	weights map[string]int

	draining atomic.Bool
	running  atomic.Int64
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

// job is a request that waits or runs here.
type job struct {
	task     forward.Task
	prefixes []uint64
	start    chan started
	shed     chan queue.RefusedError
}

// started is a job that was taken from the queue, and its place.
type started struct {
	choice route.Choice
	item   queue.Item
}

// New starts a home without backend servers.
func New(config Config) *Home {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Home{
		config:  config,
		servers: make(map[string]*backend),
		queues:  make(map[string]*queue.Queue),
		cancel:  cancel,
		done:    make(chan struct{}),
	}
	go h.sweep(ctx)
	return h
}

// Done is closed when the home has ended.
func (h *Home) Done() <-chan struct{} { return h.done }

// Close ends the home. Requests that wait are refused; requests that run end
// with their own contexts.
func (h *Home) Close() {
	h.Drain()
	h.cancel()
	<-h.done
	h.SetServers(nil)
}

// Drain refuses new requests and hands back those that wait; running ones end
// by themselves.
func (h *Home) Drain() {
	h.draining.Store(true)
	for _, q := range h.allQueues() {
		notify(q.Close())
	}
}

// sweep is the duty that looks at waiting requests at regular intervals.
func (h *Home) sweep(ctx context.Context) {
	defer close(h.done)
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	moves := time.NewTicker(moveEvery)
	defer moves.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.sweepOnce()
		case <-moves.C:
			h.moveOn()
		}
	}
}

// moveOn refuses waiting requests that no backend server of this home may run
// any more, because the home or the servers have changed. Their hosts look for
// another home.
func (h *Home) moveOn() {
	for _, q := range h.allQueues() {
		notify(q.ShedFunc(reasonMoved, func(item queue.Item) bool {
			j, isJob := item.Value.(*job)
			return isJob && !h.engines.HasEligible(needOf(j.task, nil))
		}))
	}
}

func (h *Home) sweepOnce() {
	now := h.config.Now()
	for _, q := range h.allQueues() {
		notify(q.Sweep(now))
		h.pump(q)
	}
}
