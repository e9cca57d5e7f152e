package dispatch

import (
	"context"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/entry/poison"
	"github.com/hyssopwall/hyssopwall/internal/entry/quota"
	"github.com/hyssopwall/hyssopwall/internal/host/api"
	"github.com/hyssopwall/hyssopwall/internal/host/forward"
)

// admission is a request that has passed its limits. leave must be called with
// the tokens that it used.
type admission struct {
	ctx   context.Context
	leave func(used int)
}

// admit takes the request's limits and registers it under its key, so that it
// ends when the key is withdrawn.
func (d *Dispatcher) admit(ctx context.Context, call api.Call, tokens int) (admission, error) {
	tickets, err := d.take(call, tokens)
	if err != nil {
		return admission{}, limited(err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	out, err := d.config.Gate.RegisterStream(call.Caller, func() { cancel(errWithdrawn) })
	if err != nil {
		d.give(tickets, 0)
		cancel(nil)
		return admission{}, api.Refuse(api.KeyWithdrawn, "the key was withdrawn")
	}
	leave := func(used int) {
		out()
		cancel(nil)
		d.give(tickets, used)
	}
	return admission{ctx: ctx, leave: leave}, nil
}

// take takes the limit of the route and that of the whole workspace.
func (d *Dispatcher) take(call api.Call, tokens int) ([]quota.Reservation, error) {
	now := d.config.Now()
	var tickets []quota.Reservation
	for _, name := range []string{call.Route.Name, ""} {
		ticket, err := d.config.Quota.Acquire(now, quota.Key{Workspace: call.Caller.Workspace, Route: name}, tokens)
		if err != nil {
			d.give(tickets, 0)
			return nil, err
		}
		tickets = append(tickets, ticket)
	}
	return tickets, nil
}

func (d *Dispatcher) give(tickets []quota.Reservation, used int) {
	for _, ticket := range tickets {
		d.config.Quota.Finish(ticket, used)
	}
}

// prepare returns the run of a task, alone if it is suspected of crashing
// backend servers, or the error of a convicted one.
func (d *Dispatcher) prepare(call api.Call, task forward.Task, body []byte) (*run, error) {
	task.ID = call.ID
	task.Workspace = call.Caller.Workspace
	task.Pool = call.Pool.Name
	task.Route = call.Route.Name
	task.Priority = call.Priority
	task.Idempotent = call.Route.Idempotent
	task.TimeLeft = call.Deadline.Sub(d.config.Now())
	fingerprint := poison.FingerprintOf(task.Workspace, task.Route, body)
	verdict, convicted := d.config.Poison.Admit(d.config.Now(), fingerprint)
	if verdict == poison.Refuse {
		return nil, poisoned(convicted)
	}
	task.Solo = verdict == poison.Solo
	return d.newRun(task, fingerprint), nil
}

func (d *Dispatcher) observe(call api.Call, began time.Time, err error) {
	if d.config.Observe == nil || call.Internal {
		return
	}
	d.config.Observe(Result{
		Workspace: call.Caller.Workspace, Route: call.Route.Name,
		Good: err == nil, Elapsed: d.config.Now().Sub(began),
	})
}
