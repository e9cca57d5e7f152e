package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/entry/attempt"
	"github.com/hyssopwall/hyssopwall/internal/entry/poison"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// maxRefusals is the number of refusals by servers after which a request is not
// sent again.
const maxRefusals = 12

// result is the end of one attempt.
type result struct {
	attemptID int
	choice    *pool.Choice
	response  Response
	err       error
	began     time.Time
	took      time.Duration
}

// readyResponse returns a complete response that has arrived by the end of the request's
// time: it may still be of use to the caller.
func (r *run) readyResponse() (Response, bool) {
	for {
		select {
		case got := <-r.results:
			if got.err == nil && got.response.Status < http.StatusInternalServerError {
				return r.endWith(got), true
			}
		default:
			return Response{}, false
		}
	}
}

// minSilence is the least time without a response after which a send that this host gave up
// may concern a server that has crashed.
const minSilence = 100 * time.Millisecond

// updateSuspects records the end of a send that was not refused.
func (r *run) updateSuspects(got result) {
	broken, _ := errors.AsType[*BrokenError](got.err)
	server := got.choice.Server
	switch {
	case !r.suspectable():
	case got.err == nil:
		r.Suspects.RecordResponse(r.fingerprint)
	case broken == nil || broken.Err == nil: // refused, or answered with an invalid response
	case !errors.Is(got.err, context.Canceled) && !errors.Is(got.err, context.DeadlineExceeded):
		r.Suspects.RecordBroken(r.fingerprint, poison.Server{Name: server.Name, Boot: server.Boot}, got.began)
		r.Log.Emit(event.SendBroken, "request", r.request.ID, "route", r.route.Name, "server", server.Name,
			"boot", server.Boot, "sends", got.attemptID, "err", got.err.Error())
	case !r.answered.Load() && got.took >= minSilence:
		r.Suspects.RecordSilent(r.fingerprint, got.choice, got.began)
	}
}

// suspectable reports whether the request may be suspected of crashing servers.
func (r *run) suspectable() bool { return r.Suspects != nil && !r.request.Owed }

// handleResult processes the end of an attempt. It returns the response that ends
// the request and true, or sets the decision that follows.
func (r *run) handleResult(ctx context.Context, got result, decision *attempt.Decision) (Response, bool) {
	r.cancels[got.attemptID]()
	r.outcomes = append(r.outcomes, got.describe())
	now := time.Now()
	if load := loadOf(got); load != nil {
		got.choice.RecordLoad(now, *load)
	}
	notRun, refused := errors.AsType[*NotRunError](got.err)
	switch {
	case refused:
		*decision = r.handleRefusal(ctx, got, notRun)
	case got.err != nil:
		r.countRun()
		got.choice.RecordFailure(now)
		r.lastErr = got.err
		*decision = r.apply(attempt.Event{Kind: attempt.EventBroken, AttemptID: got.attemptID, BudgetAllows: r.maySendExtra()})
	case got.response.Status >= http.StatusInternalServerError && r.state.Idempotent && r.state.CanSend():
		r.countRun()
		response := got.response
		r.serverFailure = &response
		*decision = r.apply(attempt.Event{Kind: attempt.EventBroken, AttemptID: got.attemptID, BudgetAllows: r.maySendExtra()})
	default:
		return r.endWith(got), true
	}
	return Response{}, false
}

// endWith ends the request with the response of an attempt.
func (r *run) endWith(got result) Response {
	r.answered.Store(true)
	r.countRun()
	got.choice.RecordSuccess()
	r.delay.Add(got.took)
	r.apply(attempt.Event{Kind: attempt.EventAnswer, AttemptID: got.attemptID})
	return got.response
}

// describe returns the server, outcome and duration of an attempt, for the log.
func (r result) describe() string {
	outcome := strconv.Itoa(r.response.Status)
	if _, refused := errors.AsType[*NotRunError](r.err); refused {
		outcome = "refused"
	} else if r.err != nil {
		outcome = "broken"
	}
	return fmt.Sprintf("%s %s %dms", r.choice.Server.Name, outcome, r.took.Milliseconds())
}

// loadOf returns the load that the server reported, nil if it did not.
func loadOf(got result) *pool.Load {
	if notRun, ok := errors.AsType[*NotRunError](got.err); ok {
		return notRun.Load
	}
	return got.response.Load
}

// handleRefusal processes a refusal by a server before any work. The attempt does
// not count towards the request's maximum; refusals have a bound of their own.
func (r *run) handleRefusal(ctx context.Context, got result, why *NotRunError) attempt.Decision {
	r.refusals++
	r.lastErr = why
	if why.Unreachable {
		got.choice.RecordFailure(time.Now())
	} else {
		got.choice.RecordRefusal(time.Now())
	}
	r.state.Attempts--
	decision := r.apply(attempt.Event{Kind: attempt.EventRefused, AttemptID: got.attemptID, BudgetAllows: r.refusals < maxRefusals})
	if decision.Do == attempt.DoSend && len(r.avoid) >= r.Pool.UsableCount(r.need()) {
		select {
		case <-time.After(refusalPause):
		case <-ctx.Done():
		}
	}
	return decision
}

// countRun calls OnRun, for requests of a workspace.
func (r *run) countRun() {
	if r.request.Workspace != "" {
		r.OnRun(r.request.Workspace)
	}
}
