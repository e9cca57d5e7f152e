package forward

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/backend/silence"
	"github.com/hyssopwall/hyssopwall/internal/entry/attempt"
	"github.com/hyssopwall/hyssopwall/internal/entry/poison"
	"github.com/hyssopwall/hyssopwall/internal/fleet/lease"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
	"github.com/hyssopwall/hyssopwall/internal/site/meter"
	"github.com/hyssopwall/hyssopwall/internal/site/policy"
)

const (
	// responseMargin is the part of a request's time that is reserved for writing
	// its response.
	responseMargin = 40 * time.Millisecond
	// maxWaitShare is the fraction of the route's LatencyTarget for which a request may
	// wait for a server. A refusal after that is too late for the caller to use.
	maxWaitShare = 0.25
	// minHedgeDelay is the shortest time after which a hedge is sent. Most plain
	// services respond faster.
	minHedgeDelay = 60 * time.Millisecond
	// refusalPause is the pause before a refused request is sent again when all
	// servers have refused it.
	refusalPause = 25 * time.Millisecond
	// retryAfterFull is the Retry-After of a request that found every server full, or
	// that ended without having run. A plain request takes some tens of milliseconds.
	retryAfterFull = 150 * time.Millisecond
	// retryAfterNoServer is the Retry-After while no server is known. A new one
	// starts within seconds.
	retryAfterNoServer = time.Second
)

// Suspects detects requests that crash servers.
type Suspects interface {
	// Check returns nil when a request may be sent now.
	Check(fp poison.Fingerprint) *poison.ConvictedError
	// Admit is called once before each send. It returns nil when the request may be sent.
	Admit(fp poison.Fingerprint) *poison.ConvictedError
	// Begin records a send in flight. The caller calls end when it has ended.
	Begin(fp poison.Fingerprint, server poison.Server) (end func())
	// RecordBroken records a send whose connection the server broke.
	RecordBroken(fp poison.Fingerprint, server poison.Server, began time.Time)
	// RecordSilent records a send that this host gave up, and whose request nobody has
	// answered. The server may have crashed without a sign, or may only be slow.
	RecordSilent(fp poison.Fingerprint, choice *pool.Choice, began time.Time)
	// RecordResponse records a complete response.
	RecordResponse(fp poison.Fingerprint)
}

// Forwarder forwards plain requests. Pool, Sender and OnRun must be set. OnRun is
// called when a send of a workspace's request ends that its server ran or may have
// run. It is not called for sends that are still in flight when Do returns. A Forwarder
// is safe for concurrent use.
type Forwarder struct {
	Pool     *pool.Pool
	Sender   Sender
	OnRun    func(workspace string)
	Suspects Suspects // may be nil
	// Zones, if set, hedges requests that may be repeated when their server's zone goes silent.
	Zones *silence.Watch
	Clock lease.Clock // nil means lease.BootClock
	// Ending, if set, is closed when the host ends its work: requests in flight then get
	// their final response.
	Ending <-chan struct{}
	Log    event.Log
	Meter  *meter.Meter // may be nil

	mu      sync.Mutex
	budgets map[string]*attempt.Budget     // by route
	delays  map[string]*attempt.HedgeDelay // by route
}

// Do forwards a request of a route. The error is a *RefusedError, a *FailedError, or
// the context's error if ctx has ended. In the last case, and if no time is left at the
// start, the request is neither counted nor logged.
func (f *Forwarder) Do(ctx context.Context, route policy.Route, request Request) (Response, error) {
	timeLeft := TimeAllowed(route, request)
	if timeLeft < 0 {
		return Response{}, &RefusedError{Reason: "no time left", RetryAfter: retryAfterFull}
	}
	budget, delay := f.budgetOf(route.Name)
	budget.CountRequest(time.Now())
	bounded, cancel := context.WithTimeout(ctx, timeLeft-responseMargin)
	defer cancel()
	r := &run{
		Forwarder: f, route: route, request: request, budget: budget, delay: delay,
		service:     route.ChooseService(rand.Float64()),
		fingerprint: poison.FingerprintOf(request.Workspace, request.Host+request.Target, request.Body...),
		started:     time.Now(), timeAllowed: timeLeft, deadline: f.now() + timeLeft,
		results:  make(chan result, max(route.Attempts, attempt.DefaultMaxAttempts)+maxRefusals),
		silenced: make(chan int, 1),
		state: attempt.State{
			Phase: attempt.Queued, Idempotent: route.Kind == policy.Safe, MaxAttempts: max(1, route.Attempts),
		},
	}
	response, err := r.loop(bounded)
	if err != nil && ctx.Err() != nil {
		return Response{}, ctx.Err()
	}
	f.logEnd(route, request, r, response, err)
	return response, err
}

// TimeAllowed returns the longest time that a request may take from now on, by its
// TimeLeft and the timeout of its route. It is negative if none is left.
func TimeAllowed(route policy.Route, request Request) time.Duration {
	timeLeft := request.TimeLeft
	if route.Timeout > 0 && (timeLeft == 0 || route.Timeout < timeLeft) {
		return route.Timeout
	}
	return cmp.Or(timeLeft, defaultTimeout)
}

// defaultTimeout bounds a request whose route and caller set no timeout.
const defaultTimeout = 30 * time.Second

// errEnding ends a request because its host ends.
var errEnding = errors.New("the host ends")

// now returns the time by Clock.
func (f *Forwarder) now() time.Duration {
	if f.Clock == nil {
		return lease.BootClock{}.Now()
	}
	return f.Clock.Now()
}

// budgetOf returns the retry budget and the hedge delay of a route.
func (f *Forwarder) budgetOf(route string) (*attempt.Budget, *attempt.HedgeDelay) {
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

// run is the state of one request in flight. One goroutine owns it.
type run struct {
	*Forwarder
	route         policy.Route
	request       Request
	service       string
	fingerprint   poison.Fingerprint
	budget        *attempt.Budget
	delay         *attempt.HedgeDelay
	started       time.Time
	timeAllowed   time.Duration // from started to deadline
	deadline      time.Duration // by the forwarder's clock
	state         attempt.State
	results       chan result                // buffered, so that an attempt may end after the request
	silenced      chan int                   // attempts in zones that went silent; buffered
	cancels       map[int]context.CancelFunc // by attempt
	avoid         []string                   // servers tried, cleared when no other has capacity
	sentTo        []string                   // server of each attempt, in order
	outcomes      []string                   // outcome of each ended attempt, in order
	refusals      int
	answered      atomic.Bool
	lastErr       error     // why the latest attempt failed
	serverFailure *Response // the latest 5xx response, returned when no attempt succeeds
}

// loop feeds the events of a request into its state and carries out the decisions
// until the request ends.
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
		slow, stop := r.hedgeTimer()
		select {
		case got := <-r.results:
			stop()
			if response, ok := r.handleResult(ctx, got, &decision); ok {
				return response, nil
			}
		case <-slow:
			decision = r.apply(attempt.Event{Kind: attempt.EventSlow, BudgetAllows: r.maySendExtra()})
		case attemptID := <-r.silenced:
			stop()
			decision = r.hedgeSilent(attemptID)
		case <-ctx.Done():
			stop()
			if response, ok := r.readyResponse(); ok {
				return response, nil
			}
			r.lastErr = ctx.Err()
			decision = r.apply(attempt.Event{Kind: attempt.EventExpire})
		case <-r.Ending:
			stop()
			if response, ok := r.readyResponse(); ok {
				return response, nil
			}
			r.lastErr = errEnding
			decision = r.apply(attempt.Event{Kind: attempt.EventExpire})
		}
	}
}

// apply applies an event to the state and returns the decision that follows.
func (r *run) apply(e attempt.Event) attempt.Decision {
	state, decision := attempt.Next(r.state, e)
	r.state = state
	return decision
}
