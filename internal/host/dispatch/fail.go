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

// errWithdrawn is the cause of a context that ended because the caller's key
// was withdrawn.
var errWithdrawn = errors.New("key withdrawn")

// failure tells the caller how the request ended without an answer.
func (r *run) failure() error {
	if verdict, convicted := r.d.config.Poison.Admit(r.d.config.Now(), r.print); verdict == poison.Refuse {
		return poisoned(convicted)
	}
	ran := ranOf(r.state.Ran())
	if ran == api.RanUnknown && !r.task.Idempotent {
		return &api.Error{Code: api.OutcomeUnknown, Message: "the request may have run and must not be sent again", Ran: ran}
	}
	e := &api.Error{Code: codeOf(r.last), Message: r.last.Message, Ran: ran, RetryAfter: r.last.RetryAfter}
	e.RetrySafe = ran == api.RanNo || r.task.Idempotent
	return e
}

func poisoned(convicted *poison.ConvictedError) *api.Error {
	return &api.Error{Code: api.Poison, Message: "this request crashes backend servers", Ran: api.RanYes, RetryAfter: convicted.RetryAfter}
}

func ranOf(ran attempt.Ran) api.Ran {
	switch ran {
	case attempt.RanNo:
		return api.RanNo
	case attempt.RanYes:
		return api.RanYes
	default:
		return api.RanUnknown
	}
}

func codeOf(failure *forward.Error) api.Code {
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

// expired tells the caller that its time, its key or its connection ended.
func (r *run) expired(ctx context.Context) error {
	e := &api.Error{Code: api.Deadline, Message: "the deadline passed", Ran: ranOf(r.state.Ran())}
	if errors.Is(context.Cause(ctx), errWithdrawn) {
		e.Code, e.Message = api.KeyWithdrawn, "the key was withdrawn"
		return e
	}
	e.RetrySafe = e.Ran == api.RanNo || r.task.Idempotent
	return e
}

// limited turns a refusal of the quota into the caller's error.
func limited(err error) error {
	var refused *quota.RefusedError
	if !errors.As(err, &refused) {
		return err
	}
	return api.RefuseFor(api.LimitReached, "limit of the workspace reached: "+refused.Reason, refused.RetryAfter)
}
