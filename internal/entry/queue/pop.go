package queue

import (
	"slices"
	"time"
)

// Pop removes and returns the next request. It calls accept before it removes a
// request; accept typically reserves a backend server. If accept returns false,
// the request keeps its place and the next workspace is tried. A nil accept accepts
// every request. accept must not call the queue. Pop also sheds requests at the
// head of a workspace that can't meet their deadline any more, and returns them in
// shed.
func (q *Queue) Pop(now time.Time, accept func(Item) bool) (item Item, ok bool, shed []Shed) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pops++
	before := q.save()
	for q.hasUnblocked() {
		f := q.nextFlow()
		if f == nil {
			q.skipRounds()
			continue
		}
		head := f.items[0]
		if q.missesDeadline(*head, now, q.waiting-1) {
			shed = append(shed, q.newShed(f, q.removeAt(f, 0), ReasonDeadline))
			continue
		}
		if accept != nil && !accept(*head) {
			f.blockedPop = q.pops
			f.credit = min(f.credit, head.charged) // a blocked workspace saves no more than its head needs
			continue
		}
		q.charge(now, f, head)
		return *head, true, shed
	}
	q.restore(before)
	return Item{}, false, shed
}

// charge removes the head of a workspace and charges its expected tokens.
func (q *Queue) charge(now time.Time, f *flow, head *Item) {
	f.lastPop = now
	f.credit -= head.charged
	f.used += int64(head.charged)
	q.removeAt(f, 0)
	q.throughput.add(now, head.charged, q.waiting > 0)
}

// position is the state of the round robin before a Pop.
type position struct {
	flow     *flow
	credited bool
	round    uint64
}

// save records the position and the credit of every waiting workspace. A Pop
// that returns no request restores them: it would otherwise give credit without
// service, and repeated calls would repay every debt.
func (q *Queue) save() position {
	for _, f := range q.ring {
		f.saved = f.credit
	}
	before := position{credited: q.credited, round: q.round}
	if len(q.ring) > 0 {
		before.flow = q.ring[q.turn]
	}
	return before
}

// restore undoes the changes of a Pop to the round robin since save.
func (q *Queue) restore(before position) {
	for _, f := range q.ring {
		f.credit = f.saved
	}
	q.round = before.round
	q.credited = false
	if at := slices.Index(q.ring, before.flow); at >= 0 {
		q.turn, q.credited = at, before.credited
	}
}

// hasUnblocked reports whether a workspace waits whose head the accept function of
// this Pop has not rejected.
func (q *Queue) hasUnblocked() bool {
	for _, f := range q.ring {
		if f.blockedPop != q.pops {
			return true
		}
	}
	return false
}

// nextFlow goes round the ring once and returns the first workspace whose credit
// covers its head (rule 1), or nil after a complete round without one.
func (q *Queue) nextFlow() *flow {
	for range len(q.ring) + 1 {
		f := q.ring[q.turn]
		if f.blockedPop != q.pops {
			q.addCredit(f)
			if f.credit >= f.items[0].charged {
				return f
			}
		}
		q.advance()
	}
	return nil
}

// addCredit gives a workspace its credit once per turn.
func (q *Queue) addCredit(f *flow) {
	if q.credited {
		return
	}
	q.credited = true
	f.credit += q.quantum() * f.weight
}

// advance passes the turn to the next workspace in the ring.
func (q *Queue) advance() {
	q.credited = false
	q.turn++
	if q.turn >= len(q.ring) {
		q.turn = 0
		q.round++
	}
}

// skipRounds gives the credit of several rounds at once: as many as the first
// workspace to become ready needs, less the last one, which nextFlow gives in
// order.
func (q *Queue) skipRounds() {
	least := -1
	for _, f := range q.ring {
		if f.blockedPop == q.pops {
			continue
		}
		gain := q.quantum() * f.weight
		rounds := (f.items[0].charged - f.credit + gain - 1) / gain
		if least < 0 || rounds < least {
			least = rounds
		}
	}
	if least <= 1 {
		return
	}
	for _, f := range q.ring {
		if f.blockedPop != q.pops {
			f.credit += (least - 1) * q.quantum() * f.weight
		}
	}
	q.round += uint64(least - 1)
}
