package attempt

import (
	"sync"
	"time"
)

// The defaults of Budget.
const (
	DefaultShare   = 0.10
	DefaultReserve = 3
)

// hedgePart is the part of the budget up to which hedges are allowed.
const hedgePart = 0.5

// budgetSeconds is the number of seconds over which requests are counted.
const budgetSeconds = 10

// Budget bounds the retries and hedges of one route to a share of its recent
// requests, so that a fault does not multiply load. Reserve sends in
// budgetSeconds are allowed beyond the share, for routes with little traffic.
// The zero value uses the defaults. Every method is safe for concurrent use.
type Budget struct {
	Share   float64
	Reserve int

	mu      sync.Mutex
	seconds [budgetSeconds]tally
}

type tally struct {
	second   int64
	requests int
	extra    int
}

// CountRequest counts a new request.
func (b *Budget) CountRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current(now).requests++
}

// Take takes one extra send if the budget allows it.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.current(now)
	sum := b.sum(now)
	if float64(sum.extra+1) > b.bound(sum) {
		return false
	}
	current.extra++
	return true
}

// TakeHedge takes one extra send for a hedge. It is allowed while less than
// half of the budget is in use, so that hedges make way for retries.
func (b *Budget) TakeHedge(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.current(now)
	sum := b.sum(now)
	if float64(sum.extra+1) > hedgePart*b.bound(sum) {
		return false
	}
	current.extra++
	return true
}

// Return gives back a send that was taken and not used.
func (b *Budget) Return(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if current := b.current(now); current.extra > 0 {
		current.extra--
	}
}

func (b *Budget) current(now time.Time) *tally {
	second := now.Unix()
	t := &b.seconds[second%budgetSeconds]
	if t.second != second {
		*t = tally{second: second}
	}
	return t
}

func (b *Budget) sum(now time.Time) tally {
	oldest := now.Unix() - budgetSeconds
	sum := tally{}
	for _, t := range b.seconds {
		if t.second > oldest {
			sum.requests += t.requests
			sum.extra += t.extra
		}
	}
	return sum
}

func (b *Budget) bound(sum tally) float64 {
	return b.share()*float64(sum.requests) + float64(b.reserve())
}

func (b *Budget) share() float64 {
	if b.Share > 0 {
		return b.Share
	}
	return DefaultShare
}

func (b *Budget) reserve() int {
	if b.Reserve > 0 {
		return b.Reserve
	}
	return DefaultReserve
}
