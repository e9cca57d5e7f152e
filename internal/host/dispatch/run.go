package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/entry/attempt"
	"github.com/hyssopwall/hyssopwall/internal/entry/poison"
	"github.com/hyssopwall/hyssopwall/internal/host/forward"
)

// lastWord is how long the end of a canceled leg is waited for, so that the
// caller is told truly whether the request ran.
const lastWord = 250 * time.Millisecond

// A request that found no home, or one that has just ceased to be it, looks
// again after rehomeWait, at most rehomeTries times: the views of hosts differ
// for a moment when homes move. Nothing ran, so this needs no retry budget.
const (
	rehomeWait  = 150 * time.Millisecond
	rehomeTries = 12
)

// run is one request on its way through its attempts. Its goroutine owns it;
// legs report through events, which has room for each leg's only report.
type run struct {
	d       *Dispatcher
	task    forward.Task
	print   poison.Fingerprint
	direct  func(forward.Item) error // set when answers are passed on as they come
	restart func() bool              // takes back what direct passed on; may be nil
	hedge   bool

	state   attempt.State
	events  chan legEnd
	legs    map[int]context.CancelFunc
	avoid   []string
	resume  partial
	again   <-chan time.Time // when to look for a home again; nil for never
	rehomed int
	last    *forward.Error
	answers []forward.Item
}

// legEnd is the end of one leg.
type legEnd struct {
	leg   int
	to    place
	items []forward.Item
	err   error
}

func (d *Dispatcher) newRun(task forward.Task, fingerprint poison.Fingerprint) *run {
	return &run{
		d: d, task: task, print: fingerprint,
		state:  attempt.State{Phase: attempt.Queued, Idempotent: task.Idempotent},
		events: make(chan legEnd, attempt.DefaultMaxAttempts+1),
		legs:   make(map[int]context.CancelFunc),
	}
}

// do runs the request to its end. It returns nil after a whole answer.
func (r *run) do(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	route := r.d.route(r.task.Route)
	route.budget.CountRequest(r.d.config.Now())
	slow := r.slowAfter(route)
	if slow != nil {
		defer slow.Stop()
	}
	decision := r.apply(attempt.Event{Kind: attempt.EventClaim})
	for {
		done, err := r.act(ctx, decision)
		if done {
			return err
		}
		select {
		case end := <-r.events:
			decision = r.ended(end)
		case <-timeOf(slow):
			decision = r.slow(route)
		case <-r.again:
			r.again, r.avoid, r.task.Avoid = nil, nil, nil
			r.state.MaxAttempts = max(r.state.MaxAttempts, r.state.Attempts+1)
			decision = attempt.Decision{Do: attempt.DoSend}
		case <-ctx.Done():
			return r.giveUp(ctx)
		}
	}
}

func timeOf(timer *time.Timer) <-chan time.Time {
	if timer == nil {
		return nil
	}
	return timer.C
}

func (r *run) slowAfter(route *routeState) *time.Timer {
	after, known := route.delay.After()
	if !r.hedge || !known {
		return nil
	}
	return time.NewTimer(after)
}

func (r *run) slow(route *routeState) attempt.Decision {
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

func (r *run) apply(e attempt.Event) attempt.Decision {
	next, decision := attempt.Next(r.state, e)
	r.state = next
	return decision
}

// act carries a decision out. It returns true when the request has ended.
func (r *run) act(ctx context.Context, decision attempt.Decision) (bool, error) {
	for _, leg := range decision.Cancel {
		r.cancel(leg)
	}
	switch decision.Do {
	case attempt.DoSend, attempt.DoHedge:
		if r.start(ctx) || decision.Do == attempt.DoHedge || r.rehome() {
			return false, nil
		}
		return true, r.failure()
	case attempt.DoFinish:
		if r.state.Phase == attempt.Answered {
			return true, nil
		}
		return true, r.failure()
	default:
		return false, nil
	}
}

// rehome arranges another look for a home. It returns false when there have
// been enough.
func (r *run) rehome() bool {
	if r.rehomed >= rehomeTries || len(r.state.InFlight) > 0 {
		return false
	}
	r.rehomed++
	r.again = time.After(rehomeWait)
	return true
}

func (r *run) cancel(leg int) {
	if stop, ok := r.legs[leg]; ok {
		stop()
		delete(r.legs, leg)
	}
}

// start sends the request once more. It returns false when no place can take
// it.
func (r *run) start(ctx context.Context) bool {
	to, ok := r.d.choose(r.task, r.avoid)
	if !ok {
		if r.last == nil {
			r.last = &forward.Error{Code: forward.CodeNoServer, Message: "no backend server of " + r.task.Pool + " can be reached", Ran: "no", RetryAfter: time.Second}
		}
		return false
	}
	leg := r.state.Attempts + 1
	r.apply(attempt.Event{Kind: attempt.EventSend, AttemptID: leg})
	ctx, stop := context.WithCancel(ctx)
	r.legs[leg] = stop
	task := r.taskOf(ctx, leg)
	go r.runLeg(ctx, leg, to, task)
	return true
}

// runLeg runs one leg. A direct answer is passed on as it comes; otherwise it
// is kept until it is whole.
func (r *run) runLeg(ctx context.Context, leg int, to place, task forward.Task) {
	end := legEnd{leg: leg, to: to}
	sink := r.direct
	if sink == nil {
		sink = func(item forward.Item) error {
			end.items = append(end.items, item)
			return nil
		}
	}
	end.err = r.d.send(ctx, to, task, sink)
	r.events <- end
}

// ended takes the end of a leg in.
func (r *run) ended(end legEnd) attempt.Decision {
	r.cancel(end.leg)
	if end.err == nil {
		r.answers = end.items
		r.d.config.Poison.Clear(r.print)
		return r.apply(attempt.Event{Kind: attempt.EventAnswer, AttemptID: end.leg})
	}
	failure := failureOf(end.err)
	r.last = failure
	r.learn(end.to, failure)
	return r.retry(end.leg, failure)
}

func failureOf(err error) *forward.Error {
	var failure *forward.Error
	if errors.As(err, &failure) {
		return failure
	}
	return &forward.Error{Code: forward.CodeBroken, Message: err.Error(), Ran: "unknown"}
}

// learn keeps what the failure says of places and of the request itself.
func (r *run) learn(to place, failure *forward.Error) {
	switch {
	case failure.Server != "":
		r.task.Avoid = append(r.task.Avoid, failure.Server)
	case failure.Code != forward.CodeBusy:
		r.avoid = append(r.avoid, to.host)
	}
	if !failure.Crashed {
		return
	}
	marks := r.d.config.Poison.RecordCrash(r.d.config.Now(), poison.Crash{
		Running: []poison.Fingerprint{r.print}, Alone: failure.Alone,
	})
	if r.d.config.SpreadMarks != nil {
		r.d.config.SpreadMarks(marks)
	}
}

// retry asks the machine whether the request may be sent again.
func (r *run) retry(leg int, failure *forward.Error) attempt.Decision {
	if failure.Tainted {
		r.takeBack()
	}
	if r.resume.blind { // what was passed on can't be continued or taken back
		return r.apply(ending(leg, failure, false))
	}
	if verdict, _ := r.d.config.Poison.Admit(r.d.config.Now(), r.print); verdict == poison.Refuse {
		return r.apply(ending(leg, failure, false))
	} else if verdict == poison.Solo {
		r.task.Solo = true
	}
	if misrouted(failure) && r.rehomed < rehomeTries {
		r.rehomed++
		r.state.MaxAttempts = attempt.DefaultMaxAttempts + r.rehomed
		return r.apply(ending(leg, failure, true))
	}
	if failure.Crashed { // a crash ends all that ran beside its cause; each of them runs again
		return r.apply(ending(leg, failure, true))
	}
	now := r.d.config.Now()
	budget := &r.d.route(r.task.Route).budget
	allowed := worthRetry(failure) && budget.Take(now)
	decision := r.apply(ending(leg, failure, allowed))
	if allowed && !decision.SpendBudget {
		budget.Return(now)
	}
	return decision
}

// worthRetry says whether another attempt may do better. A full queue won't be
// emptier for a second request.
func worthRetry(failure *forward.Error) bool {
	return failure.Code != forward.CodeBusy && failure.Code != forward.CodeCanceled
}

// takeBack drops the text so far, which can't be trusted. Text that a caller
// has already seen can't be dropped; the request then ends.
func (r *run) takeBack() {
	if r.resume.text == "" {
		return
	}
	if r.restart == nil || !r.restart() {
		r.resume.blind = true
		return
	}
	r.resume = partial{}
}

// misrouted says that the chosen host is not the home any more.
func misrouted(failure *forward.Error) bool {
	return failure.Ran == "no" && (failure.Code == forward.CodeNoServer || failure.Code == forward.CodeDraining)
}

func ending(leg int, failure *forward.Error, budget bool) attempt.Event {
	if failure.Ran == "no" {
		return attempt.Event{Kind: attempt.EventRefused, AttemptID: leg, BudgetAllows: budget}
	}
	return attempt.Event{Kind: attempt.EventBroken, AttemptID: leg, BudgetAllows: budget}
}

// giveUp cancels every leg and waits shortly for its last word.
func (r *run) giveUp(ctx context.Context) error {
	timer := time.NewTimer(lastWord)
	defer timer.Stop()
	for len(r.state.InFlight) > 0 {
		select {
		case end := <-r.events:
			if end.err == nil {
				r.answers = end.items
				r.apply(attempt.Event{Kind: attempt.EventAnswer, AttemptID: end.leg})
				return r.expired(ctx)
			}
			r.last = failureOf(end.err)
			r.apply(ending(end.leg, r.last, false))
		case <-timer.C:
			r.apply(attempt.Event{Kind: attempt.EventExpire})
		}
	}
	return r.expired(ctx)
}
