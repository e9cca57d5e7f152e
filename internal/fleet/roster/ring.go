package roster

import (
	"math/bits"
	"slices"
	"time"
)

// ring times the steps of an exchange among hosts or zones (rule 7).
type ring struct {
	slot int64
}

// stepCount returns how many steps reach n places.
func stepCount(n int) int { return bits.Len(uint(max(n-1, 0))) }

// due returns the step that begins at now, if one does. Hosts with clocks
// close to each other take their steps together, which makes the exchange
// fast; it is right without.
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

// partner returns the place to which self sends at a step.
func partner(places []string, self string, step int, now time.Time) string {
	n := len(places)
	at, found := slices.BinarySearch(places, self)
	if !found || n < 2 {
		return ""
	}
	turn := int(now.Unix() / int64(turnPeriod/time.Second))
	return places[(at+stride(n, turn)<<step)%n]
}

// strides is how many orders of the places take turns. They are few, so that
// each connection is used again before it times out.
const strides = 4

// stride returns a number that is coprime to n and changes with the turn.
func stride(n, turn int) int {
	for candidate := 1 + turn%strides*n/strides; ; candidate++ {
		if gcd(candidate%n, n) == 1 {
			return candidate % n
		}
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// after returns the steps that follow a step, as a set of bits. Step -1
// returns all steps.
func after(step, steps int) uint16 {
	return uint16((1<<steps - 1) &^ (1<<(step+1) - 1))
}

// newer orders numbers that wrap around.
func newer(a, b uint16) bool { return int16(a-b) > 0 }
