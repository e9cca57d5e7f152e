package dispatch

import (
	"context"
	"errors"

	"github.com/hyssopwall/hyssopwall/internal/entry/attempt"
	"github.com/hyssopwall/hyssopwall/internal/entry/poison"
	"github.com/hyssopwall/hyssopwall/internal/entry/quota"
	"github.com/hyssopwall/hyssopwall/internal/host/api"
	"github.com/hyssopwall/hyssopwall/internal/host/forward"
)

// errWithdrawn is the cause of a context canceled because the caller's key was
// withdrawn.
var errWithdrawn = errors.New("key withdrawn")

// callerError returns the error that the caller gets for a request that ended without an
// answer.
func (r *run) callerError() error {
	if verdict, conviction := r.d.config.Poison.Admit(r.d.config.Now(), r.fingerprint); verdict == poison.Refuse {
		return poisonedError(conviction)
	}
	ran := apiRan(r.state.Ran())
	if ran == api.RanUnknown && !r.task.Idempotent {
		return &api.Error{Code: api.OutcomeUnknown, Message: "the request may have run and must not be sent again", Ran: ran}
	}
	e := &api.Error{Code: apiCode(r.last), Message: r.last.Message, Ran: ran, RetryAfter: r.last.RetryAfter}
	e.RetrySafe = ran == api.RanNo || r.task.Idempotent
	return e
}

// poisonedError returns the error for a request convicted of crashing backend servers.
func poisonedError(conviction *poison.ConvictedError) *api.Error {
	return &api.Error{Code: api.Poison, Message: "this request crashes backend servers", Ran: api.RanYes, RetryAfter: conviction.RetryAfter}
}

// apiRan returns the API value of a Ran state.
func apiRan(ran attempt.Ran) api.Ran {
	switch ran {
	case attempt.RanNo:
		return api.RanNo
	case attempt.RanYes:
		return api.RanYes
	default:
		return api.RanUnknown
	}
}

// apiCode returns the API error code for the failure of an attempt.
func apiCode(failure *forward.Error) api.Code {
	switch failure.Code {
	case forward.CodeBusy:
		if failure.Message == "deadline" {
			return api.Deadline
		}
		return api.Overloaded
	case forward.CodeNoServer:
		return api.NoBackend
	case forward.CodeDraining:
		return api.Draining
	case forward.CodeRefused:
		return api.Overloaded
	case forward.CodeLink:
		return api.Unreachable
	case forward.CodeCanceled:
		return api.Deadline
	default:
		return api.BackendFailed
	}
}

// contextError returns the error for a request whose context ended: its deadline passed,
// its key was withdrawn or its caller disconnected.
func (r *run) contextError(ctx context.Context) error {
	e := &api.Error{Code: api.Deadline, Message: "the deadline passed", Ran: apiRan(r.state.Ran())}
	if errors.Is(context.Cause(ctx), errWithdrawn) {
		e.Code, e.Message = api.KeyWithdrawn, "the key was withdrawn"
		return e
	}
	e.RetrySafe = e.Ran == api.RanNo || r.task.Idempotent
	return e
}

// quotaError returns the caller's error for a refusal by the quota, and any other error
// unchanged.
func quotaError(err error) error {
	var refused *quota.RefusedError
	if !errors.As(err, &refused) {
		return err
	}
	return api.RefuseFor(api.LimitReached, "limit of the workspace reached: "+refused.Reason, refused.RetryAfter)
}
