package roster

import (
	"math/bits"
	"slices"
	"time"
)

// ring schedules the steps of an exchange among hosts or zones (rule 7).
type ring struct {
	slot int64 // of the last step, in units of the step duration
}

// stepCount returns the number of steps after which a summary has reached n
// places.
func stepCount(n int) int { return bits.Len(uint(max(n-1, 0))) }

// due returns the step that begins at now, and whether one begins. Steps are
// derived from the clock. Hosts whose clocks are close take them together, which
// makes the exchange fast; its correctness does not depend on the clocks.
func (r *ring) due(now time.Time, steps int, period time.Duration) (int, bool) {
	if steps == 0 {
		return 0, false
	}
	slot := now.UnixNano() / int64(period/time.Duration(steps))
	if slot == r.slot {
		return 0, false
	}
	r.slot = slot
	return int(slot % int64(steps)), true
}

// partner returns the place to which self sends at a step, or "" if there is
// none.
func partner(places []string, self string, step int, now time.Time) string {
	n := len(places)
	at, found := slices.BinarySearch(places, self)
	if !found || n < 2 {
		return ""
	}
	order := int(now.Unix() / int64(orderPeriod/time.Second))
	return places[(at+stride(n, order)<<step)%n]
}

// strides is the number of orders of the ring that alternate. They are few, so
// that each connection is used again before it times out.
const strides = 4

// stride returns the step width of an order of a ring of n places. It is coprime
// to n, so that the order visits every place.
func stride(n, order int) int {
	for candidate := 1 + order%strides*n/strides; ; candidate++ {
		if gcd(candidate%n, n) == 1 {
			return candidate % n
		}
	}
}

// gcd returns the greatest common divisor.
func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// stepsAfter returns the set of the steps from step+1 to steps-1, one bit per step.
// For step -1 it contains all steps.
func stepsAfter(step, steps int) uint16 {
	return uint16((1<<steps - 1) &^ (1<<(step+1) - 1))
}

// newer reports whether number a is later than b. Numbers wrap around.
func newer(a, b uint16) bool { return int16(a-b) > 0 }
