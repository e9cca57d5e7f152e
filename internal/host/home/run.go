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

// The assumed sizes in bytes of a block of the prefix cache and of a token.
const (
	blockBytes = 64
	tokenBytes = 4
)

// crashProbeTimeout limits the state request to an engine after a broken answer.
const crashProbeTimeout = time.Second

// Run queues a task, runs it on a backend server and passes the answer to sink. It
// returns nil after a complete answer, and a *forward.Error otherwise.
func (h *Home) Run(ctx context.Context, task forward.Task, sink func(forward.Item) error) error {
	h.running.Add(1)
	defer h.running.Add(-1)
	switch {
	case h.draining.Load():
		return refuse(forward.CodeDraining, "the host stops", 0)
	case !h.servers.HasEligible(routeNeed(task, nil)):
		return refuse(forward.CodeNoServer, "no backend server of "+task.Pool+" here that may run it", 0)
	}
	ctx, stop := context.WithTimeout(ctx, task.TimeLeft)
	defer stop()
	j := &job{task: task, reserved: make(chan reservation, 1), shed: make(chan queue.RefusedError, 1)}
	if task.Engine != nil {
		j.prefixes = route.PrefixHashes(task.Engine.Prompt, blockBytes)
	}
	slot, err := h.waitForSlot(ctx, j)
	if err != nil {
		return err
	}
	return h.runReserved(ctx, j, slot, sink)
}

// refuse returns the error for a task that did not run. A positive after is the time
// after which the task may be sent again.
func refuse(code, message string, after time.Duration) *forward.Error {
	return &forward.Error{Code: code, Message: message, Ran: "no", RetryAfter: after}
}

// waitForSlot queues a job and waits until a slot is reserved for it.
func (h *Home) waitForSlot(ctx context.Context, j *job) (reservation, error) {
	q := h.queueFor(j.task.Pool)
	now := h.config.Now()
	shed, err := q.Push(now, queue.Item{
		ID: j.task.ID, Workspace: j.task.Workspace, Priority: j.task.Priority,
		Tokens: expectedTokens(j.task), Deadline: now.Add(j.task.TimeLeft), Value: j,
	})
	notifyShed(shed)
	var refused *queue.RefusedError
	if errors.As(err, &refused) {
		return reservation{}, queueRefusal(*refused)
	}
	h.startWaiting(q)
	select {
	case slot := <-j.reserved:
		return slot, nil
	case refusal := <-j.shed:
		return reservation{}, queueRefusal(refusal)
	case <-ctx.Done():
		h.withdraw(q, j)
		return reservation{}, refuse(forward.CodeCanceled, "gave up while waiting", 0)
	}
}

// withdraw removes a job from the queue after its context has ended. If a slot was
// reserved for it at the same time, the slot is released.
func (h *Home) withdraw(q *queue.Queue, j *job) {
	if q.Remove(j.task.Workspace, j.task.ID) {
		return
	}
	select {
	case slot := <-j.reserved:
		h.servers.Release(h.config.Now(), slot.choice.Server, j.task.ID, route.Outcome{})
		q.Settle(h.config.Now(), slot.item, queue.Result{})
		h.startWaiting(q)
	case <-j.shed:
	}
}

// queueRefusal converts a refusal of the queue to the error for the sending host.
func queueRefusal(refusal queue.RefusedError) *forward.Error {
	code := forward.CodeBusy
	switch refusal.Reason {
	case queue.ReasonClosed:
		code = forward.CodeDraining
	case reasonMoved:
		code, refusal.RetryAfter = forward.CodeNoServer, 0
	}
	return refuse(code, refusal.Reason, refusal.RetryAfter)
}

// notifyShed tells the jobs that were shed from a queue why.
func notifyShed(shed []queue.Shed) {
	for _, s := range shed {
		if j, ok := s.Value.(*job); ok {
			j.shed <- s.Refusal
		}
	}
}

// startWaiting starts waiting jobs while a backend server can take the next one.
func (h *Home) startWaiting(q *queue.Queue) {
	for {
		var choice route.Choice
		item, ok, shed := q.Pop(h.config.Now(), func(item queue.Item) bool {
			j, isJob := item.Value.(*job)
			if !isJob {
				return false
			}
			var hasSlot bool
			choice, hasSlot = h.servers.Reserve(h.config.Now(), routeNeed(j.task, j.prefixes))
			return hasSlot
		})
		notifyShed(shed)
		if !ok {
			return
		}
		if j, isJob := item.Value.(*job); isJob {
			j.reserved <- reservation{choice: choice, item: item}
		}
	}
}

// routeNeed returns the requirements of a task on its backend server.
func routeNeed(task forward.Task, prefixes []uint64) route.Need {
	need := route.Need{
		ID: task.ID, Pool: task.Pool, Prefixes: prefixes, Tokens: expectedTokens(task),
		MinVersion: task.MinVersion, Durable: !task.Idempotent, Solo: task.Solo, Avoid: task.Avoid,
	}
	if task.Engine != nil {
		need.PromptTokens = len(task.Engine.Prompt) / tokenBytes
	}
	return need
}

// expectedTokens returns the cost of a task that is charged in advance, in tokens: the
// maximum length of a generation, and 1 for a call to a service.
func expectedTokens(task forward.Task) int {
	if task.Engine != nil {
		return max(1, task.Engine.MaxTokens)
	}
	return 1
}

// runReserved runs a job on the backend server where a slot is reserved for it, then
// releases the slot and settles the cost with the queue.
func (h *Home) runReserved(ctx context.Context, j *job, slot reservation, sink func(forward.Item) error) error {
	began, choice := h.config.Now(), slot.choice
	tokens, err := h.attempt(ctx, j, choice, sink)
	now := h.config.Now()
	outcome := route.Outcome{Tokens: tokens, Elapsed: now.Sub(began)}
	failure := h.failureOf(ctx, j, choice, err)
	if failure != nil {
		outcome.Refused = failure.Code == forward.CodeRefused
		outcome.Failed = failure.Code == forward.CodeBroken
		outcome.RetryAfter = failure.RetryAfter
	}
	h.servers.Release(now, choice.Server, j.task.ID, outcome)
	q := h.queueFor(j.task.Pool)
	q.Settle(now, slot.item, queue.Result{Used: tokens, Elapsed: now.Sub(began), Complete: failure == nil})
	h.startWaiting(q)
	if failure == nil {
		return nil
	}
	return failure
}

// attempt sends a job to a backend server and returns the number of tokens of the
// answer, also of an answer that broke off. The answer of a service counts as one token.
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

// sinkError is a failure to pass the answer on, rather than of the backend server.
type sinkError struct {
	err error
}

func (e *sinkError) Error() string { return "receiver gone: " + e.err.Error() }

// runEngine passes the events of an engine's answer to sink and returns the number of
// tokens. The count in the last event replaces the sum of the others.
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

// reasonUnavailable is the reason for an answer with status 503, which says only that
// the service is unavailable and leaves open whether the request ran.
const reasonUnavailable = "unavailable"

// runService calls a service and passes its answer to sink. A status 503 counts as a
// broken attempt for idempotent tasks, because they can be retried. The returned cost
// is 1 if an answer was passed on, and 0 after a failed attempt.
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
