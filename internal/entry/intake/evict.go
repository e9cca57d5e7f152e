package intake

import (
	"cmp"
	"slices"
	"time"
)

// TickInterval is the interval of Tick while claims wait.
const TickInterval = 100 * time.Millisecond

// Tick decides which claims to evict while others wait, and returns them. The budget needs no
// Tick while none waits. Calls in quick succession have no effect.
func (b *Budget) Tick(now time.Time) []*Claim {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) == 0 || now.Sub(b.lastTick) < TickInterval/2 {
		return nil
	}
	b.lastTick = now
	var evicted []*Claim
	evict := func(c *Claim, reason string) {
		c.reason = reason
		b.stopWaiting(c)
		evicted = append(evicted, c)
	}
	for _, c := range slices.Clone(b.waiting) {
		if now.Sub(c.waitingSince) > b.limits.MaxWait {
			evict(c, ReasonWait)
		}
	}
	slow := b.slow(now)
	if len(b.waiting) == 0 {
		return evicted
	}
	first := b.waiting[0]
	short := first.wants + first.need - (b.limits.Shared - b.used) - b.leaving()
	for _, c := range slow {
		if c == b.reserve || short > 0 {
			evict(c, ReasonSlow)
			short -= c.charged
		}
	}
	if len(slow) > 0 || now.Sub(first.waitingSince) < b.limits.Patience {
		return evicted
	}
	for _, c := range b.yielding(first) {
		if short <= 0 {
			break
		}
		evict(c, ReasonShare)
		short -= c.charged
	}
	return evicted
}

// slow returns the claims that have delivered less than MinRate during a window that has just
// ended, that with the least first. A claim that waits, or whose request is complete, is none.
func (b *Budget) slow(now time.Time) []*Claim {
	type sample struct {
		claim     *Claim
		delivered int64
	}
	var found []sample
	for c := range b.claims {
		if c.wants > 0 || c.busy || c.reason != "" || c.charged == 0 {
			continue
		}
		age := now.Sub(c.sampledAt)
		if age < b.limits.Window {
			continue
		}
		delivered := c.delivered.Load()
		lately := delivered - c.sampled
		c.sampled, c.sampledAt = delivered, now
		if float64(lately) < float64(b.limits.MinRate)*age.Seconds() {
			found = append(found, sample{c, lately})
		}
	}
	slices.SortFunc(found, func(x, y sample) int {
		return cmp.Or(cmp.Compare(x.delivered, y.delivered), cmp.Compare(y.claim.charged, x.claim.charged))
	})
	claims := make([]*Claim, len(found))
	for i, s := range found {
		claims[i] = s.claim
	}
	return claims
}

// yielding returns the waiting claims that are refused for the first one: those of callers
// above their share before others, then those of the largest requests, and then those that have
// the most: a slow sender has less than those that send as fast as they can.
func (b *Budget) yielding(first *Claim) []*Claim {
	share := b.limits.Shared / 2
	above := func(c *Claim) int {
		if c.Caller.Key != first.Caller.Key && b.byKey[c.Caller.Key] > share ||
			c.Caller.Address != first.Caller.Address && b.byAddr[c.Caller.Address] > share {
			return 1
		}
		return 0
	}
	var others []*Claim
	for _, c := range b.waiting {
		if c != first && c.charged > 0 {
			others = append(others, c)
		}
	}
	slices.SortStableFunc(others, func(x, y *Claim) int {
		return cmp.Or(cmp.Compare(above(y), above(x)), cmp.Compare(y.rank(), x.rank()), cmp.Compare(y.charged, x.charged))
	})
	return others
}
