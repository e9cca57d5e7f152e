package dispatch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/backend/service"
	"github.com/hyssopwall/hyssopwall/internal/host/api"
	"github.com/hyssopwall/hyssopwall/internal/host/forward"
)

// Generate runs a generation and passes its events to sink as they arrive. The last event
// is held back until the usage is counted. A broken stream resumes on another engine
// without a gap or a repetition in the events.
func (d *Dispatcher) Generate(ctx context.Context, call api.Call, request engine.Request, sink api.Sink) (err error) {
	started := d.config.Now()
	defer func() { d.observe(call, started, err) }()
	admitted, err := d.admit(ctx, call, request.MaxTokens)
	if err != nil {
		return err
	}
	used := 0
	defer func() { admitted.release(used) }()
	r, err := d.prepare(call, forward.Task{Engine: &request}, []byte(request.Prompt))
	if err != nil {
		return err
	}
	var last *engine.Event
	r.onItem = func(item forward.Item) error {
		if item.Event == nil {
			return nil
		}
		used += item.Event.Tokens
		if item.Event.Done {
			used = item.Event.Tokens
			last = item.Event
			return nil
		}
		r.partial.add(*item.Event)
		return sink.Event(*item.Event)
	}
	r.restart = sink.Restart
	if err := r.execute(admitted.ctx); err != nil {
		return err
	}
	d.count(ctx, Usage{Workspace: call.Caller.Workspace, Requests: 1, Tokens: uint64(used)})
	if last == nil {
		return &api.Error{Code: api.BackendFailed, Message: "answer without an end", Ran: api.RanYes}
	}
	return sink.Event(*last)
}

// count counts usage before the last byte of an answer is sent, so that a crash of this
// host afterwards can't lose it. When no other host can store a copy, the answer is sent
// all the same: the counter of this host has the usage.
func (d *Dispatcher) count(ctx context.Context, usage Usage) {
	if d.config.Meter == nil || usage.Workspace == "" {
		return
	}
	_ = d.config.Meter.Count(context.WithoutCancel(ctx), usage)
}

// Invoke calls a plain service. A call with an idempotency key on a route that is not
// idempotent is claimed first, so that it runs at most once whichever hosts its repeats
// reach.
func (d *Dispatcher) Invoke(ctx context.Context, call api.Call, request service.Request) (answer service.Response, err error) {
	started := d.config.Now()
	defer func() { d.observe(call, started, err) }()
	admitted, err := d.admit(ctx, call, 1)
	if err != nil {
		return service.Response{}, err
	}
	defer admitted.release(1)
	answer, ran, err := d.invokeOnce(admitted.ctx, call, request)
	if err == nil && ran && !call.Internal {
		d.count(ctx, Usage{Workspace: call.Caller.Workspace, Requests: 1})
	}
	return answer, err
}

// invokeOnce runs a call, under a claim if it needs one. The boolean is false when the
// answer is that of an earlier run.
func (d *Dispatcher) invokeOnce(ctx context.Context, call api.Call, request service.Request) (service.Response, bool, error) {
	if call.Route.Idempotent || call.IdempotencyKey == "" || d.config.Claims == nil {
		answer, err := d.invoke(ctx, call, request)
		return answer, true, err
	}
	claim := Claim{
		Workspace: call.Caller.Workspace, IdempotencyKey: call.IdempotencyKey, Attempt: call.ID,
		Digest: requestDigest(request), MaxDuration: call.Deadline.Sub(d.config.Now()),
	}
	first, err := d.config.Claims.Begin(ctx, claim)
	if err != nil {
		return service.Response{}, false, err
	}
	if first != nil {
		first.ID = call.ID
		return *first, false, nil
	}
	answer, err := d.invoke(ctx, call, request)
	d.settleClaim(ctx, claim, answer, err)
	return answer, true, err
}

// settleClaim stores the answer of a claimed request, or releases the claim when the
// request certainly did not run. A request with an unknown outcome stays claimed.
func (d *Dispatcher) settleClaim(ctx context.Context, claim Claim, answer service.Response, err error) {
	ctx = context.WithoutCancel(ctx)
	if err == nil {
		_ = d.config.Claims.Finish(ctx, claim, answer) // without it, repeats are refused: as running, after MaxDuration with an unknown outcome
		return
	}
	if api.AsError(err).Ran == api.RanNo {
		_ = d.config.Claims.Release(ctx, claim) // without it, repeats are refused as above
	}
}

// invoke runs a call to a plain service, hedged if the route is idempotent, and returns
// its only answer.
func (d *Dispatcher) invoke(ctx context.Context, call api.Call, request service.Request) (service.Response, error) {
	r, err := d.prepare(call, forward.Task{Service: &request}, append([]byte(request.Method+" "+request.Path+"\n"), request.Body...))
	if err != nil {
		return service.Response{}, err
	}
	r.hedge = call.Route.Idempotent
	started := d.config.Now()
	if err := r.execute(ctx); err != nil {
		return service.Response{}, err
	}
	if len(r.answers) != 1 || r.answers[0].Answer == nil {
		return service.Response{}, &api.Error{Code: api.BackendFailed, Message: "answer is not whole", Ran: api.RanYes}
	}
	d.route(call.Route.Name).delay.Add(d.config.Now().Sub(started))
	answer := *r.answers[0].Answer
	answer.ID = call.ID
	return answer, nil
}

// requestDigest returns the SHA-256 of a request's method, path and body, by which an
// idempotency key that is reused for a different request is detected.
func requestDigest(request service.Request) string {
	h := sha256.New()
	_, _ = h.Write([]byte(request.Method + "\n" + request.Path + "\n")) // hash.Hash never fails
	_, _ = h.Write(request.Body)
	return hex.EncodeToString(h.Sum(nil))
}
