package spread

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/identity"
	"github.com/hyssopwall/hyssopwall/internal/fleet/link"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// Kind is the kind of the link call that fetches a document from a peer.
const Kind = "spread"

// tickPeriod is the time between two Tick events, at which fetches time out.
const tickPeriod = 500 * time.Millisecond

// EventCapacity is the length of a Runner's event queue. While the queue is full,
// the versions that peers report are dropped, because peers report them again
// every second; other events wait.
const EventCapacity = 64

// Config holds the parameters of a Runner.
type Config struct {
	Endpoint *link.Endpoint
	// Platform is read and watched while the rank of this host is below Watchers;
	// nil for none.
	Platform object.Reader
	Folder   Folder
	Log      event.Log
}

// Runner distributes the configuration on one host: its goroutine owns the State,
// feeds it events and carries out its actions.
type Runner struct {
	config   Config
	events   chan Event
	requests chan pendingRequest
	dropped  atomic.Uint64
	current  atomic.Pointer[Accepted]
	ctx      context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
	done     chan struct{}
	unwatch  context.CancelFunc // stops the watch, nil for none

	mu          sync.Mutex
	subscribers map[chan Accepted]struct{}
}

// pendingRequest is a peer's request that waits for its reply.
type pendingRequest struct {
	request Request
	reply   chan Reply
}

// Start loads the document in the data folder, serves requests of peers, and runs
// until Close.
func Start(config Config) *Runner {
	r := &Runner{
		config:      config,
		events:      make(chan Event, EventCapacity),
		requests:    make(chan pendingRequest),
		done:        make(chan struct{}),
		subscribers: make(map[chan Accepted]struct{}),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	state := &State{}
	if stored, err := config.Folder.Load(); err == nil {
		r.execute(state.Step(DocumentRead{Accepted: stored}, time.Now()))
	}
	link.Serve(config.Endpoint, Kind, r.serve)
	go r.run(state)
	return r
}

// run processes events, requests of peers and ticks until Close.
func (r *Runner) run(state *State) {
	defer close(r.done)
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case e := <-r.events:
			r.execute(state.Step(e, time.Now()))
		case p := <-r.requests:
			p.reply <- state.Answer(p.request)
		case <-ticker.C:
			r.execute(state.Step(Tick{}, time.Now()))
		case <-r.ctx.Done():
			r.tasks.Wait()
			return
		}
	}
}

// execute carries out the actions of a step.
func (r *Runner) execute(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Fetch:
			r.tasks.Go(func() { r.fetch(a) })
		case Watch:
			r.watch(a.On)
		case Apply:
			r.apply(a.Accepted)
		case Diverged:
			r.config.Log.Emit(event.ConfigurationDiverged, "version", a.Version)
		}
	}
}

// fetch asks a peer for the versions after the one in force and enqueues its reply.
func (r *Runner) fetch(a Fetch) {
	ctx, cancel := context.WithTimeout(r.ctx, fetchTimeout)
	defer cancel()
	reply, err := link.Call[Request, Reply](ctx, r.config.Endpoint, a.Address, Kind, Request{Have: a.Have})
	r.enqueue(Fetched{Address: a.Address, Reply: reply, Err: err})
}

// enqueue adds an event to the queue, and waits while the queue is full.
func (r *Runner) enqueue(e Event) {
	select {
	case r.events <- e:
	case <-r.ctx.Done():
	}
}

// serve passes a peer's request to the goroutine that owns the state.
func (r *Runner) serve(ctx context.Context, _ identity.Host, request Request) (Reply, error) {
	p := pendingRequest{request: request, reply: make(chan Reply, 1)}
	select {
	case r.requests <- p:
		return <-p.reply, nil
	case <-ctx.Done():
		return Reply{}, context.Cause(ctx)
	case <-r.ctx.Done():
		return Reply{}, link.ErrClosed
	}
}

// apply puts a document into force: it stores it in the data folder and passes it
// to the subscribers.
func (r *Runner) apply(accepted Accepted) {
	r.current.Store(&accepted)
	r.config.Log.Emit(event.ConfigurationApplied, "version", accepted.Version, "by", accepted.By)
	if err := r.config.Folder.Save(accepted); err != nil {
		r.config.Log.Emit(event.DataFolderFailed, "err", err.Error())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for subscriber := range r.subscribers {
		sendNewest(subscriber, accepted)
	}
}

// sendNewest puts the document into a channel of capacity one. It replaces a
// document that was not received yet.
func sendNewest(subscriber chan Accepted, accepted Accepted) {
	select {
	case <-subscriber:
	default:
	}
	subscriber <- accepted
}

// Close stops the Runner and waits for its goroutines.
func (r *Runner) Close() error {
	r.cancel()
	<-r.done
	return nil
}

// Done returns a channel that is closed when the Runner has stopped.
func (r *Runner) Done() <-chan struct{} { return r.done }
