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

// explain turns the error of an attempt into what the entry host has to know:
// whether it ran, and whether its backend server crashed.
func (h *Home) explain(ctx context.Context, j *job, choice route.Choice, err error) *forward.Error {
	var refusedEngine *engine.RefusedError
	var refusedService *service.RefusedError
	var gone *sinkError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refusedEngine):
		return h.refused(choice, refusedEngine.Code, refusedEngine)
	case errors.As(err, &refusedService):
		f := refuse(forward.CodeRefused, refusedService.Error(), refusedService.RetryAfter)
		f.Server = choice.Server
		return f
	case errors.As(err, &gone), ctx.Err() != nil:
		return &forward.Error{Code: forward.CodeCanceled, Message: "given up", Ran: "yes", Server: choice.Server}
	default:
		return h.broken(ctx, j, choice, err)
	}
}

func (h *Home) refused(choice route.Choice, code string, err *engine.RefusedError) *forward.Error {
	f := refuse(forward.CodeRefused, "backend server refused: "+code, err.RetryAfter)
	f.Server = choice.Server
	return f
}

func (h *Home) broken(ctx context.Context, j *job, choice route.Choice, err error) *forward.Error {
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
		f.Alone = j.task.Solo && h.engines.IsAlone(h.config.Now(), choice.Server, j.task.ID)
		f.Crashed = h.crashed(ctx, choice)
		h.config.Log.Emit(event.AnswerDropped, "server", choice.Server, "request", j.task.ID, "reason", reason, "crashed", f.Crashed)
	}
	return f
}

// crashed says whether an engine has died or restarted: it gives no report, or
// one of another start than the last known.
func (h *Home) crashed(ctx context.Context, choice route.Choice) bool {
	b, ok := h.backend(choice.Server)
	if !ok || b.engine == nil {
		return false
	}
	known := h.engines.Boot(choice.Server)
	ctx, stop := context.WithTimeout(ctx, crashProbe)
	defer stop()
	state, err := b.engine.State(ctx)
	return err != nil || (known != "" && state.Boot != known)
}
