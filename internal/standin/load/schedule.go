package load

import (
	"math/rand/v2"
	"time"
)

// Schedule returns the arrival times of a Poisson process with a rate in
// arrivals per second, up to a duration. Equal arguments give equal schedules. A rate of
// zero or less gives no arrivals.
func Schedule(seed uint64, rate float64, duration time.Duration) []time.Duration {
	if rate <= 0 {
		return nil
	}
	random := rand.New(rand.NewPCG(seed, seed))
	times := []time.Duration{}
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= duration {
			return times
		}
		times = append(times, at)
	}
}
