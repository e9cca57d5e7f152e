// Package intake bounds the memory and the connections that callers may take on a host, and
// decides who is refused first when a bound is reached.
//
// A request has a Claim on a Budget, which grows as its body arrives. While the budget has
// room, no rule applies. When it is full, claims wait, the connection that delivers too
// little is refused first, and one claim at a time may use a reserve that is large enough for
// the largest request. The functions that decide are given the time.
package intake

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Limits are those of a Budget. Sizes are in bytes.
type Limits struct {
	// Shared bounds all claims but the one that holds the reserve. That one grows to the size of
	// its request.
	Shared int64
	// MinRate is the number of bytes per second that a claim must deliver while others wait,
	// on average over Window.
	MinRate int64
	Window  time.Duration
	// Patience is how long a claim waits before others that wait as well are refused for it.
	Patience time.Duration
	MaxWait  time.Duration // the longest wait of a claim, after which it is refused
}

// Caller identifies the sender of a request. One caller gets no more than half of the shared
// part while others wait, by its key and by its address.
type Caller struct {
	Key, Address string
}

// Budget divides memory among the requests of callers. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	limits   Limits
	used     int64 // charged to claims that don't hold the reserve
	reserve  *Claim
	claims   map[*Claim]bool
	waiting  []*Claim
	byKey    map[string]int64 // bytes charged, by key and by address
	byAddr   map[string]int64
	lastTick time.Time
	segments sync.Pool // of *[]byte, see ReadBody
}

// Claim is the part of a Budget that one request has. Open creates it, Close ends it.
type Claim struct {
	Caller Caller
	// Evict interrupts the request's reading or writing. It is called at most once.
	Evict func()

	budget    *Budget
	delivered atomic.Int64 // bytes received from the caller, or accepted by it

	// Guarded by the budget's mutex.
	size         int64 // bytes of the whole request; zero if unknown, see rank
	need         int64 // bytes that the request still has to deliver
	charged      int64
	sampled      int64 // value of delivered at sampledAt
	sampledAt    time.Time
	busy         bool // complete and under way: not refused any more
	reason       string
	wants        int64 // bytes that the claim waits for, 0 if it doesn't wait
	waitingSince time.Time
	wake         chan struct{} // closed when the wait ends
}

// The reasons of a RefusedError.
const (
	ReasonSlow  = "memory is short and the caller sends or reads too slowly"
	ReasonShare = "memory is short and the caller has more than its share"
	ReasonWait  = "memory is short"
)

// SetLimits changes the limits. Claims keep what they have.
func (b *Budget) SetLimits(limits Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = limits
}

// Open returns a new claim of a request that will deliver about need bytes, negative if its length
// is unknown.
func (b *Budget) Open(now time.Time, caller Caller, need int64, evict func()) *Claim {
	b.mu.Lock()
	defer b.mu.Unlock()
	need = max(0, need)
	c := &Claim{Caller: caller, Evict: evict, budget: b, size: need, need: need, sampledAt: now}
	if b.claims == nil {
		b.claims, b.byKey, b.byAddr = map[*Claim]bool{}, map[string]int64{}, map[string]int64{}
	}
	b.claims[c] = true
	return c
}

// Deliver records that n bytes have been received from the caller, or accepted by it.
func (c *Claim) Deliver(n int64) { c.delivered.Add(n) }

// Grow charges n bytes and returns true, or enters the claim into the waiting ones.
func (c *Claim) Grow(now time.Time, n int64) bool {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	c.need = max(0, c.need-n)
	if c.reason != "" {
		return false
	}
	if len(b.waiting) == 0 && b.used+n <= b.limits.Shared || b.reserve == c {
		b.add(c, n)
		return true
	}
	c.wants, c.waitingSince, c.wake = n, now, make(chan struct{})
	b.waiting = append(b.waiting, c)
	b.dispatch(now)
	return c.wants == 0
}

// Force charges n bytes without regard to the limits, for an answer that is in memory
// already. It returns the claims to evict so that the shared part suffices again: those that
// delivered nothing for the longest time, at least for Patience.
func (c *Claim) Force(now time.Time, n int64) (evicted []*Claim) {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(c, n)
	excess := b.used - b.limits.Shared - b.leaving()
	if excess <= 0 {
		return nil
	}
	for other := range b.claims {
		other.sample(now)
		if other != c && other.reason == "" && now.Sub(other.sampledAt) >= b.limits.Patience {
			evicted = append(evicted, other)
		}
	}
	slices.SortFunc(evicted, func(x, y *Claim) int { return x.sampledAt.Compare(y.sampledAt) })
	for i, other := range evicted {
		if excess <= 0 {
			return evicted[:i]
		}
		other.reason = ReasonSlow
		excess -= other.charged
	}
	return evicted
}

// sample restarts the claim's window if it has delivered bytes since the window began.
func (c *Claim) sample(now time.Time) {
	if delivered := c.delivered.Load(); delivered != c.sampled {
		c.sampled, c.sampledAt = delivered, now
	}
}

// Complete records that the request has arrived as a whole. It is not evicted any more. It
// returns false if the claim has been evicted already: its connection is interrupted.
func (c *Claim) Complete() bool {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.busy = c.reason == ""
	c.budget.freeReserve()
	return c.busy
}

// Completed returns the bytes charged to a request that has arrived as a whole, 0 for others.
func (c *Claim) Completed() int64 {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if !c.busy {
		return 0
	}
	return c.charged
}

// rank returns the size by which waiting claims are ordered. A request of unknown length counts by
// what it has and waits for: counted as one of the largest, honest ones would give way to each
// other although they fit.
func (c *Claim) rank() int64 { return cmp.Or(c.size, c.charged+c.wants) }

// freeReserve moves a complete request that holds the reserve into the shared part once it fits, so
// that a small one doesn't keep the reserve from the largest until it is answered.
func (b *Budget) freeReserve() {
	if c := b.reserve; c != nil && c.busy && b.used+c.charged <= b.limits.Shared {
		b.used += c.charged
		b.reserve = nil
	}
}

// Close ends the claim and releases what it has.
func (c *Claim) Close(now time.Time) {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.claims[c] {
		return
	}
	delete(b.claims, c)
	b.stopWaiting(c)
	b.add(c, -c.charged)
	if b.reserve == c {
		b.reserve = nil
	}
	b.dispatch(now)
}

// Used returns the number of bytes charged.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reserve != nil {
		return b.used + b.reserve.charged
	}
	return b.used
}

// Waiting returns the number of claims that wait.
func (b *Budget) Waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting)
}

// add changes the bytes of a claim by n. The caller holds b.mu, as of the following methods.
func (b *Budget) add(c *Claim, n int64) {
	c.charged += n
	if b.reserve != c {
		b.used += n
	}
	addTo(b.byKey, c.Caller.Key, n)
	addTo(b.byAddr, c.Caller.Address, n)
}

// addTo adds n to a sum, and removes the sum when it is zero.
func addTo(sums map[string]int64, name string, n int64) {
	if sums[name] += n; sums[name] == 0 {
		delete(sums, name)
	}
}

// leaving returns the bytes of evicted claims in the shared part that are not closed yet.
func (b *Budget) leaving() int64 {
	sum := int64(0)
	for c := range b.claims {
		if c.reason != "" && c != b.reserve {
			sum += c.charged
		}
	}
	return sum
}

// dispatch grants what waiting claims want, those of the smallest requests first, and among
// equal ones those that have the least, so that neither a small request nor a slow sender waits
// for large ones. The first one that doesn't fit gets the reserve.
func (b *Budget) dispatch(now time.Time) {
	b.freeReserve()
	slices.SortStableFunc(b.waiting, func(x, y *Claim) int {
		return cmp.Or(cmp.Compare(x.rank(), y.rank()), cmp.Compare(x.charged, y.charged))
	})
	for len(b.waiting) > 0 {
		c := b.waiting[0]
		if b.used+c.wants > b.limits.Shared {
			if b.reserve != nil {
				return
			}
			b.used -= c.charged
			b.reserve = c
		}
		b.add(c, c.wants)
		c.sampled, c.sampledAt = c.delivered.Load(), now
		b.stopWaiting(c)
	}
}

// stopWaiting removes a claim from the waiting ones, if it is one.
func (b *Budget) stopWaiting(c *Claim) {
	if c.wants == 0 {
		return
	}
	c.wants = 0
	b.waiting = slices.DeleteFunc(b.waiting, func(other *Claim) bool { return other == c })
	close(c.wake)
}
