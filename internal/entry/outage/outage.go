// Package outage decides when callers return that a host has refused because it can't reach
// the platform's store.
//
// Rules:
//
//  1. While no other host answers either, this host is probably cut off by itself. Other
//     hosts can serve the caller, which returns at once.
//  2. Otherwise the caller returns after a fixed share of the outage's age. The time that
//     it loses after the end of an outage is then bounded by that share, and the number of
//     its attempts grows with the logarithm of the outage's length only: a caller that makes
//     few attempts doesn't use them up before the store is back.
//  3. The times are spread, so that a store that is back isn't met by all callers at once.
package outage

import "time"

// Limits of RetryAfter.
const (
	// MinRetryAfter is the least time after which a caller returns.
	MinRetryAfter = 50 * time.Millisecond
	// MaxRetryAfter bounds rule 2: callers of batches have about ten seconds.
	MaxRetryAfter = 2 * time.Second
	// ageShare is the share of an outage's age after which a caller returns.
	ageShare = 0.125
	// spread is the width of rule 3, as a share of the time.
	spread = 0.5
)

// Outage is what a host knows about an outage of the store. Age is the time since the store
// last answered it, directly or through another host. Isolated reports that no other host
// answers either.
type Outage struct {
	Age      time.Duration
	Isolated bool
}

// RetryAfter returns the time after which a refused caller should return. Random is a random
// number from 0 to 1.
func (o Outage) RetryAfter(random float64) time.Duration {
	if o.Isolated {
		return MinRetryAfter // rule 1
	}
	wait := ageShare * float64(o.Age)
	wait *= 1 - spread/2 + spread*random // rule 3
	return min(max(time.Duration(wait), MinRetryAfter), MaxRetryAfter)
}
