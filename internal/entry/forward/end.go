package forward

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/entry/attempt"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
	"github.com/hyssopwall/hyssopwall/internal/site/policy"
)

// giveUp ends a request for which no further attempt could be started. It returns
// the refusal only if no earlier attempt may have run the request.
func (r *run) giveUp(err error) (Response, error) {
	refused, ok := errors.AsType[*RefusedError](err)
	if ok && r.state.Ran() == attempt.RanNo {
		return Response{}, refused
	}
	if !ok || r.lastErr == nil { // a refusal of a further send does not replace the error of an earlier one
		r.lastErr = err
	}
	r.apply(attempt.Event{Kind: attempt.EventExpire})
	return r.finish()
}

// finish returns the end of a request without a successful response: the latest 5xx
// response of a server if there is one, a *RefusedError if the request did not run,
// else a *FailedError.
func (r *run) finish() (Response, error) {
	switch {
	case r.serverFailure != nil:
		return *r.serverFailure, nil
	case r.state.Ran() == attempt.RanNo:
		return Response{}, &RefusedError{Reason: reasonOf(r.lastErr), RetryAfter: retryAfterFull}
	}
	return Response{}, &FailedError{TimedOut: errors.Is(r.lastErr, context.DeadlineExceeded), Err: r.lastErr}
}

// reasonOf returns the text of the latest error, for refusals and the log.
func reasonOf(err error) string {
	if err == nil {
		return "no server accepted the request"
	}
	return err.Error()
}

// cancelAll cancels the attempts in flight.
func (r *run) cancelAll() {
	for _, cancel := range r.cancels {
		cancel()
	}
}

// outcomeOf returns the outcome label of a request for the metrics: the status of the
// response, or "refused", "late" if the time ran out, or "broken".
func outcomeOf(response Response, err error) string {
	if _, refused := errors.AsType[*RefusedError](err); refused {
		return "refused"
	}
	if failed, ok := errors.AsType[*FailedError](err); ok && failed.TimedOut {
		return "late"
	}
	if err != nil {
		return "broken"
	}
	return strconv.Itoa(response.Status)
}

// logEnd counts and logs the end of a request. A response with a status below 500 to
// the only send is counted but not logged.
func (f *Forwarder) logEnd(route policy.Route, request Request, r *run, response Response, err error) {
	f.Meter.Count("requests_total", "route", route.Name, "outcome", outcomeOf(response, err))
	f.Meter.Time("request_seconds", time.Since(r.started), "route", route.Name)
	if err == nil && len(r.sentTo) == 1 && response.Status < http.StatusInternalServerError {
		return
	}
	status, outcome := response.Status, "answered"
	if err != nil {
		outcome = err.Error()
	}
	f.Log.Emit(event.RequestRetriedOrFailed, "request", request.ID, "route", route.Name, "workspace", request.Workspace,
		"status", status, "outcome", outcome, "servers", r.avoid, "sends", len(r.sentTo), "most", r.state.MaxAttempts, "ends", r.outcomes,
		"refusals", r.refusals, "left", r.timeAllowed.Milliseconds(),
		"last", reasonOf(r.lastErr), "ms", time.Since(r.started).Milliseconds())
}
