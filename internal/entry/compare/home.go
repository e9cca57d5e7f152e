package compare

import (
	"fmt"

	"github.com/hyssopwall/hyssopwall/internal/entry/attempt"
	"github.com/hyssopwall/hyssopwall/internal/entry/queue"
	"github.com/hyssopwall/hyssopwall/internal/entry/route"
)

// enqueue adds a request to the host's queue and dispatches. A request that the queue
// refuses ends as expired.
func (h *host) enqueue(p *pendingRequest) {
	item := queue.Item{ID: fmt.Sprint(p.request.id), Workspace: h.fleet.workspace(p), Tokens: declaredTokens, Value: p}
	if h.fleet.policy.Shed {
		item.Deadline = p.request.deadline
	}
	shed, err := h.queue.Push(h.fleet.sim.now, item)
	h.fleet.finishShed(shed)
	if err != nil {
		h.fleet.finish(p, attempt.Event{Kind: attempt.EventExpire})
		return
	}
	h.dispatch()
}

// dispatch sends waiting requests while an engine has a free slot.
func (h *host) dispatch() {
	for {
		var choice route.Choice
		h.fleet.lastAttemptID++
		id := h.fleet.lastAttemptID
		item, ok, shed := h.queue.Pop(h.fleet.sim.now, func(item queue.Item) bool {
			var open bool
			choice, open = h.engines.Reserve(h.fleet.sim.now, h.need(item.Value.(*pendingRequest), id))
			return open
		})
		h.fleet.finishShed(shed)
		if !ok {
			return
		}
		h.send(item.Value.(*pendingRequest), id, choice, item)
	}
}

// need returns the requirements of the send attempt with the given ID. It avoids the
// engines that other attempts of the request use.
func (h *host) need(p *pendingRequest, id int) route.Need {
	need := route.Need{ID: fmt.Sprint(id), Pool: pool, PromptTokens: sharedPrompt + ownPrompt, Tokens: declaredTokens}
	if h.fleet.policy.Prefix {
		need.Prefixes = prefixesOf(p.request.group)
	}
	for _, sa := range p.attempts {
		need.Avoid = append(need.Avoid, sa.engine.name)
	}
	return need
}

// send starts a send attempt. The queue was charged for item when it was popped; a
// hedge passes the zero item and is charged in full at its end.
func (h *host) send(p *pendingRequest, id int, choice route.Choice, item queue.Item) {
	p.state, _ = attempt.Next(p.state, attempt.Event{Kind: attempt.EventSend, AttemptID: id})
	sa := &sendAttempt{id: id, request: p.request}
	sa.done = func(sa *sendAttempt, e attemptResult) { h.attemptEnded(p, sa, e, item) }
	p.attempts[id] = sa
	h.scheduleHedge(p)
	h.fakeEngines[choice.Server].submit(sa)
}

// attemptEnded releases the engine, settles the charge of the queue and applies the
// next decision for the request.
func (h *host) attemptEnded(p *pendingRequest, sa *sendAttempt, e attemptResult, item queue.Item) {
	now := h.fleet.sim.now
	delete(p.attempts, sa.id)
	h.engines.Release(now, sa.engine.name, fmt.Sprint(sa.id), route.Outcome{
		Tokens: e.tokens, Elapsed: now.Sub(sa.sent), Failed: !e.complete,
	})
	item.Workspace = h.fleet.workspace(p)
	h.queue.Settle(now, item, queue.Result{Used: e.tokens, Elapsed: now.Sub(sa.sent), Complete: e.complete})
	event := attempt.Event{Kind: attempt.EventAnswer, AttemptID: sa.id}
	if !e.complete {
		event = attempt.Event{Kind: attempt.EventBroken, AttemptID: sa.id, Unsent: e.unsent, BudgetAllows: h.fleet.allowsRetry(p)}
	}
	var d attempt.Decision
	p.state, d = attempt.Next(p.state, event)
	h.applyDecision(p, d)
	h.dispatch()
}

// applyDecision carries out a decision of the attempt state machine.
func (h *host) applyDecision(p *pendingRequest, d attempt.Decision) {
	for _, id := range d.Cancel {
		h.cancel(p, id)
	}
	switch {
	case d.Do == attempt.DoSend:
		h.fleet.routeToHome(p)
	case d.Do == attempt.DoFinish && d.Ran == attempt.RanYes:
		p.request.answered = h.fleet.sim.now
		h.fleet.hedgeDelay.Add(h.fleet.sim.now.Sub(p.request.at))
	}
}

// cancel cancels a send attempt and releases its engine.
func (h *host) cancel(p *pendingRequest, id int) {
	sa := p.attempts[id]
	if sa == nil {
		return
	}
	delete(p.attempts, id)
	sa.engine.cancel(sa)
	h.engines.Release(h.fleet.sim.now, sa.engine.name, fmt.Sprint(id), route.Outcome{})
}

// allowsRetry reports whether a request may be sent again, and takes the retry from
// the budget.
func (fl *fleet) allowsRetry(p *pendingRequest) bool {
	return !p.state.IsFinal() && (!fl.policy.Budget || fl.budget.Take(fl.sim.now))
}

// scheduleHedge schedules a hedge for the time after which the first attempt counts
// as slow.
func (h *host) scheduleHedge(p *pendingRequest) {
	after, ok := h.fleet.hedgeDelay.After()
	if !h.fleet.policy.Hedge || !ok || len(p.attempts) > 1 {
		return
	}
	h.fleet.sim.after(after, func() { h.hedge(p) })
}

// hedge starts a second attempt if exactly one is in flight, no request waits, an
// engine has a free slot and the budget allows it.
func (h *host) hedge(p *pendingRequest) {
	now := h.fleet.sim.now
	if len(p.attempts) != 1 || p.state.IsFinal() || h.queue.Load().Waiting > 0 {
		return
	}
	h.fleet.lastAttemptID++
	id := h.fleet.lastAttemptID
	choice, ok := h.engines.Reserve(now, h.need(p, id))
	if !ok {
		return
	}
	var d attempt.Decision
	p.state, d = attempt.Next(p.state, attempt.Event{Kind: attempt.EventSlow, BudgetAllows: h.fleet.budget.TakeHedge(now)})
	if d.Do != attempt.DoHedge {
		h.engines.Release(now, choice.Server, fmt.Sprint(id), route.Outcome{})
		return
	}
	h.send(p, id, choice, queue.Item{})
}

// workspace returns the name that a request is queued under. Without fair queueing all
// requests share the empty name.
func (fl *fleet) workspace(p *pendingRequest) string {
	if fl.policy.Fair {
		return fmt.Sprint("w", p.request.workspace)
	}
	return ""
}
