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

// Kind is the call that asks a peer for a document.
const Kind = "spread"

// tickPeriod is how often a fetch without an answer is looked at.
const tickPeriod = 500 * time.Millisecond

// EventCapacity is how many events wait for the duty. What peers showed is
// dropped when it is full, because they show it again every second; other
// events wait.
const EventCapacity = 64

// Config is what the duty is started with.
type Config struct {
	Endpoint *link.Endpoint
	// Platform is read and watched by the hosts of the lowest ranks.
	Platform object.Reader
	Folder   Folder
	Log      event.Log
}

// Runner is the goroutine that owns the state of a host.
type Runner struct {
	config  Config
	events  chan Event
	asks    chan ask
	dropped atomic.Uint64
	current atomic.Pointer[Accepted]
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
	done    chan struct{}
	unwatch context.CancelFunc

	mu          sync.Mutex
	subscribers map[chan Accepted]struct{}
}

// ask is the request of a peer on its way to the duty.
type ask struct {
	request Request
	reply   chan Reply
}

// Start loads the data folder, serves peers, and runs until Close.
func Start(config Config) *Runner {
	d := &Runner{
		config:      config,
		events:      make(chan Event, EventCapacity),
		asks:        make(chan ask),
		done:        make(chan struct{}),
		subscribers: make(map[chan Accepted]struct{}),
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	state := &State{}
	if kept, err := config.Folder.Load(); err == nil {
		d.do(state.Step(DocumentRead{Accepted: kept}, time.Now()))
	}
	link.Serve(config.Endpoint, Kind, d.serve)
	go d.run(state)
	return d
}

func (d *Runner) run(state *State) {
	defer close(d.done)
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case e := <-d.events:
			d.do(state.Step(e, time.Now()))
		case a := <-d.asks:
			a.reply <- state.Answer(a.request)
		case <-ticker.C:
			d.do(state.Step(Tick{}, time.Now()))
		case <-d.ctx.Done():
			d.tasks.Wait()
			return
		}
	}
}

func (d *Runner) do(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Fetch:
			d.tasks.Go(func() { d.fetch(a) })
		case Watch:
			d.watch(a.On)
		case Apply:
			d.apply(a.Accepted)
		case Diverged:
			d.config.Log.Emit(event.ConfigurationDiverged, "version", a.Version)
		}
	}
}

func (d *Runner) fetch(a Fetch) {
	ctx, cancel := context.WithTimeout(d.ctx, fetchTimeout)
	defer cancel()
	reply, err := link.Call[Request, Reply](ctx, d.config.Endpoint, a.Address, Kind, Request{Have: a.Have})
	d.put(Fetched{Address: a.Address, Reply: reply, Err: err})
}

// put hands over an event and waits for room.
func (d *Runner) put(e Event) {
	select {
	case d.events <- e:
	case <-d.ctx.Done():
	}
}

func (d *Runner) serve(ctx context.Context, _ identity.Host, request Request) (Reply, error) {
	a := ask{request: request, reply: make(chan Reply, 1)}
	select {
	case d.asks <- a:
		return <-a.reply, nil
	case <-ctx.Done():
		return Reply{}, context.Cause(ctx)
	case <-d.ctx.Done():
		return Reply{}, link.ErrClosed
	}
}

func (d *Runner) apply(accepted Accepted) {
	d.current.Store(&accepted)
	d.config.Log.Emit(event.ConfigurationApplied, "version", accepted.Version, "by", accepted.By)
	if err := d.config.Folder.Save(accepted); err != nil {
		d.config.Log.Emit(event.DataFolderFailed, "err", err.Error())
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for subscriber := range d.subscribers {
		replaceNewest(subscriber, accepted)
	}
}

// replaceNewest puts the document into a channel of capacity one, in place of
// one that was not taken yet.
func replaceNewest(subscriber chan Accepted, accepted Accepted) {
	select {
	case <-subscriber:
	default:
	}
	subscriber <- accepted
}

// Close ends the duty and waits for its goroutines.
func (d *Runner) Close() error {
	d.cancel()
	<-d.done
	return nil
}

// Done is closed when the duty has ended.
func (d *Runner) Done() <-chan struct{} { return d.done }
