package usage

import "time"

// LossesPerYear returns the expected number of times a year that counts are
// lost because a process and both hosts with its copies fail, independently,
// within the exposure of each other. FailuresPerDay is the number of failures of
// all hosts together. Exposure is the time until a lost copy is replaced or,
// without replacement, until the window is sealed.
func LossesPerYear(hosts int, failuresPerDay float64, exposure time.Duration) float64 {
	const day = 24 * time.Hour
	rate := failuresPerDay / float64(hosts) // of one host, per day
	span := exposure.Hours() / day.Hours()
	// Each host forms a group of three with the two hosts that keep its copies. The
	// first failure in a group occurs at 3 times the rate of one host; each of the
	// two others must fail within the span.
	first := 3 * rate * float64(hosts) // first failures in all groups, per day
	return 365 * first * (rate * span) * (rate * span)
}
