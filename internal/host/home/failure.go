package home

import (
	"context"
	"errors"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/backend/service"
	"github.com/hyssopwall/hyssopwall/internal/entry/route"
	"github.com/hyssopwall/hyssopwall/internal/host/forward"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// failureOf converts the error of an attempt to the error for the host that received
// the request: whether it ran, and whether its backend server crashed. It returns nil
// for a nil error. Unless the backend server refused it, an attempt whose sink failed or
// whose context has ended counts as run.
func (h *Home) failureOf(ctx context.Context, j *job, choice route.Choice, err error) *forward.Error {
	var refusedEngine *engine.RefusedError
	var refusedService *service.RefusedError
	var sinkFailed *sinkError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refusedEngine):
		return h.engineRefused(choice, refusedEngine.Code, refusedEngine)
	case errors.As(err, &refusedService):
		f := refuse(forward.CodeRefused, refusedService.Error(), refusedService.RetryAfter)
		f.Server = choice.Server
		return f
	case errors.As(err, &sinkFailed), ctx.Err() != nil:
		return &forward.Error{Code: forward.CodeCanceled, Message: "given up", Ran: "yes", Server: choice.Server}
	default:
		return h.brokenAnswer(ctx, j, choice, err)
	}
}

// engineRefused returns the failure for a request that an engine refused.
func (h *Home) engineRefused(choice route.Choice, code string, err *engine.RefusedError) *forward.Error {
	f := refuse(forward.CodeRefused, "backend server refused: "+code, err.RetryAfter)
	f.Server = choice.Server
	return f
}

// brokenAnswer returns the failure for an attempt that sent no request or got no
// complete and valid answer. It logs the cases in which the attempt may have run.
func (h *Home) brokenAnswer(ctx context.Context, j *job, choice route.Choice, err error) *forward.Error {
	f := &forward.Error{Code: forward.CodeBroken, Message: err.Error(), Ran: "unknown", Server: choice.Server}
	reason := "status"
	var fromEngine *engine.BrokenError
	var fromService *service.BrokenError
	switch {
	case errors.As(err, &fromEngine):
		reason = fromEngine.Reason
		if !fromEngine.Sent {
			f.Ran = "no"
		}
	case errors.As(err, &fromService):
		reason = fromService.Reason
		if !fromService.Sent {
			f.Ran = "no"
		}
	}
	f.Tainted = reason == engine.ReasonDigest || reason == engine.ReasonCrossed || reason == engine.ReasonMalformed
	if f.Ran != "no" {
		f.Alone = j.task.Solo && h.servers.IsAlone(h.config.Now(), choice.Server, j.task.ID)
		f.Crashed = h.hasCrashed(ctx, choice)
		h.config.Log.Emit(event.AnswerDropped, "server", choice.Server, "request", j.task.ID, "reason", reason, "crashed", f.Crashed)
	}
	return f
}

// hasCrashed reports whether an engine has crashed or restarted: it doesn't answer a
// state request within crashProbeTimeout or before ctx ends, or reports a boot identifier
// that differs from the last known one. It returns false for services and for servers that
// have left this home.
func (h *Home) hasCrashed(ctx context.Context, choice route.Choice) bool {
	b, ok := h.backend(choice.Server)
	if !ok || b.engine == nil {
		return false
	}
	known := h.servers.Boot(choice.Server)
	ctx, stop := context.WithTimeout(ctx, crashProbeTimeout)
	defer stop()
	state, err := b.engine.State(ctx)
	return err != nil || (known != "" && state.Boot != known)
}
