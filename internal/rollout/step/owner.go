package step

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/rollout/sample"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// Store is the part of the platform's object API that an owner uses.
type Store interface {
	Get(ctx context.Context, key string) (object.Object, error)
	Put(ctx context.Context, key string, value []byte, expect uint64) (object.Object, error)
}

// Copies keeps the plan and the last chunks of a step on another host or in a
// data folder. It need not be reliable: what it loses is generated again.
type Copies interface {
	Save(ctx context.Context, key string, data []byte) error
	Load(ctx context.Context, key string) ([]byte, error)
}

// Generator runs the work of a step on engines.
type Generator interface {
	// Engines returns what can take new work for the model now.
	Engines(model string) []Engine
	// Generate runs one work to its end. It calls progress with the tokens so
	// far and the versions that the stream has named. A canceled context
	// cancels the generation. A *MovedError carries what a reclaimed engine
	// exported.
	Generate(ctx context.Context, work Assignment, progress func(tokens int, versions []uint64)) (sample.Sample, error)
}

// Weights tells the newest weight version that the weight store has shown.
type Weights interface {
	Newest(model string) uint64
}

// Clock is the owner's time.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// Capacities of the owner's rings. A full ring makes callers and generators
// wait; reports of progress are dropped and counted instead, since the next
// one repeats them.
const (
	messageCapacity = 256
	maxScoringCalls = 16 // scoring calls in flight
)

// tick is the longest time between two looks at engines and waiting pulls.
const pollInterval = 250 * time.Millisecond

// Config is what an owner needs. Scorer may be nil when no plan asks for
// scores; History may be nil.
type Config struct {
	Self      string   // name of this host
	CopyHosts []string // hosts that hold the copies, as the step object names them
	Store     Store
	Copies    Copies
	Generator Generator
	Scorer    Scorer
	Weights   Weights
	Clock     Clock
	Policy    Policy
	History   *History
	Log       event.Log
}

// message is what reaches the owner's goroutine.
type message interface {
	apply(o *Owner)
}

// Owner runs one step on this host: one goroutine owns the ledger, and
// everything else reaches it through a bounded ring.
type Owner struct {
	config Config
	ledger *Ledger
	id     ID

	messages chan message
	dropped  atomic.Uint64
	ctx      context.Context
	stop     context.CancelFunc
	done     chan struct{}
	workers  sync.WaitGroup

	version       uint64 // of the step object
	writing       bool
	nextWrite     time.Time // no write before
	writeFailures int
	pulls         []*pullCall
	cancelCalls   []cancelCall // calls of Cancel that wait for the platform
	cancelFuncs   map[string]context.CancelFunc
	scoring       map[string]bool
	fenced        *FencedError
	dirty         bool
	doneLogged    bool
}

// ClosedError says that the owner was closed while the call waited.
type ClosedError struct {
	ID ID
}

func (e *ClosedError) Error() string { return "owner of step " + e.ID.Key() + " was closed" }

func (o *Owner) run() {
	defer close(o.done)
	o.dirty = true
	timer := o.config.Clock.After(pollInterval)
	for o.fenced == nil {
		o.advance()
		select {
		case <-o.ctx.Done():
			o.failPulls(&ClosedError{ID: o.id})
			return
		case m := <-o.messages:
			m.apply(o)
		case <-timer:
			o.dirty = true
			timer = o.config.Clock.After(pollInterval)
		}
	}
	o.config.Log.Emit(event.StepFenced, "step", o.id.Key(), "owner", o.fenced.Owner)
	o.failPulls(o.fenced)
}

// finish ends every call and every generation.
func (o *Owner) failPulls(err error) {
	o.stop()
	for _, p := range o.pulls {
		p.reply <- pullReply{err: err}
	}
	o.pulls = nil
}

// work does what the state asks for: answer pulls, write, assign and score.
func (o *Owner) advance() {
	if o.config.Weights != nil {
		o.ledger.ObserveVersion(o.config.Weights.Newest(o.ledger.plan.Model))
	}
	o.servePulls()
	o.write()
	o.answerCancels()
	if o.dirty {
		o.dirty = false
		o.assign()
		o.score()
	}
	for _, id := range o.ledger.DrainCancels() {
		if cancel := o.cancelFuncs[id]; cancel != nil {
			cancel()
		}
	}
	if !o.doneLogged && o.ledger.AllDelivered() {
		o.doneLogged = true
		o.config.Log.Emit(event.StepDone, "step", o.id.Key())
	}
}

func (o *Owner) assign() {
	now := o.config.Clock.Now()
	for _, assignment := range o.ledger.Assign(now, o.config.Generator.Engines(o.ledger.plan.Model)) {
		ctx, cancel := context.WithCancel(o.ctx)
		o.cancelFuncs[assignment.Attempt] = cancel
		o.workers.Add(1)
		go o.generate(ctx, assignment)
	}
}

func (o *Owner) generate(ctx context.Context, assignment Assignment) {
	defer o.workers.Done()
	s, err := o.config.Generator.Generate(ctx, assignment, func(tokens int, versions []uint64) {
		o.trySend(progressMessage{assignment.Attempt, tokens, versions})
	})
	_ = o.send(o.ctx, generatedMessage{assignment.Attempt, assignment.Engine, s, err}) //nolint:contextcheck // the result of a canceled attempt counts too
}

// send waits for room in the ring.
func (o *Owner) send(ctx context.Context, m message) error {
	select {
	case o.messages <- m:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-o.done:
		return o.closeError()
	}
}

// offer drops the message when the ring is full.
func (o *Owner) trySend(m message) {
	select {
	case o.messages <- m:
	default:
		o.dropped.Add(1)
	}
}

// end returns why the owner has ended. It is called after done is closed.
func (o *Owner) closeError() error {
	if o.fenced != nil {
		return o.fenced
	}
	return &ClosedError{ID: o.id}
}

// Done is closed when the owner has stopped: after Close, or when another
// owner has taken the step over.
func (o *Owner) Done() <-chan struct{} { return o.done }

// Close stops the owner and its generations. The step stays in the platform.
func (o *Owner) Close() error {
	o.stop()
	<-o.done
	o.workers.Wait()
	return nil
}
