package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/entry/attempt"
	"github.com/hyssopwall/hyssopwall/internal/entry/poison"
	"github.com/hyssopwall/hyssopwall/internal/host/forward"
)

// cancelWait is how long to wait for canceled attempts to end, so that the caller learns
// whether the request ran.
const cancelWait = 250 * time.Millisecond

// A request that finds no home looks for one again after rehomeDelay. A request that was
// sent to a host that has just ceased to be a home looks again at once. Each request does
// so at most maxRehomes times. The views of hosts differ for a moment when homes move.
// Nothing ran, so this spends no retry budget.
const (
	rehomeDelay = 150 * time.Millisecond
	maxRehomes  = 12
)

// run is the execution of one request. The goroutine that calls execute owns it. Attempts
// report their end through ends, whose buffer has room for every attempt in flight. onItem
// is called by the goroutine of an attempt; a run with onItem must not hedge, so that there
// is only one at a time.
type run struct {
	d           *Dispatcher
	task        forward.Task
	fingerprint poison.Fingerprint
	onItem      func(forward.Item) error // passes items on as they arrive; nil to collect them in answers
	restart     func() bool              // takes back the items passed to onItem and reports whether it could; nil if they can't be taken back
	hedge       bool                     // whether a second attempt may start after the hedge delay

	state    attempt.State
	ends     chan attemptEnd
	cancels  map[int]context.CancelFunc
	avoid    []string         // hosts and zones at which attempts failed
	partial  partial          // the text passed to the caller so far
	rehomeAt <-chan time.Time // fires when to look for a home again; nil for never
	rehomes  int
	last     *forward.Error // the last failure
	answers  []forward.Item // the items of the answer, without onItem
}

// attemptEnd is the end of one attempt. items holds its answer if it was collected.
type attemptEnd struct {
	attemptID int
	to        target
	items     []forward.Item
	err       error
}

// newRun returns a run of a task without attempts.
func (d *Dispatcher) newRun(task forward.Task, fingerprint poison.Fingerprint) *run {
	return &run{
		d: d, task: task, fingerprint: fingerprint,
		state:   attempt.State{Phase: attempt.Queued, Idempotent: task.Idempotent},
		ends:    make(chan attemptEnd, attempt.DefaultMaxAttempts+1),
		cancels: make(map[int]context.CancelFunc),
	}
}

// execute runs the request to its end. It returns nil after a complete answer, and
// otherwise the error for the caller.
func (r *run) execute(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	route := r.d.route(r.task.Route)
	route.budget.CountRequest(r.d.config.Now())
	timer := r.hedgeTimer(route)
	if timer != nil {
		defer timer.Stop()
	}
	decision := r.apply(attempt.Event{Kind: attempt.EventClaim})
	for {
		done, err := r.carryOut(ctx, decision)
		if done {
			return err
		}
		select {
		case end := <-r.ends:
			decision = r.attemptEnded(end)
		case <-timerChan(timer):
			decision = r.hedgeDue(route)
		case <-r.rehomeAt:
			r.rehomeAt, r.avoid, r.task.Avoid = nil, nil, nil
			r.state.MaxAttempts = max(r.state.MaxAttempts, r.state.Attempts+1)
			decision = attempt.Decision{Do: attempt.DoSend}
		case <-ctx.Done():
			return r.awaitCanceled(ctx)
		}
	}
}

// timerChan returns the channel of a timer, nil for a nil timer.
func timerChan(timer *time.Timer) <-chan time.Time {
	if timer == nil {
		return nil
	}
	return timer.C
}

// hedgeTimer returns a timer for the hedge delay of the route, nil if the request is not
// hedged or the delay is not known yet.
func (r *run) hedgeTimer(route *routeState) *time.Timer {
	after, known := route.delay.After()
	if !r.hedge || !known {
		return nil
	}
	return time.NewTimer(after)
}

// hedgeDue returns the decision when the hedge delay has passed. It spends hedge budget
// only if a hedge is decided on, even if no target for it is then found.
func (r *run) hedgeDue(route *routeState) attempt.Decision {
	now := r.d.config.Now()
	if !route.budget.TakeHedge(now) {
		return attempt.Decision{}
	}
	decision := r.apply(attempt.Event{Kind: attempt.EventSlow, BudgetAllows: true})
	if !decision.SpendBudget {
		route.budget.Return(now)
	}
	return decision
}

// apply advances the state by an event and returns the decision.
func (r *run) apply(e attempt.Event) attempt.Decision {
	next, decision := attempt.Next(r.state, e)
	r.state = next
	return decision
}

// carryOut carries out a decision. It returns true when the request has ended.
func (r *run) carryOut(ctx context.Context, decision attempt.Decision) (bool, error) {
	for _, attemptID := range decision.Cancel {
		r.cancel(attemptID)
	}
	switch decision.Do {
	case attempt.DoSend, attempt.DoHedge:
		if r.startAttempt(ctx) || decision.Do == attempt.DoHedge || r.rehome() {
			return false, nil
		}
		return true, r.callerError()
	case attempt.DoFinish:
		if r.state.Phase == attempt.Answered {
			return true, nil
		}
		return true, r.callerError()
	default:
		return false, nil
	}
}

// rehome schedules another search for a home. It returns false when maxRehomes is
// reached or an attempt is in flight.
func (r *run) rehome() bool {
	if r.rehomes >= maxRehomes || len(r.state.InFlight) > 0 {
		return false
	}
	r.rehomes++
	r.rehomeAt = time.After(rehomeDelay)
	return true
}

// cancel cancels an attempt that has not ended.
func (r *run) cancel(attemptID int) {
	if stop, ok := r.cancels[attemptID]; ok {
		stop()
		delete(r.cancels, attemptID)
	}
}

// startAttempt starts an attempt at the chosen target. It returns false when there is no
// target for it.
func (r *run) startAttempt(ctx context.Context) bool {
	to, ok := r.d.choose(r.task, r.avoid)
	if !ok {
		if r.last == nil {
			r.last = &forward.Error{Code: forward.CodeNoServer, Message: "no backend server of " + r.task.Pool + " can be reached", Ran: "no", RetryAfter: time.Second}
		}
		return false
	}
	attemptID := r.state.Attempts + 1
	r.apply(attempt.Event{Kind: attempt.EventSend, AttemptID: attemptID})
	ctx, stop := context.WithCancel(ctx)
	r.cancels[attemptID] = stop
	task := r.attemptTask(ctx, attemptID)
	go r.runAttempt(ctx, attemptID, to, task)
	return true
}

// runAttempt runs one attempt and reports its end. Items are passed to onItem as they
// arrive or, if it is nil, collected until the answer is complete.
func (r *run) runAttempt(ctx context.Context, attemptID int, to target, task forward.Task) {
	end := attemptEnd{attemptID: attemptID, to: to}
	sink := r.onItem
	if sink == nil {
		sink = func(item forward.Item) error {
			end.items = append(end.items, item)
			return nil
		}
	}
	end.err = r.d.send(ctx, to, task, sink)
	r.ends <- end
}

// attemptEnded applies the end of an attempt and returns the decision.
func (r *run) attemptEnded(end attemptEnd) attempt.Decision {
	r.cancel(end.attemptID)
	if end.err == nil {
		r.answers = end.items
		r.d.config.Poison.Clear(r.fingerprint)
		return r.apply(attempt.Event{Kind: attempt.EventAnswer, AttemptID: end.attemptID})
	}
	failure := forwardError(end.err)
	r.last = failure
	r.recordFailure(end.to, failure)
	return r.afterFailure(end.attemptID, failure)
}

// forwardError returns the *forward.Error that err wraps. Any other error means a broken
// attempt that may have run.
func forwardError(err error) *forward.Error {
	var failure *forward.Error
	if errors.As(err, &failure) {
		return failure
	}
	return &forward.Error{Code: forward.CodeBroken, Message: err.Error(), Ran: "unknown"}
}

// recordFailure excludes the failed backend server or, if the failure names none, the target
// from later attempts, and records a crash against the request. A target with a full queue
// is not excluded.
func (r *run) recordFailure(to target, failure *forward.Error) {
	switch {
	case failure.Server != "":
		r.task.Avoid = append(r.task.Avoid, failure.Server)
	case failure.Code != forward.CodeBusy:
		r.avoid = append(r.avoid, to.name)
	}
	if !failure.Crashed {
		return
	}
	marks := r.d.config.Poison.RecordCrash(r.d.config.Now(), poison.Crash{
		Running: []poison.Fingerprint{r.fingerprint}, Alone: failure.Alone,
	})
	if r.d.config.SpreadMarks != nil {
		r.d.config.SpreadMarks(marks)
	}
}

// afterFailure applies the failure of an attempt to the state, which decides whether the
// request is sent again.
func (r *run) afterFailure(attemptID int, failure *forward.Error) attempt.Decision {
	if failure.Tainted {
		r.discardPartial()
	}
	if r.partial.unresumable { // the text passed on can't be resumed or taken back
		return r.apply(endEvent(attemptID, failure, false))
	}
	if verdict, _ := r.d.config.Poison.Admit(r.d.config.Now(), r.fingerprint); verdict == poison.Refuse {
		return r.apply(endEvent(attemptID, failure, false))
	} else if verdict == poison.Solo {
		r.task.Solo = true
	}
	if misrouted(failure) && r.rehomes < maxRehomes {
		r.rehomes++
		r.state.MaxAttempts = attempt.DefaultMaxAttempts + r.rehomes
		return r.apply(endEvent(attemptID, failure, true))
	}
	if failure.Crashed { // a crash also ends the requests that ran beside its cause; each is retried
		return r.apply(endEvent(attemptID, failure, true))
	}
	now := r.d.config.Now()
	budget := &r.d.route(r.task.Route).budget
	allowed := mayRetryHelp(failure) && budget.Take(now)
	decision := r.apply(endEvent(attemptID, failure, allowed))
	if allowed && !decision.SpendBudget {
		budget.Return(now)
	}
	return decision
}

// mayRetryHelp reports whether another attempt may succeed. A full queue is no emptier for
// a second attempt, and a canceled request needs none.
func mayRetryHelp(failure *forward.Error) bool {
	return failure.Code != forward.CodeBusy && failure.Code != forward.CodeCanceled
}

// discardPartial discards the text generated so far, which can't be trusted. If the
// caller has already received text that can't be taken back, it marks the request so that
// it fails instead of being sent again.
func (r *run) discardPartial() {
	if r.partial.text == "" {
		return
	}
	if r.restart == nil || !r.restart() {
		r.partial.unresumable = true
		return
	}
	r.partial = partial{}
}

// misrouted reports whether the attempt did not run because the chosen host is not a home
// of the pool any more or is stopping.
func misrouted(failure *forward.Error) bool {
	return failure.Ran == "no" && (failure.Code == forward.CodeNoServer || failure.Code == forward.CodeDraining)
}

// endEvent returns the event for a failed attempt: refused if it certainly did not run,
// broken otherwise. budget reports whether the retry budget allows another attempt.
func endEvent(attemptID int, failure *forward.Error, budget bool) attempt.Event {
	if failure.Ran == "no" {
		return attempt.Event{Kind: attempt.EventRefused, AttemptID: attemptID, BudgetAllows: budget}
	}
	return attempt.Event{Kind: attempt.EventBroken, AttemptID: attemptID, BudgetAllows: budget}
}

// awaitCanceled is called after ctx has ended, which has canceled all attempts. It waits up
// to cancelWait for them to end and returns the error for the caller.
func (r *run) awaitCanceled(ctx context.Context) error {
	timer := time.NewTimer(cancelWait)
	defer timer.Stop()
	for len(r.state.InFlight) > 0 {
		select {
		case end := <-r.ends:
			if end.err == nil {
				r.answers = end.items
				r.apply(attempt.Event{Kind: attempt.EventAnswer, AttemptID: end.attemptID})
				return r.contextError(ctx)
			}
			r.last = forwardError(end.err)
			r.apply(endEvent(end.attemptID, r.last, false))
		case <-timer.C:
			r.apply(attempt.Event{Kind: attempt.EventExpire})
		}
	}
	return r.contextError(ctx)
}
