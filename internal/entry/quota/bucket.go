package quota

import (
	"math"
	"time"
)

// bucket is a token bucket whose level may become negative, because the cost of a
// request is known exactly only after it has run. The limiter of x/time/rate does not
// allow that.
type bucket struct {
	level float64
	at    time.Time // of the last refill
}

// refill adds the rate for the time since the last call, up to the burst. A new bucket
// is full.
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

// wait returns the time until a request of this cost may be admitted. A cost above
// the burst is admitted when the bucket is full, which makes the level negative.
func (b *bucket) wait(cost, rate, burst float64) time.Duration {
	missing := min(cost, burst) - b.level
	if missing <= 0 {
		return 0
	}
	if rate <= 0 {
		return maxRetryAfter
	}
	return min(maxRetryAfter, time.Duration(math.Ceil(missing/rate*float64(time.Second))))
}

// maxRetryAfter bounds the RetryAfter of a refusal.
const maxRetryAfter = time.Minute

// meterWindow is the time constant of the observed demand.
const meterWindow = 10 * time.Second

// meter measures an exponentially weighted rate per second.
type meter struct {
	rate float64
	at   time.Time // of the last decay
}

// add counts an amount now.
func (m *meter) add(now time.Time, amount float64) {
	m.decay(now)
	m.rate += amount / meterWindow.Seconds()
}

// decay reduces the rate for the time since the last call.
func (m *meter) decay(now time.Time) {
	if elapsed := now.Sub(m.at); elapsed > 0 {
		m.rate *= math.Exp(-elapsed.Seconds() / meterWindow.Seconds())
		m.at = now
	}
}
