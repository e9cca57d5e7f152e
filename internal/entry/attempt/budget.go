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

// hedgeShare is the fraction of the budget up to which hedges are allowed.
const hedgeShare = 0.5

// budgetSeconds is the length of the sliding window of a budget.
const budgetSeconds = 10

// Budget limits the retries and hedges of one route to a share of its requests
// in the last budgetSeconds, so that a fault does not multiply load. Reserve
// sends in the same time are allowed beyond the share, for routes with little
// traffic. The zero value uses the defaults. Every method is safe for
// concurrent use.
type Budget struct {
	Share   float64 // extra sends for each request
	Reserve int     // extra sends beyond the share

	mu      sync.Mutex
	seconds [budgetSeconds]secondCount // indexed by the Unix second, modulo
}

// secondCount counts the requests and the extra sends of one second.
type secondCount struct {
	second     int64 // Unix time
	requests   int
	extraSends int
}

// CountRequest counts a new request.
func (b *Budget) CountRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current(now).requests++
}

// Take takes one extra send from the budget. It reports whether the budget
// allows it.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.current(now)
	sum := b.sum(now)
	if float64(sum.extraSends+1) > b.limit(sum) {
		return false
	}
	current.extraSends++
	return true
}

// TakeHedge takes one extra send for a hedge, and reports whether it may. It is
// allowed if at most hedgeShare of the budget is in use afterwards, so that hedges
// can't starve retries.
func (b *Budget) TakeHedge(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.current(now)
	sum := b.sum(now)
	if float64(sum.extraSends+1) > hedgeShare*b.limit(sum) {
		return false
	}
	current.extraSends++
	return true
}

// Return gives back a send that was taken and not used. It must be called at once:
// the send is subtracted from the current second, and stays taken if none was taken
// in that second.
func (b *Budget) Return(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if current := b.current(now); current.extraSends > 0 {
		current.extraSends--
	}
}

// current returns the counts of the current second.
func (b *Budget) current(now time.Time) *secondCount {
	second := now.Unix()
	t := &b.seconds[second%budgetSeconds]
	if t.second != second {
		*t = secondCount{second: second}
	}
	return t
}

// sum returns the counts of the last budgetSeconds.
func (b *Budget) sum(now time.Time) secondCount {
	oldest := now.Unix() - budgetSeconds
	sum := secondCount{}
	for _, t := range b.seconds {
		if t.second > oldest {
			sum.requests += t.requests
			sum.extraSends += t.extraSends
		}
	}
	return sum
}

// limit returns the extra sends that the counted requests allow.
func (b *Budget) limit(sum secondCount) float64 {
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
