package queue

import (
	"slices"
	"time"
)

// Push adds a request, or refuses it with a *RefusedError. shed holds the
// requests that were dropped to free a slot for it; their callers must be
// answered at once.
func (q *Queue) Push(now time.Time, item Item) (shed []Shed, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	f := q.flowOf(item.Workspace)
	q.repayDebt(f)
	item.charged = max(1, int(q.expectedRatio(now, f)*float64(item.Tokens)))
	if q.closed {
		return nil, &RefusedError{ID: item.ID, Reason: ReasonClosed, RetryAfter: minRetryAfter}
	}
	if wait := q.expectedWait(f, item.Priority); q.missesDeadline(item, now.Add(wait), q.waiting) {
		return nil, &RefusedError{ID: item.ID, Reason: ReasonDeadline, RetryAfter: retryAfter(wait)}
	}
	if q.waiting >= q.capacity() {
		victim, ok := q.shedFor(f)
		if !ok {
			return nil, &RefusedError{ID: item.ID, Reason: ReasonFull, RetryAfter: retryAfter(q.expectedWait(f, item.Priority))}
		}
		shed = append(shed, victim)
	}
	q.sequence++
	item.sequence = q.sequence
	q.insert(f, &item)
	return shed, nil
}

// Close refuses every later Push and sheds all waiting requests, for a host that
// hands its queue over.
func (q *Queue) Close() []Shed {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	return q.shedAll(func(*Item) string { return ReasonClosed })
}

// Sweep sheds the requests that can't meet their deadline any more. The host
// calls it at short, regular intervals, so that their callers are answered
// without delay.
func (q *Queue) Sweep(now time.Time) []Shed {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.shedAll(func(item *Item) string {
		if q.missesDeadline(*item, now, q.waiting-1) {
			return ReasonDeadline
		}
		return ""
	})
}

// Remove removes a request whose caller has disconnected. It returns false if
// the request does not wait here.
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
	q.removeAt(f, at)
	return true
}

// Settle charges the difference between the expected and the used tokens of a
// request that Pop returned (rule 2). A complete answer also updates the
// estimates for later requests.
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
	q.throughput.correct(extra)
}

// flowOf returns the state of a workspace and creates it if needed.
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

// insert adds an item in the order of rule 3. Its workspace joins the ring if
// nothing of it waited.
func (q *Queue) insert(f *flow, item *Item) {
	if len(f.items) == 0 {
		q.joinRing(f)
	}
	at, _ := slices.BinarySearchFunc(f.items, item, compareItems)
	f.items = slices.Insert(f.items, at, item)
	f.backlog += item.charged
	q.waiting++
}

// compareItems orders items by rule 3.
func compareItems(a, b *Item) int {
	if a.Priority != b.Priority {
		return b.Priority - a.Priority
	}
	return int(int64(a.sequence) - int64(b.sequence))
}

// repayDebt applies the rounds that passed while a workspace was idle to its
// debt; they give no positive credit (rule 2).
func (q *Queue) repayDebt(f *flow) {
	if len(f.items) > 0 {
		return
	}
	repaid := int64(q.round-f.round) * int64(q.quantum()*f.weight)
	f.credit = int(min(0, int64(f.credit)+repaid))
	f.round = q.round
}

// joinRing adds a workspace to the ring so that its turn comes last.
func (q *Queue) joinRing(f *flow) {
	q.ring = slices.Insert(q.ring, q.turn, f)
	q.turn++
	if q.turn >= len(q.ring) {
		q.turn = 0
	}
}

// leaveRing removes a workspace without waiting requests from the ring.
func (q *Queue) leaveRing(f *flow) {
	at := slices.Index(q.ring, f)
	q.ring = slices.Delete(q.ring, at, at+1)
	switch {
	case at < q.turn:
		q.turn--
	case at == q.turn:
		q.credited = false
	}
	if q.turn >= len(q.ring) {
		q.turn = 0
	}
	f.credit = min(0, f.credit)
	f.round = q.round
}

// removeAt removes one item of a workspace.
func (q *Queue) removeAt(f *flow, at int) *Item {
	item := f.items[at]
	f.items = slices.Delete(f.items, at, at+1)
	f.backlog -= item.charged
	q.waiting--
	if len(f.items) == 0 {
		q.leaveRing(f)
	}
	return item
}

// shedAll sheds every item for which reasonFor returns a reason.
func (q *Queue) shedAll(reasonFor func(*Item) string) []Shed {
	var shed []Shed
	for _, f := range slices.Clone(q.ring) {
		for at := len(f.items) - 1; at >= 0; at-- {
			if reason := reasonFor(f.items[at]); reason != "" {
				shed = append(shed, q.newShed(f, q.removeAt(f, at), reason))
			}
		}
	}
	return shed
}

// shedFor sheds a request of the workspace with the most waiting requests for its
// weight, so that one of f can be accepted, if rule 5 allows it.
func (q *Queue) shedFor(f *flow) (Shed, bool) {
	longest := f
	for _, other := range q.ring {
		if len(other.items)*longest.weight > len(longest.items)*other.weight {
			longest = other
		}
	}
	if longest == f || len(f.items)*q.totalWeight(f) >= q.capacity()*f.weight {
		return Shed{}, false
	}
	return q.newShed(longest, q.removeAt(longest, len(longest.items)-1), ReasonFull), true
}

// newShed returns the Shed of an item that was removed for the given reason.
func (q *Queue) newShed(f *flow, item *Item, reason string) Shed {
	after := retryAfter(q.expectedWait(f, item.Priority))
	return Shed{Item: *item, Refusal: RefusedError{ID: item.ID, Reason: reason, RetryAfter: after}}
}

// SetWeights replaces the weights of the workspaces, for a new configuration
// document.
func (q *Queue) SetWeights(weights map[string]int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.config.Weights = weights
	for name, f := range q.flows {
		f.weight = q.weight(name)
	}
}

// ShedFunc sheds every request for which match returns true, with the given
// reason. match must not call the queue.
func (q *Queue) ShedFunc(reason string, match func(Item) bool) []Shed {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.shedAll(func(item *Item) string {
		if match(*item) {
			return reason
		}
		return ""
	})
}
