package queue

import (
	"slices"
	"time"
)

// Push adds a request, or refuses it with a *RefusedError. shed holds requests
// that had to give up their place for it; their callers must be told at once.
func (q *Queue) Push(now time.Time, item Item) (shed []Shed, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	f := q.flowOf(item.Workspace)
	q.repay(f)
	item.charged = max(1, int(q.ratioOf(now, f)*float64(item.Tokens)))
	if q.closed {
		return nil, &RefusedError{ID: item.ID, Reason: ReasonClosed, RetryAfter: minAfter}
	}
	if wait := q.waitOf(f, item.Priority); q.isHopeless(item, now.Add(wait), q.waiting) {
		return nil, &RefusedError{ID: item.ID, Reason: ReasonDeadline, RetryAfter: clampAfter(wait)}
	}
	if q.waiting >= q.places() {
		victim, ok := q.makeRoom(f)
		if !ok {
			return nil, &RefusedError{ID: item.ID, Reason: ReasonFull, RetryAfter: clampAfter(q.waitOf(f, item.Priority))}
		}
		shed = append(shed, victim)
	}
	q.order++
	item.order = q.order
	q.insert(f, &item)
	return shed, nil
}

// Close refuses every later Push and returns all waiting requests as shed, for
// a host that hands its queue over.
func (q *Queue) Close() []Shed {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	return q.take(func(*Item) string { return ReasonClosed })
}

// Sweep sheds the requests that became hopeless. The host calls it at short,
// regular intervals, so that a request given up is answered at once.
func (q *Queue) Sweep(now time.Time) []Shed {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.take(func(item *Item) string {
		if q.isHopeless(*item, now, q.waiting-1) {
			return ReasonDeadline
		}
		return ""
	})
}

// Remove takes out a request whose caller has gone. It returns false when the
// request does not wait here.
func (q *Queue) Remove(workspace, id string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	f := q.flows[workspace]
	if f == nil {
		return false
	}
	at := slices.IndexFunc(f.items, func(item *Item) bool { return item.ID == id })
	if at < 0 {
		return false
	}
	q.cut(f, at)
	return true
}

// Settle charges the difference between the expected and the true tokens of a
// request that Pop returned (rule 2), and learns from a whole answer what later
// ones take.
func (q *Queue) Settle(now time.Time, item Item, result Result) {
	q.mu.Lock()
	defer q.mu.Unlock()
	f := q.flowOf(item.Workspace)
	if result.Complete {
		q.learn(now, f, item, result)
	}
	extra := result.Used - item.charged
	f.credit -= extra
	f.used += int64(extra)
	q.rate.correct(extra)
}

func (q *Queue) flowOf(workspace string) *flow {
	if f := q.flows[workspace]; f != nil {
		return f
	}
	if q.flows == nil {
		q.flows = make(map[string]*flow)
	}
	f := &flow{name: workspace, weight: q.weight(workspace)}
	q.flows[workspace] = f
	return f
}

// insert places an item by rule 3 and lets its workspace join the ring.
func (q *Queue) insert(f *flow, item *Item) {
	if len(f.items) == 0 {
		q.join(f)
	}
	at, _ := slices.BinarySearchFunc(f.items, item, compareItems)
	f.items = slices.Insert(f.items, at, item)
	f.backlog += item.charged
	q.waiting++
}

func compareItems(a, b *Item) int {
	if a.Priority != b.Priority {
		return b.Priority - a.Priority
	}
	return int(int64(a.order) - int64(b.order))
}

// repay lets the rounds that passed while a workspace was idle repay its debt,
// but give no credit (rule 2).
func (q *Queue) repay(f *flow) {
	if len(f.items) > 0 {
		return
	}
	repaid := int64(q.round-f.round) * int64(q.quantum()*f.weight)
	f.credit = int(min(0, int64(f.credit)+repaid))
	f.round = q.round
}

// join lets a workspace wait its turn behind those in the ring.
func (q *Queue) join(f *flow) {
	q.ring = slices.Insert(q.ring, q.at, f)
	q.at++
	if q.at >= len(q.ring) {
		q.at = 0
	}
}

// leave takes a workspace without waiting requests out of the ring.
func (q *Queue) leave(f *flow) {
	at := slices.Index(q.ring, f)
	q.ring = slices.Delete(q.ring, at, at+1)
	switch {
	case at < q.at:
		q.at--
	case at == q.at:
		q.visited = false
	}
	if q.at >= len(q.ring) {
		q.at = 0
	}
	f.credit = min(0, f.credit)
	f.round = q.round
}

// cut removes one item of a workspace.
func (q *Queue) cut(f *flow, at int) *Item {
	item := f.items[at]
	f.items = slices.Delete(f.items, at, at+1)
	f.backlog -= item.charged
	q.waiting--
	if len(f.items) == 0 {
		q.leave(f)
	}
	return item
}

// take removes every item for which reason gives a reason.
func (q *Queue) take(reason func(*Item) string) []Shed {
	var shed []Shed
	for _, f := range slices.Clone(q.ring) {
		for at := len(f.items) - 1; at >= 0; at-- {
			if why := reason(f.items[at]); why != "" {
				shed = append(shed, q.shedOf(f, q.cut(f, at), why))
			}
		}
	}
	return shed
}

// makeRoom applies rule 5 for a request of workspace f.
func (q *Queue) makeRoom(f *flow) (Shed, bool) {
	longest := f
	for _, other := range q.ring {
		if len(other.items)*longest.weight > len(longest.items)*other.weight {
			longest = other
		}
	}
	if longest == f || len(f.items)*q.weights(f) >= q.places()*f.weight {
		return Shed{}, false
	}
	return q.shedOf(longest, q.cut(longest, len(longest.items)-1), ReasonFull), true
}

func (q *Queue) shedOf(f *flow, item *Item, reason string) Shed {
	after := clampAfter(q.waitOf(f, item.Priority))
	return Shed{Item: *item, Refusal: RefusedError{ID: item.ID, Reason: reason, RetryAfter: after}}
}

// SetWeights replaces the weights of the workspaces, for a new document.
func (q *Queue) SetWeights(weights map[string]int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.config.Weights = weights
	for name, f := range q.flows {
		f.weight = q.weight(name)
	}
}

// ShedFunc takes out every request for which gone returns true, with the
// reason that its caller is told. gone must not call the queue.
func (q *Queue) ShedFunc(reason string, gone func(Item) bool) []Shed {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.take(func(item *Item) string {
		if gone(*item) {
			return reason
		}
		return ""
	})
}
