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

// Generate runs a generation and passes its events on as they come. The last
// event waits until the usage is counted. A broken stream is resumed on
// another engine, and the caller sees no gap and no repeat.
func (d *Dispatcher) Generate(ctx context.Context, call api.Call, request engine.Request, sink api.Sink) (err error) {
	began := d.config.Now()
	defer func() { d.observe(call, began, err) }()
	admitted, err := d.admit(ctx, call, request.MaxTokens)
	if err != nil {
		return err
	}
	used := 0
	defer func() { admitted.leave(used) }()
	r, err := d.prepare(call, forward.Task{Engine: &request}, []byte(request.Prompt))
	if err != nil {
		return err
	}
	var last *engine.Event
	r.direct = func(item forward.Item) error {
		if item.Event == nil {
			return nil
		}
		used += item.Event.Tokens
		if item.Event.Done {
			used = item.Event.Tokens
			last = item.Event
			return nil
		}
		r.resume.add(*item.Event)
		return sink.Event(*item.Event)
	}
	r.restart = sink.Restart
	if err := r.do(admitted.ctx); err != nil {
		return err
	}
	d.count(ctx, Usage{Workspace: call.Caller.Workspace, Requests: 1, Tokens: uint64(used)})
	if last == nil {
		return &api.Error{Code: api.BackendFailed, Message: "answer without an end", Ran: api.RanYes}
	}
	return sink.Event(*last)
}

// count makes usage safe before the last byte of an answer leaves. When no
// other host can keep a copy, the answer leaves all the same: the counter of
// this host has it.
func (d *Dispatcher) count(ctx context.Context, usage Usage) {
	if d.config.Meter == nil || usage.Workspace == "" {
		return
	}
	_ = d.config.Meter.Count(context.WithoutCancel(ctx), usage)
}

// Invoke calls a plain service. A call that is not idempotent and has an
// idempotency key is claimed first, so that it is sent at most once whichever
// hosts its repeats reach.
func (d *Dispatcher) Invoke(ctx context.Context, call api.Call, request service.Request) (answer service.Answer, err error) {
	began := d.config.Now()
	defer func() { d.observe(call, began, err) }()
	admitted, err := d.admit(ctx, call, 1)
	if err != nil {
		return service.Answer{}, err
	}
	defer admitted.leave(1)
	answer, ran, err := d.claimed(admitted.ctx, call, request)
	if err == nil && ran && !call.Internal {
		d.count(ctx, Usage{Workspace: call.Caller.Workspace, Requests: 1})
	}
	return answer, err
}

// claimed runs a call under its claim, if it needs one. It reports false when
// the answer is that of an earlier run.
func (d *Dispatcher) claimed(ctx context.Context, call api.Call, request service.Request) (service.Answer, bool, error) {
	if call.Route.Idempotent || call.IdempotencyKey == "" || d.config.Claims == nil {
		answer, err := d.invoke(ctx, call, request)
		return answer, true, err
	}
	one := Claim{
		Workspace: call.Caller.Workspace, IdempotencyKey: call.IdempotencyKey, Attempt: call.ID,
		Digest: digestOf(request), MaxDuration: call.Deadline.Sub(d.config.Now()),
	}
	first, err := d.config.Claims.Begin(ctx, one)
	if err != nil {
		return service.Answer{}, false, err
	}
	if first != nil {
		first.ID = call.ID
		return *first, false, nil
	}
	answer, err := d.invoke(ctx, call, request)
	d.settle(ctx, one, answer, err)
	return answer, true, err
}

// settle ends a claim: with the answer, or by giving it back when the request
// certainly did not run. An unknown outcome stays claimed.
func (d *Dispatcher) settle(ctx context.Context, one Claim, answer service.Answer, err error) {
	ctx = context.WithoutCancel(ctx)
	if err == nil {
		_ = d.config.Claims.Finish(ctx, one, answer) // without it, repeats are told that the outcome is unknown
		return
	}
	if api.AsError(err).Ran == api.RanNo {
		_ = d.config.Claims.Release(ctx, one) // without it, the claim ends with the attempt's time
	}
}

func (d *Dispatcher) invoke(ctx context.Context, call api.Call, request service.Request) (service.Answer, error) {
	r, err := d.prepare(call, forward.Task{Service: &request}, append([]byte(request.Method+" "+request.Path+"\n"), request.Body...))
	if err != nil {
		return service.Answer{}, err
	}
	r.hedge = call.Route.Idempotent
	began := d.config.Now()
	if err := r.do(ctx); err != nil {
		return service.Answer{}, err
	}
	if len(r.answers) != 1 || r.answers[0].Answer == nil {
		return service.Answer{}, &api.Error{Code: api.BackendFailed, Message: "answer is not whole", Ran: api.RanYes}
	}
	d.route(call.Route.Name).delay.Add(d.config.Now().Sub(began))
	answer := *r.answers[0].Answer
	answer.ID = call.ID
	return answer, nil
}

// digestOf identifies what a claimed request asks, so that a key used again
// for something else is found out.
func digestOf(request service.Request) string {
	h := sha256.New()
	_, _ = h.Write([]byte(request.Method + "\n" + request.Path + "\n")) // hash.Hash never fails
	_, _ = h.Write(request.Body)
	return hex.EncodeToString(h.Sum(nil))
}
