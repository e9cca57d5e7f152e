package usage

import "time"

// LossesPerYear returns how often a year counts are lost: a process and its two copies
// fail within the exposure of each other, independently. Exposure is the time
// until a lost copy is replaced, and without replacement the time until the
// window is sealed.
func LossesPerYear(hosts int, failuresPerDay float64, exposure time.Duration) float64 {
	const day = 24 * time.Hour
	rate := failuresPerDay / float64(hosts) // of one host, per day
	span := exposure.Hours() / day.Hours()
	// The first failure of a trio comes at 3 rate; each of the two others must
	// fail within the span.
	first := 3 * rate * float64(hosts)
	return 365 * first * (rate * span) * (rate * span)
}
