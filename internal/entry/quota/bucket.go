package quota

import (
	"math"
	"time"
)

// bucket is a token bucket that may go into debt, because the true cost of a
// request is known only after it ran. x/time/rate has no debt.
type bucket struct {
	level float64
	at    time.Time
}

// refill adds what accrued since the last call. A new bucket starts full.
func (b *bucket) refill(now time.Time, rate, burst float64) {
	if b.at.IsZero() {
		b.level, b.at = burst, now
		return
	}
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level += rate * elapsed.Seconds()
		b.at = now
	}
	b.level = min(b.level, burst)
}

// wait returns the time until a request of this cost passes. A cost above the
// burst passes when the bucket is full, and leaves a debt.
func (b *bucket) wait(cost, rate, burst float64) time.Duration {
	missing := min(cost, burst) - b.level
	if missing <= 0 {
		return 0
	}
	if rate <= 0 {
		return maxWait
	}
	return min(maxWait, time.Duration(math.Ceil(missing/rate*float64(time.Second))))
}

// maxWait bounds the Retry-After of a refusal.
const maxWait = time.Minute

// meterWindow is the time constant of observed demand.
const meterWindow = 10 * time.Second

// meter is an exponentially weighted rate of events a second.
type meter struct {
	rate float64
	at   time.Time
}

func (m *meter) add(now time.Time, amount float64) {
	m.decay(now)
	m.rate += amount / meterWindow.Seconds()
}

func (m *meter) decay(now time.Time) {
	if elapsed := now.Sub(m.at); elapsed > 0 {
		m.rate *= math.Exp(-elapsed.Seconds() / meterWindow.Seconds())
		m.at = now
	}
}
