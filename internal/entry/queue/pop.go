package queue

import (
	"slices"
	"time"
)

// Pop takes the next request out. accept is asked before a request is taken;
// it typically reserves a backend server. When it returns false the request
// keeps its place and the next workspace is tried. shed holds requests found
// hopeless on the way. accept must not call the queue.
func (q *Queue) Pop(now time.Time, accept func(Item) bool) (item Item, ok bool, shed []Shed) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pops++
	before := q.mark()
	for q.hasOpen() {
		f := q.step()
		if f == nil {
			q.skipRounds()
			continue
		}
		head := f.items[0]
		if q.isHopeless(*head, now, q.waiting-1) {
			shed = append(shed, q.shedOf(f, q.cut(f, 0), ReasonDeadline))
			continue
		}
		if accept != nil && !accept(*head) {
			f.blocked = q.pops
			f.credit = min(f.credit, head.charged)
			continue
		}
		q.serve(now, f, head)
		return *head, true, shed
	}
	q.restore(before)
	return Item{}, false, shed
}

func (q *Queue) serve(now time.Time, f *flow, head *Item) {
	f.served = now
	f.credit -= head.charged
	f.used += int64(head.charged)
	q.cut(f, 0)
	q.rate.add(now, head.charged, q.waiting > 0)
}

// turn is where the round robin stood before a Pop.
type turn struct {
	flow    *flow
	visited bool
	round   uint64
}

// mark remembers the turn and the credit of every waiting workspace. Without
// it, a Pop that takes nothing would give credit for no service, and repeated
// ones would repay every debt.
func (q *Queue) mark() turn {
	for _, f := range q.ring {
		f.marked = f.credit
	}
	before := turn{visited: q.visited, round: q.round}
	if len(q.ring) > 0 {
		before.flow = q.ring[q.at]
	}
	return before
}

func (q *Queue) restore(before turn) {
	for _, f := range q.ring {
		f.credit = f.marked
	}
	q.round = before.round
	q.visited = false
	if at := slices.Index(q.ring, before.flow); at >= 0 {
		q.at, q.visited = at, before.visited
	}
}

// hasOpen says whether a workspace waits that this Pop has not found blocked.
func (q *Queue) hasOpen() bool {
	for _, f := range q.ring {
		if f.blocked != q.pops {
			return true
		}
	}
	return false
}

// step goes round the ring once and returns the first workspace whose credit
// covers its head (rule 1), or nil after a whole round without one.
func (q *Queue) step() *flow {
	for range len(q.ring) + 1 {
		f := q.ring[q.at]
		if f.blocked != q.pops {
			q.visit(f)
			if f.credit >= f.items[0].charged {
				return f
			}
		}
		q.advance()
	}
	return nil
}

// visit gives a workspace its credit once per turn.
func (q *Queue) visit(f *flow) {
	if q.visited {
		return
	}
	q.visited = true
	f.credit += q.quantum() * f.weight
}

func (q *Queue) advance() {
	q.visited = false
	q.at++
	if q.at >= len(q.ring) {
		q.at = 0
		q.round++
	}
}

// skipRounds gives the credit of several rounds at once: as many as the first
// open workspace needs, less the last one, which step gives in order.
func (q *Queue) skipRounds() {
	least := -1
	for _, f := range q.ring {
		if f.blocked == q.pops {
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
		if f.blocked != q.pops {
			f.credit += (least - 1) * q.quantum() * f.weight
		}
	}
	q.round += uint64(least - 1)
}
