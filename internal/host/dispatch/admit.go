package dispatch

import (
	"context"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/entry/poison"
	"github.com/hyssopwall/hyssopwall/internal/entry/quota"
	"github.com/hyssopwall/hyssopwall/internal/host/api"
	"github.com/hyssopwall/hyssopwall/internal/host/forward"
)

// admission is a request within its quotas. Its context is canceled when the caller's
// key is withdrawn. release must be called with the number of tokens the request used.
type admission struct {
	ctx     context.Context
	release func(used int)
}

// admit reserves quota for the request and registers it with the gate under the
// caller's key, so that it is canceled when the key is withdrawn.
func (d *Dispatcher) admit(ctx context.Context, call api.Call, tokens int) (admission, error) {
	reservations, err := d.reserve(call, tokens)
	if err != nil {
		return admission{}, quotaError(err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	unregister, err := d.config.Gate.RegisterStream(call.Caller, func() { cancel(errWithdrawn) })
	if err != nil {
		d.finish(reservations, 0)
		cancel(nil)
		return admission{}, api.Refuse(api.KeyWithdrawn, "the key was withdrawn")
	}
	release := func(used int) {
		unregister()
		cancel(nil)
		d.finish(reservations, used)
	}
	return admission{ctx: ctx, release: release}, nil
}

// reserve reserves tokens in the quota of the route and in that of the whole workspace.
// It returns the error of the quota, with nothing reserved, when either refuses.
func (d *Dispatcher) reserve(call api.Call, tokens int) ([]quota.Reservation, error) {
	now := d.config.Now()
	var reservations []quota.Reservation
	for _, name := range []string{call.Route.Name, ""} {
		reservation, err := d.config.Quota.Acquire(now, quota.Key{Workspace: call.Caller.Workspace, Route: name}, tokens)
		if err != nil {
			d.finish(reservations, 0)
			return nil, err
		}
		reservations = append(reservations, reservation)
	}
	return reservations, nil
}

// finish settles reservations with the number of tokens used.
func (d *Dispatcher) finish(reservations []quota.Reservation, used int) {
	for _, reservation := range reservations {
		d.config.Quota.Finish(reservation, used)
	}
}

// prepare fills in the task from the call and returns its run. A task suspected of
// crashing backend servers runs alone on a server. It returns an error for a task
// convicted of crashing them.
func (d *Dispatcher) prepare(call api.Call, task forward.Task, body []byte) (*run, error) {
	task.ID = call.ID
	task.Workspace = call.Caller.Workspace
	task.Pool = call.Pool.Name
	task.Route = call.Route.Name
	task.Priority = call.Priority
	task.Idempotent = call.Route.Idempotent
	task.TimeLeft = call.Deadline.Sub(d.config.Now())
	fingerprint := poison.FingerprintOf(task.Workspace, task.Route, body)
	verdict, conviction := d.config.Poison.Admit(d.config.Now(), fingerprint)
	if verdict == poison.Refuse {
		return nil, poisonedError(conviction)
	}
	task.Solo = verdict == poison.Solo
	return d.newRun(task, fingerprint), nil
}

// observe reports the result of a request that is not part of another one.
func (d *Dispatcher) observe(call api.Call, started time.Time, err error) {
	if d.config.Observe == nil || call.Internal {
		return
	}
	d.config.Observe(Result{
		Workspace: call.Caller.Workspace, Route: call.Route.Name,
		Good: err == nil, Elapsed: d.config.Now().Sub(started),
	})
}
