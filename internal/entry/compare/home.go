package compare

import (
	"fmt"

	"github.com/hyssopwall/hyssopwall/internal/entry/attempt"
	"github.com/hyssopwall/hyssopwall/internal/entry/queue"
	"github.com/hyssopwall/hyssopwall/internal/entry/route"
)

// enqueue puts a request into the home's queue.
func (h *host) enqueue(fi *flight) {
	item := queue.Item{ID: fmt.Sprint(fi.request.id), Workspace: h.fleet.workspace(fi), Tokens: estimate, Value: fi}
	if h.fleet.policy.Shed {
		item.Deadline = fi.request.deadline
	}
	shed, err := h.queue.Push(h.fleet.world.now, item)
	h.fleet.refuse(shed)
	if err != nil {
		h.fleet.finish(fi, attempt.Event{Kind: attempt.EventExpire})
		return
	}
	h.dispatch()
}

// dispatch sends what waits while an engine is open.
func (h *host) dispatch() {
	for {
		var choice route.Choice
		h.fleet.legs++
		id := h.fleet.legs
		item, ok, shed := h.queue.Pop(h.fleet.world.now, func(item queue.Item) bool {
			var open bool
			choice, open = h.engines.Reserve(h.fleet.world.now, h.need(item.Value.(*flight), id))
			return open
		})
		h.fleet.refuse(shed)
		if !ok {
			return
		}
		h.send(item.Value.(*flight), id, choice, item)
	}
}

func (h *host) need(fi *flight, id int) route.Need {
	need := route.Need{ID: fmt.Sprint(id), Pool: pool, PromptTokens: sharedPrompt + ownPrompt, Tokens: estimate}
	if h.fleet.policy.Prefix {
		need.Prefixes = prefixesOf(fi.request.group)
	}
	for _, l := range fi.legs {
		need.Avoid = append(need.Avoid, l.engine.name)
	}
	return need
}

// send starts a leg. item is what the queue was charged for it, zero for a
// hedge, which is charged in full at its end.
func (h *host) send(fi *flight, id int, choice route.Choice, item queue.Item) {
	fi.state, _ = attempt.Next(fi.state, attempt.Event{Kind: attempt.EventSend, AttemptID: id})
	l := &leg{id: id, request: fi.request}
	l.done = func(l *leg, e ending) { h.ended(fi, l, e, item) }
	fi.legs[id] = l
	h.hedgeLater(fi)
	h.fakes[choice.Server].submit(l)
}

func (h *host) ended(fi *flight, l *leg, e ending, item queue.Item) {
	now := h.fleet.world.now
	delete(fi.legs, l.id)
	h.engines.Release(now, l.engine.name, fmt.Sprint(l.id), route.Outcome{
		Tokens: e.tokens, Elapsed: now.Sub(l.sent), Failed: !e.whole,
	})
	item.Workspace = h.fleet.workspace(fi)
	h.queue.Settle(now, item, queue.Result{Used: e.tokens, Elapsed: now.Sub(l.sent), Complete: e.whole})
	event := attempt.Event{Kind: attempt.EventAnswer, AttemptID: l.id}
	if !e.whole {
		event = attempt.Event{Kind: attempt.EventBroken, AttemptID: l.id, Unsent: e.unsent, BudgetAllows: h.fleet.mayRetry(fi)}
	}
	var d attempt.Decision
	fi.state, d = attempt.Next(fi.state, event)
	h.follow(fi, d)
	h.dispatch()
}

// follow does what the machine decided.
func (h *host) follow(fi *flight, d attempt.Decision) {
	for _, id := range d.Cancel {
		h.cancel(fi, id)
	}
	switch {
	case d.Do == attempt.DoSend:
		h.fleet.toHome(fi)
	case d.Do == attempt.DoFinish && d.Ran == attempt.RanYes:
		fi.request.answered = h.fleet.world.now
		h.fleet.delay.Add(h.fleet.world.now.Sub(fi.request.at))
	}
}

func (h *host) cancel(fi *flight, id int) {
	l := fi.legs[id]
	if l == nil {
		return
	}
	delete(fi.legs, id)
	l.engine.cancel(l)
	h.engines.Release(h.fleet.world.now, l.engine.name, fmt.Sprint(id), route.Outcome{})
}

func (fl *fleet) mayRetry(fi *flight) bool {
	return !fi.state.IsFinal() && (!fl.policy.Budget || fl.budget.Take(fl.world.now))
}

// hedgeLater sends a second leg when the first is slow and an engine is open.
func (h *host) hedgeLater(fi *flight) {
	after, ok := h.fleet.delay.After()
	if !h.fleet.policy.Hedge || !ok || len(fi.legs) > 1 {
		return
	}
	h.fleet.world.after(after, func() { h.hedge(fi) })
}

func (h *host) hedge(fi *flight) {
	now := h.fleet.world.now
	if len(fi.legs) != 1 || fi.state.IsFinal() || h.queue.Load().Waiting > 0 {
		return
	}
	h.fleet.legs++
	id := h.fleet.legs
	choice, ok := h.engines.Reserve(now, h.need(fi, id))
	if !ok {
		return
	}
	var d attempt.Decision
	fi.state, d = attempt.Next(fi.state, attempt.Event{Kind: attempt.EventSlow, BudgetAllows: h.fleet.budget.TakeHedge(now)})
	if d.Do != attempt.DoHedge {
		h.engines.Release(now, choice.Server, fmt.Sprint(id), route.Outcome{})
		return
	}
	h.send(fi, id, choice, queue.Item{})
}

func (fl *fleet) workspace(fi *flight) string {
	if fl.policy.Fair {
		return fmt.Sprint("w", fi.request.workspace)
	}
	return ""
}
