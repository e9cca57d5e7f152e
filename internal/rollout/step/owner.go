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

// Store is the part of the platform's object API that an Owner uses. Put writes an
// object if its version is still expect, zero for an object that doesn't exist.
type Store interface {
	Get(ctx context.Context, key string) (object.Object, error)
	Put(ctx context.Context, key string, value []byte, expect uint64) (object.Object, error)
}

// Copies stores the plan and the chunks of a step outside the platform, as in the memory of
// several hosts. It need not be reliable: the trainer is asked for a lost plan, and the
// samples of a lost chunk are generated again.
type Copies interface {
	Save(ctx context.Context, key string, data []byte) error
	Load(ctx context.Context, key string) ([]byte, error)
}

// Generator runs the assignments of a step on engines.
type Generator interface {
	// Engines returns the engines of the model that can take new generations now.
	Engines(model string) []Engine
	// Generate runs one assignment to its end. It calls progress with the number of
	// tokens so far, those of a resumed text included, and the weights versions of these
	// tokens. Canceling the context cancels the generation. An *InterruptedError holds the
	// partial text that a reclaimed engine exported.
	Generate(ctx context.Context, work Assignment, progress func(tokens int, versions []uint64)) (sample.Sample, error)
}

// Weights returns the newest weights version that is known from the weight store.
type Weights interface {
	Newest(model string) uint64
}

// Clock is the time source of an Owner.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// Limits of the concurrency of an Owner. If its message queue is full, callers and the
// results of generations, scoring calls and writes wait. Progress reports are dropped and
// counted instead, since the next report includes them, and so are reports of copies that
// could not be saved.
const (
	messageCapacity = 256 // capacity of the message queue
	maxScoringCalls = 16  // scoring calls in flight at once
)

// pollInterval is the longest time between two checks of the engines and waiting pulls.
const pollInterval = 250 * time.Millisecond

// Config holds the parameters and the dependencies of an Owner. Copies, Scorer, Weights
// and History may be nil. Without a Scorer, samples of a plan that asks for scores are
// delivered unscored.
type Config struct {
	Self      string   // name of this host
	CopyHosts []string // hosts that may store the copies; written to State.Copies
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

// message is an event or a call that the goroutine of an Owner handles.
type message interface {
	// apply runs on the goroutine of the owner.
	apply(o *Owner)
}

// Owner runs one step on this host. One goroutine owns the ledger; calls and the results
// of other goroutines reach it through a bounded queue of messages.
type Owner struct {
	config Config
	ledger *Ledger
	id     ID

	messages chan message
	dropped  atomic.Uint64 // messages that trySend dropped
	ctx      context.Context
	stop     context.CancelFunc
	done     chan struct{}
	workers  sync.WaitGroup

	version       uint64                        // version of the step object
	writeInFlight bool                          // a write of the step object is in flight
	nextWrite     time.Time                     // no write of the step object starts before this time
	writeFailures int                           // since the last successful write
	pulls         []*pullCall                   // waiting calls of Pull
	cancelCalls   []cancelCall                  // calls of Cancel that wait for its commit
	cancelFuncs   map[string]context.CancelFunc // by running attempt
	scoring       map[string]bool               // attempts whose sample has a scoring call in flight
	fenced        *FencedError                  // set once another owner has taken over the step
	dirty         bool                          // new attempts or scoring calls may be possible
	doneLogged    bool                          // event.StepCompleted was emitted
}

// ClosedError reports that the owner was closed before or during the call.
type ClosedError struct {
	ID ID
}

func (e *ClosedError) Error() string { return "owner of step " + e.ID.Key() + " was closed" }

// run handles messages until the owner is closed or fenced.
func (o *Owner) run() {
	defer close(o.done)
	o.dirty = true
	timer := o.config.Clock.After(pollInterval)
	for o.fenced == nil {
		o.advance()
		select {
		case <-o.ctx.Done():
			o.shutDown(&ClosedError{ID: o.id})
			return
		case m := <-o.messages:
			m.apply(o)
		case <-timer:
			o.dirty = true
			timer = o.config.Clock.After(pollInterval)
		}
	}
	o.config.Log.Emit(event.StepFenced, "step", o.id.Key(), "owner", o.fenced.Owner)
	o.shutDown(o.fenced)
}

// shutDown cancels all work of the owner and fails the waiting pulls with err.
func (o *Owner) shutDown(err error) {
	o.stop()
	for _, p := range o.pulls {
		p.reply <- pullReply{err: err}
	}
	o.pulls = nil
}

// advance does all work that the current state allows: it answers pulls and calls of
// Cancel, starts the pending commit, new attempts and scoring calls, cancels the
// attempts that are no longer needed, and logs the completion of the step.
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
		o.config.Log.Emit(event.StepCompleted, "step", o.id.Key())
	}
}

// assign starts a goroutine for each new assignment.
func (o *Owner) assign() {
	now := o.config.Clock.Now()
	for _, assignment := range o.ledger.Assign(now, o.config.Generator.Engines(o.ledger.plan.Model)) {
		ctx, cancel := context.WithCancel(o.ctx)
		o.cancelFuncs[assignment.Attempt] = cancel
		o.workers.Add(1)
		go o.generate(ctx, assignment)
	}
}

// generate runs an assignment and sends its result to the owner's goroutine.
func (o *Owner) generate(ctx context.Context, assignment Assignment) {
	defer o.workers.Done()
	s, err := o.config.Generator.Generate(ctx, assignment, func(tokens int, versions []uint64) {
		o.trySend(progressMessage{assignment.Attempt, tokens, versions})
	})
	_ = o.send(o.ctx, generatedMessage{assignment.Attempt, assignment.Engine, s, err}) //nolint:contextcheck // the result of a canceled attempt is recorded too
}

// send adds a message to the queue, and waits while the queue is full. It returns an
// error if ctx is done or the owner has ended.
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

// trySend adds a message to the queue, or drops and counts it if the queue is full.
func (o *Owner) trySend(m message) {
	select {
	case o.messages <- m:
	default:
		o.dropped.Add(1)
	}
}

// closeError returns the reason why the owner has ended: a *FencedError or a
// *ClosedError. It may be called only after done is closed.
func (o *Owner) closeError() error {
	if o.fenced != nil {
		return o.fenced
	}
	return &ClosedError{ID: o.id}
}

// Done returns a channel that is closed when the owner handles no more messages: after
// Close, or when another owner has taken over the step. Its generations may still be
// ending then; Close waits for them.
func (o *Owner) Done() <-chan struct{} { return o.done }

// Close stops the owner and its generations and waits for them. The step object stays,
// so that another host can take over the step.
func (o *Owner) Close() error {
	o.stop()
	<-o.done
	o.workers.Wait()
	return nil
}
