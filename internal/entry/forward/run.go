package forward

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/entry/attempt"
	"github.com/hyssopwall/hyssopwall/internal/entry/poison"
	"github.com/hyssopwall/hyssopwall/internal/fleet/lease"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
	"github.com/hyssopwall/hyssopwall/internal/site/meter"
	"github.com/hyssopwall/hyssopwall/internal/site/policy"
)

// Times of a request.
const (
	// answerMargin is kept of a request's time to write its answer.
	answerMargin = 40 * time.Millisecond
	// waitShare is the part of the latency objective that a request may wait for
	// a server: a refusal after that comes too late to be of use.
	waitShare = 0.25
	// leastHedge is the shortest time after which a second server is asked; the
	// answers of most plain services take less.
	leastHedge = 60 * time.Millisecond
	// refusedAgain is the pause before a request that a server refused is offered
	// to the same servers again.
	refusedAgain = 25 * time.Millisecond
	// comeBack is the Retry-After of a request that found every server full; a
	// plain request takes some tens of milliseconds.
	comeBack = 150 * time.Millisecond
	// comeBackEmpty is the Retry-After while no server is known: a new one
	// starts within seconds.
	comeBackEmpty = time.Second
)

// lateSend is how late a request may leave after its time was worked out, which
// includes a new connection; later, its server would be told of more time than
// there is.
const lateSend = 450 * time.Millisecond

// leastLeft is handed on when less is left: no time at all would mean no bound.
const leastLeft = time.Millisecond

// queueAllowance is the number of requests that may wait at a plain service's
// server beyond its slots; more would pass the objective while they wait.
const queueAllowance = 6

// Suspects knows the requests that crash servers.
type Suspects interface {
	// Admit returns nil when a request may be sent now.
	Admit(fp poison.Fingerprint) *poison.ConvictedError
	// RecordBroken takes in a send that its server broke off.
	RecordBroken(fp poison.Fingerprint, server poison.Server)
	// RecordResponse takes in a whole answer.
	RecordResponse(fp poison.Fingerprint)
}

// Forwarder forwards plain requests. Pool, Sender and Ran must be set; Ran is
// called for each request that a server began to run. It is safe for
// concurrent use.
type Forwarder struct {
	Pool     *pool.Pool
	Sender   Sender
	OnRun    func(workspace string)
	Suspects Suspects    // may be nil
	Clock    lease.Clock // nil means lease.Boot
	Log      event.Log
	Meter    *meter.Meter // may be nil

	mu      sync.Mutex
	budgets map[string]*attempt.Budget
	delays  map[string]*attempt.HedgeDelay
}

// Do forwards a request of a route. The error is a *RefusedError, a
// *FailedError, or that of the context when the caller has left.
func (f *Forwarder) Do(ctx context.Context, route policy.Route, request Request) (Response, error) {
	left := request.TimeLeft
	if left < 0 {
		return Response{}, &RefusedError{Reason: "no time left", RetryAfter: comeBack}
	}
	if route.Timeout > 0 && (left <= 0 || route.Timeout < left) {
		left = route.Timeout
	}
	if left <= 0 {
		left = attemptTimeout
	}
	budget, delay := f.of(route.Name)
	budget.CountRequest(time.Now())
	bounded, cancel := context.WithTimeout(ctx, left-answerMargin)
	defer cancel()
	r := &run{
		Forwarder: f, route: route, request: request, budget: budget, delay: delay,
		service: route.Choose(rand.Float64()),
		print:   poison.FingerprintOf(request.Workspace, request.Host+request.Target, request.Body),
		started: time.Now(), allowed: left, end: f.now() + left,
		results: make(chan result, max(route.Attempts, attempt.DefaultMaxAttempts)+refusals),
		state: attempt.State{
			Phase: attempt.Queued, Idempotent: route.Kind == policy.Safe, MaxAttempts: max(1, route.Attempts),
		},
	}
	answer, err := r.loop(bounded)
	if err != nil && ctx.Err() != nil {
		return Response{}, ctx.Err()
	}
	f.note(route, request, r, answer, err)
	return answer, err
}

// attemptTimeout bounds a request whose route and caller name no time.
const attemptTimeout = 30 * time.Second

// refusals is the number of times that servers may refuse a request before it
// is given up.
const refusals = 12

func (f *Forwarder) now() time.Duration {
	if f.Clock == nil {
		return lease.Boot{}.Now()
	}
	return f.Clock.Now()
}

func (f *Forwarder) of(route string) (*attempt.Budget, *attempt.HedgeDelay) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.budgets == nil {
		f.budgets, f.delays = map[string]*attempt.Budget{}, map[string]*attempt.HedgeDelay{}
	}
	if f.budgets[route] == nil {
		f.budgets[route], f.delays[route] = &attempt.Budget{}, &attempt.HedgeDelay{}
	}
	return f.budgets[route], f.delays[route]
}

// run is one request under way; one goroutine owns it.
type run struct {
	*Forwarder
	route   policy.Route
	request Request
	service string
	print   poison.Fingerprint
	budget  *attempt.Budget
	delay   *attempt.HedgeDelay
	started time.Time
	allowed time.Duration
	end     time.Duration // by the forwarder's clock
	state   attempt.State
	results chan result
	cancels map[int]context.CancelFunc
	tried   []string // servers to avoid
	asked   []string // servers of all legs
	ends    []string // how each leg ended, in order
	refused int
	last    error     // why the latest leg failed
	failure *Response // a server's own failure, handed on when nothing better comes
}

type result struct {
	leg    int
	choice *pool.Choice
	answer Response
	err    error
	took   time.Duration
}

func (r *run) loop(ctx context.Context) (Response, error) {
	r.cancels = map[int]context.CancelFunc{}
	defer r.cancelAll()
	decision := r.apply(attempt.Event{Kind: attempt.EventClaim})
	for {
		switch decision.Do {
		case attempt.DoSend:
			if err := r.send(ctx); err != nil {
				return r.giveUp(err)
			}
		case attempt.DoHedge:
			r.hedge(ctx)
		case attempt.DoFinish:
			return r.finish()
		case attempt.DoNothing:
		}
		slow, stop := r.slowTimer()
		select {
		case got := <-r.results:
			stop()
			if answer, ok := r.take(got, &decision); ok {
				return answer, nil
			}
		case <-slow:
			decision = r.apply(attempt.Event{Kind: attempt.EventSlow, BudgetAllows: r.spare()})
		case <-ctx.Done():
			stop()
			r.last = ctx.Err()
			decision = r.apply(attempt.Event{Kind: attempt.EventExpire})
		}
	}
}

func (r *run) apply(e attempt.Event) attempt.Decision {
	state, decision := attempt.Next(r.state, e)
	r.state = state
	return decision
}

// slowTimer fires once the only leg takes longer than most answers do.
func (r *run) slowTimer() (<-chan time.Time, func()) {
	if len(r.state.InFlight) != 1 || !r.state.CanSend() {
		return nil, func() {}
	}
	after, known := r.delay.After()
	if !known {
		after = r.route.Target
	}
	timer := time.NewTimer(max(after, leastHedge))
	return timer.C, func() { timer.Stop() }
}

// spare says whether one more send is allowed: by the budget, or because a
// server stands idle, so that the send takes nothing from other requests.
func (r *run) spare() bool {
	return r.budget.Take(time.Now()) || r.Pool.HasIdle(time.Now(), r.need())
}

func (r *run) need() pool.Need {
	return pool.Need{Service: r.service, QueueAllowance: queueAllowance, Avoid: r.tried}
}

// send waits for a place on a server and starts a leg there.
func (r *run) send(ctx context.Context) error {
	patience := time.Duration(waitShare * float64(r.route.Target))
	if patience <= 0 {
		patience = r.left()
	}
	timer := time.NewTimer(max(0, patience-time.Since(r.started)))
	defer timer.Stop()
	for {
		if convicted := r.convicted(); convicted != nil {
			r.Log.Emit(event.PoisonConvicted, "request", r.request.ID, "route", r.route.Name,
				"workspace", r.request.Workspace, "sends", len(r.asked), "ms", convicted.RetryAfter.Milliseconds())
			return &RefusedError{Reason: convicted.Error(), RetryAfter: convicted.RetryAfter}
		}
		if r.over() {
			return context.DeadlineExceeded
		}
		changed := r.Pool.Changed()
		if choice, ok := r.Pool.Pick(time.Now(), r.need()); ok {
			r.start(ctx, choice)
			return nil
		}
		if len(r.tried) > 0 {
			r.tried = nil // every other server is full or down
			continue
		}
		if r.Pool.UsableCount(r.need()) == 0 {
			return &RefusedError{Reason: "no server of " + r.service, RetryAfter: comeBackEmpty}
		}
		select {
		case <-changed:
		case <-timer.C:
			return &RefusedError{Reason: "servers of " + r.service + " are full", RetryAfter: comeBack}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// convicted returns nil unless the request may not be sent for crashing servers.
func (r *run) convicted() *poison.ConvictedError {
	if r.Suspects == nil {
		return nil
	}
	return r.Suspects.Admit(r.print)
}

// over says whether the time for a further send has passed. Timers don't tell: a
// process that stood still finds several of them due at once.
func (r *run) over() bool { return r.left() < answerMargin }

// left returns the request's time, by a clock that goes on while the process or
// its machine stands still.
func (r *run) left() time.Duration { return r.end - r.now() }

// observe tells Suspects how a send ended that was not refused.
func (r *run) observe(got result) {
	broken, _ := errors.AsType[*BrokenError](got.err)
	switch {
	case r.Suspects == nil:
	case got.err == nil:
		r.Suspects.RecordResponse(r.print)
	case broken != nil && broken.Err != nil && !errors.Is(got.err, context.Canceled) && !errors.Is(got.err, context.DeadlineExceeded):
		server := got.choice.Server
		r.Suspects.RecordBroken(r.print, poison.Server{Name: server.Name, Boot: server.Boot})
		r.Log.Emit(event.SendBroken, "request", r.request.ID, "route", r.route.Name, "server", server.Name,
			"boot", server.Boot, "sends", len(r.asked), "err", got.err.Error())
	}
}

// hedge starts a second leg if another server has room now.
func (r *run) hedge(ctx context.Context) {
	if r.convicted() != nil || r.over() {
		return
	}
	if choice, ok := r.Pool.Pick(time.Now(), r.need()); ok {
		r.start(ctx, choice)
	}
}

func (r *run) start(ctx context.Context, choice *pool.Choice) {
	fresh := !r.state.Idempotent && slices.Contains(r.asked, choice.Server.Name)
	r.asked = append(r.asked, choice.Server.Name)
	leg := len(r.asked)
	r.tried = append(slices.Clone(r.tried), choice.Server.Name)
	r.apply(attempt.Event{Kind: attempt.EventSend, AttemptID: leg})
	ctx, cancel := context.WithCancel(ctx)
	r.cancels[leg] = cancel
	request := r.request
	request.NewConnection = fresh
	left := r.left()
	request.TimeLeft = max(left, leastLeft)
	request.BeforeSend = func() error {
		if passed := left - r.left(); passed > lateSend {
			return &DelayedError{By: passed}
		}
		return choice.Check()
	}
	begun := time.Now()
	go func() {
		answer, err := r.Sender.Send(ctx, choice.Server, request)
		if err == nil {
			choice.KeepConnection()
		}
		choice.Release()
		r.results <- result{leg, choice, answer, err, time.Since(begun)}
	}()
}

// take looks at the end of a leg. It returns the answer that ends the request,
// or sets the decision that follows.
func (r *run) take(got result, decision *attempt.Decision) (Response, bool) {
	r.cancels[got.leg]()
	r.ends = append(r.ends, got.end())
	now := time.Now()
	if load := loadOf(got); load != nil {
		got.choice.RecordLoad(now, *load)
	}
	notRun, refused := errors.AsType[*NotRunError](got.err)
	r.observe(got)
	switch {
	case refused:
		*decision = r.refusal(got, notRun)
	case got.err != nil:
		r.ran()
		got.choice.RecordFailure(now)
		r.last = got.err
		*decision = r.apply(attempt.Event{Kind: attempt.EventBroken, AttemptID: got.leg, BudgetAllows: r.spare()})
	case got.answer.Status >= http.StatusInternalServerError && r.state.Idempotent && r.state.CanSend():
		r.ran()
		answer := got.answer
		r.failure = &answer
		*decision = r.apply(attempt.Event{Kind: attempt.EventBroken, AttemptID: got.leg, BudgetAllows: r.spare()})
	default:
		r.ran()
		got.choice.RecordSuccess()
		r.delay.Add(got.took)
		r.apply(attempt.Event{Kind: attempt.EventAnswer, AttemptID: got.leg})
		return got.answer, true
	}
	return Response{}, false
}

// end describes the end of a leg for the log.
func (r result) end() string {
	how := strconv.Itoa(r.answer.Status)
	if _, refused := errors.AsType[*NotRunError](r.err); refused {
		how = "refused"
	} else if r.err != nil {
		how = "broken"
	}
	return fmt.Sprintf("%s %s %dms", r.choice.Server.Name, how, r.took.Milliseconds())
}

func loadOf(got result) *pool.Load {
	if notRun, ok := errors.AsType[*NotRunError](got.err); ok {
		return notRun.Load
	}
	return got.answer.Load
}

// refusal takes back a try that a server refused before any work.
func (r *run) refusal(got result, why *NotRunError) attempt.Decision {
	r.refused++
	r.last = why
	if why.Unreachable {
		got.choice.RecordFailure(time.Now())
	} else {
		got.choice.RecordRefusal(time.Now())
	}
	r.state.Attempts--
	decision := r.apply(attempt.Event{Kind: attempt.EventRefused, AttemptID: got.leg, BudgetAllows: r.refused < refusals})
	if decision.Do == attempt.DoSend && len(r.tried) >= r.Pool.UsableCount(pool.Need{Service: r.service}) {
		time.Sleep(min(refusedAgain, r.left()))
	}
	return decision
}

func (r *run) ran() {
	if r.request.Workspace != "" {
		r.OnRun(r.request.Workspace)
	}
}

func (r *run) giveUp(err error) (Response, error) {
	refused, ok := errors.AsType[*RefusedError](err)
	if ok && r.state.Ran() == attempt.RanNo {
		return Response{}, refused
	}
	if !ok || r.last == nil { // no place for a further send doesn't undo an earlier one
		r.last = err
	}
	r.apply(attempt.Event{Kind: attempt.EventExpire})
	return r.finish()
}

// finish ends a request without a good answer.
func (r *run) finish() (Response, error) {
	switch {
	case r.failure != nil:
		return *r.failure, nil
	case r.state.Ran() == attempt.RanNo:
		return Response{}, &RefusedError{Reason: reason(r.last), RetryAfter: comeBack}
	}
	return Response{}, &FailedError{TimedOut: errors.Is(r.last, context.DeadlineExceeded), Err: r.last}
}

func reason(err error) string {
	if err == nil {
		return "no server took the request"
	}
	return err.Error()
}

func (r *run) cancelAll() {
	for _, cancel := range r.cancels {
		cancel()
	}
}

// outcomeOf names the end of a request for the counters.
func outcomeOf(answer Response, err error) string {
	if _, refused := errors.AsType[*RefusedError](err); refused {
		return "refused"
	}
	if failed, ok := errors.AsType[*FailedError](err); ok && failed.TimedOut {
		return "late"
	}
	if err != nil {
		return "broken"
	}
	return strconv.Itoa(answer.Status)
}

// note logs how a request ended; whole answers at the first server are left to
// the counters.
func (f *Forwarder) note(route policy.Route, request Request, r *run, answer Response, err error) {
	f.Meter.Count("requests_total", "route", route.Name, "outcome", outcomeOf(answer, err))
	f.Meter.Time("request_seconds", time.Since(r.started), "route", route.Name)
	if err == nil && len(r.asked) == 1 && answer.Status < http.StatusInternalServerError {
		return
	}
	status, outcome := answer.Status, "answered"
	if err != nil {
		outcome = err.Error()
	}
	f.Log.Emit(event.RequestEnded, "request", request.ID, "route", route.Name, "workspace", request.Workspace,
		"status", status, "outcome", outcome, "servers", r.tried, "sends", len(r.asked), "most", r.state.MaxAttempts, "ends", r.ends,
		"refusals", r.refused, "left", r.allowed.Milliseconds(),
		"last", reason(r.last), "ms", time.Since(r.started).Milliseconds())
}
