package home

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/backend/service"
	"github.com/hyssopwall/hyssopwall/internal/entry/queue"
	"github.com/hyssopwall/hyssopwall/internal/entry/route"
	"github.com/hyssopwall/hyssopwall/internal/host/forward"
)

// The sizes by which a prompt is measured: the bytes of a cache block and of
// a token.
const (
	blockBytes = 64
	tokenBytes = 4
)

// crashProbe is the longest wait for an engine's report after a broken answer.
const crashProbe = time.Second

// Run queues a task, runs it on a backend server and hands the answer to sink.
// It returns nil after a whole answer, and a *forward.Error otherwise.
func (h *Home) Run(ctx context.Context, task forward.Task, sink func(forward.Item) error) error {
	h.running.Add(1)
	defer h.running.Add(-1)
	switch {
	case h.draining.Load():
		return refuse(forward.CodeDraining, "the host stops", 0)
	case !h.engines.HasEligible(needOf(task, nil)):
		return refuse(forward.CodeNoServer, "no backend server of "+task.Pool+" here that may run it", 0)
	}
	ctx, stop := context.WithTimeout(ctx, task.TimeLeft)
	defer stop()
	j := &job{task: task, start: make(chan started, 1), shed: make(chan queue.RefusedError, 1)}
	if task.Engine != nil {
		j.prefixes = route.PrefixHashes(task.Engine.Prompt, blockBytes)
	}
	place, err := h.wait(ctx, j)
	if err != nil {
		return err
	}
	return h.runOn(ctx, j, place, sink)
}

func refuse(code, message string, after time.Duration) *forward.Error {
	return &forward.Error{Code: code, Message: message, Ran: "no", RetryAfter: after}
}

// wait queues a job until a backend server is reserved for it.
func (h *Home) wait(ctx context.Context, j *job) (started, error) {
	q := h.queueOf(j.task.Pool)
	now := h.config.Now()
	shed, err := q.Push(now, queue.Item{
		ID: j.task.ID, Workspace: j.task.Workspace, Priority: j.task.Priority,
		Tokens: tokensOf(j.task), Deadline: now.Add(j.task.TimeLeft), Value: j,
	})
	notify(shed)
	var refused *queue.RefusedError
	if errors.As(err, &refused) {
		return started{}, busy(*refused)
	}
	h.pump(q)
	select {
	case place := <-j.start:
		return place, nil
	case refusal := <-j.shed:
		return started{}, busy(refusal)
	case <-ctx.Done():
		h.abandon(q, j)
		return started{}, refuse(forward.CodeCanceled, "gave up while waiting", 0)
	}
}

// abandon takes a job back whose caller has gone. If it was taken from the
// queue at the same moment, its reservation is released.
func (h *Home) abandon(q *queue.Queue, j *job) {
	if q.Remove(j.task.Workspace, j.task.ID) {
		return
	}
	select {
	case place := <-j.start:
		h.engines.Release(h.config.Now(), place.choice.Server, j.task.ID, route.Outcome{})
		q.Settle(h.config.Now(), place.item, queue.Result{})
		h.pump(q)
	case <-j.shed:
	}
}

func busy(refusal queue.RefusedError) *forward.Error {
	code := forward.CodeBusy
	switch refusal.Reason {
	case queue.ReasonClosed:
		code = forward.CodeDraining
	case reasonMoved:
		code, refusal.RetryAfter = forward.CodeNoServer, 0
	}
	return refuse(code, refusal.Reason, refusal.RetryAfter)
}

func notify(shed []queue.Shed) {
	for _, s := range shed {
		if j, ok := s.Value.(*job); ok {
			j.shed <- s.Refusal
		}
	}
}

// pump starts waiting jobs for which a backend server is open.
func (h *Home) pump(q *queue.Queue) {
	for {
		var choice route.Choice
		item, ok, shed := q.Pop(h.config.Now(), func(item queue.Item) bool {
			j, isJob := item.Value.(*job)
			if !isJob {
				return false
			}
			var open bool
			choice, open = h.engines.Reserve(h.config.Now(), needOf(j.task, j.prefixes))
			return open
		})
		notify(shed)
		if !ok {
			return
		}
		if j, isJob := item.Value.(*job); isJob {
			j.start <- started{choice: choice, item: item}
		}
	}
}

func needOf(task forward.Task, prefixes []uint64) route.Need {
	need := route.Need{
		ID: task.ID, Pool: task.Pool, Prefixes: prefixes, Tokens: tokensOf(task),
		MinVersion: task.MinVersion, Durable: !task.Idempotent, Solo: task.Solo, Avoid: task.Avoid,
	}
	if task.Engine != nil {
		need.PromptTokens = len(task.Engine.Prompt) / tokenBytes
	}
	return need
}

// tokensOf is the expected cost of a task in tokens.
func tokensOf(task forward.Task) int {
	if task.Engine != nil {
		return max(1, task.Engine.MaxTokens)
	}
	return 1
}

// runOn runs a job on its reserved backend server.
func (h *Home) runOn(ctx context.Context, j *job, place started, sink func(forward.Item) error) error {
	began, choice := h.config.Now(), place.choice
	tokens, err := h.attempt(ctx, j, choice, sink)
	now := h.config.Now()
	outcome := route.Outcome{Tokens: tokens, Elapsed: now.Sub(began)}
	failure := h.explain(ctx, j, choice, err)
	if failure != nil {
		outcome.Refused = failure.Code == forward.CodeRefused
		outcome.Failed = failure.Code == forward.CodeBroken
		outcome.RetryAfter = failure.RetryAfter
	}
	h.engines.Release(now, choice.Server, j.task.ID, outcome)
	q := h.queueOf(j.task.Pool)
	q.Settle(now, place.item, queue.Result{Used: tokens, Elapsed: now.Sub(began), Complete: failure == nil})
	h.pump(q)
	if failure == nil {
		return nil
	}
	return failure
}

func (h *Home) attempt(ctx context.Context, j *job, choice route.Choice, sink func(forward.Item) error) (int, error) {
	b, ok := h.backend(choice.Server)
	switch {
	case !ok:
		return 0, &engine.RefusedError{Code: "leaving"}
	case j.task.Engine != nil && b.engine != nil:
		return runEngine(ctx, b.engine, *j.task.Engine, sink)
	case j.task.Service != nil && b.service != nil:
		return runService(ctx, b.service, j.task, sink)
	default:
		return 0, &engine.RefusedError{Code: "kind"}
	}
}

// sinkError is a failure of the receiver, not of the backend server.
type sinkError struct {
	err error
}

func (e *sinkError) Error() string { return "receiver gone: " + e.err.Error() }

func runEngine(ctx context.Context, e engine.Engine, request engine.Request, sink func(forward.Item) error) (int, error) {
	stream, err := e.Run(ctx, request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = stream.Close() }()
	tokens := 0
	for {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return tokens, nil
		}
		if err != nil {
			return tokens, err
		}
		if event.Done {
			tokens = event.Tokens
		} else {
			tokens += event.Tokens
		}
		if err := sink(forward.Item{Event: &event}); err != nil {
			return tokens, &sinkError{err: err}
		}
	}
}

// reasonUnavailable is the reason of an answer that says no more than that the
// service is not available.
const reasonUnavailable = "unavailable"

func runService(ctx context.Context, c service.Caller, task forward.Task, sink func(forward.Item) error) (int, error) {
	answer, err := c.Call(ctx, *task.Service)
	if err != nil {
		return 0, err
	}
	if task.Idempotent && answer.Status == http.StatusServiceUnavailable {
		return 0, &service.BrokenError{ID: task.ID, Reason: reasonUnavailable, Sent: true}
	}
	if err := sink(forward.Item{Answer: &answer}); err != nil {
		return 1, &sinkError{err: err}
	}
	return 1, nil
}
