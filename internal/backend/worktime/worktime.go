// Package worktime estimates how long work takes on a backend server, as a factor of the
// normal time. The load it addresses: noise that makes a machine 2.5 times as slow for about
// 0.6 s at a time, 15% of the time, and machines that stay 3 to 4 times as slow for many
// seconds. It makes no calls; the time is passed in.
//
// An Estimate has two values. The newest figure says how the machine is at this moment and
// serves requests of some tens of milliseconds. The lasting value serves generations that
// take seconds: it is the median over slices of time, so that noise does not show in it.
package worktime

import (
	"slices"
	"time"
)

// Parameters of the estimate.
const (
	// FigureTTL is how long the newest figure describes the machine.
	FigureTTL = 300 * time.Millisecond
	// sliceLength and maxSlices make the lasting value the median over 3 s with samples: an
	// episode of noise covers at most 4 of 12 slices, and a machine that turns slow is
	// known after 1.75 s.
	sliceLength = 250 * time.Millisecond
	maxSlices   = 12
	// sliceTTL is the age from which a slice is ignored. A server with few requests keeps
	// its slices longer than 3 s, but a slow one gets none and has to be tried again.
	sliceTTL = 10 * time.Second
	// minSlices is the number of slices below which the missing ones count as normal, so
	// that one episode of noise makes no server slow.
	minSlices = 8
)

// Estimate is what is known of one server. The zero value knows nothing.
type Estimate struct {
	newest   float64
	newestAt time.Time
	origin   time.Time // of the numbers of slices
	slices   []slice   // in order of number, at most maxSlices
}

// slice holds the mean of the samples within one sliceLength.
type slice struct {
	number int64
	sum    float64
	count  int
}

// AddFigure records a figure that the server sent, in percent of the normal work time.
func (e *Estimate) AddFigure(now time.Time, percent int) {
	e.newest, e.newestAt = float64(percent)/100, now
	e.add(now, now, e.newest)
}

// AddInterval records the mean time between the given number of events of a generation,
// the last of which arrived now. Normal is that of a machine at normal speed.
func (e *Estimate) AddInterval(now time.Time, interval time.Duration, events int, normal time.Duration) {
	e.add(now.Add(-interval*time.Duration(events)), now, float64(interval)/float64(normal))
}

// add adds a sample to each slice that the time from begin to end touches.
func (e *Estimate) add(begin, end time.Time, factor float64) {
	if e.origin.IsZero() {
		e.origin = end.Add(-time.Hour) // numbers stay positive for slices before the first sample
	}
	last := int64(end.Sub(e.origin) / sliceLength)
	first := max(int64(begin.Sub(e.origin)/sliceLength), last-maxSlices+1)
	for number := first; number <= last; number++ {
		at, found := slices.BinarySearchFunc(e.slices, number, func(s slice, number int64) int { return int(s.number - number) })
		if !found {
			e.slices = slices.Insert(e.slices, at, slice{number: number})
		}
		e.slices[at].sum += factor
		e.slices[at].count++
	}
	if extra := len(e.slices) - maxSlices; extra > 0 {
		e.slices = slices.Delete(e.slices, 0, extra)
	}
}

// Newest returns the newest figure and its age, and false if there is none or it is older
// than FigureTTL.
func (e *Estimate) Newest(now time.Time) (factor float64, age time.Duration, fresh bool) {
	if e.newestAt.IsZero() {
		return 1, 0, false
	}
	age = now.Sub(e.newestAt)
	return e.newest, age, age <= FigureTTL
}

// Lasting returns the lasting value and the age of its newest sample, and false if there
// are no samples, or only old ones. The value is then 1.
func (e *Estimate) Lasting(now time.Time) (factor float64, age time.Duration, known bool) {
	var buffer [maxSlices]float64
	factors := buffer[:0]
	for _, s := range e.slices {
		sliceAge := max(0, now.Sub(e.origin.Add(time.Duration(s.number+1)*sliceLength)))
		if sliceAge < sliceTTL {
			factors = append(factors, s.sum/float64(s.count))
			age = sliceAge
		}
	}
	if len(factors) == 0 {
		return 1, 0, false
	}
	for len(factors) < minSlices {
		factors = append(factors, 1)
	}
	slices.Sort(factors)
	return factors[(len(factors)-1)/2], age, true
}

// Now returns the newest figure while it is fresh, else the lasting value.
func (e *Estimate) Now(now time.Time) float64 {
	if factor, _, fresh := e.Newest(now); fresh {
		return factor
	}
	factor, _, _ := e.Lasting(now)
	return factor
}

// Limits of Normal.
const (
	// calibrationAge is the age up to which a figure calibrates an interval. The figure
	// comes with the head of a generation, and the first interval is complete up to 0.6 s
	// after it; the median takes care of noise in between.
	calibrationAge = time.Second
	minSamples     = 5
	maxSamples     = 32
)

// Normal learns the time between two events of a generation on a machine at normal speed,
// from intervals on machines whose figure is known. The zero value knows nothing.
type Normal struct {
	samples []time.Duration // the newest last
}

// Add records an interval measured on a server, unless its figure is too old.
func (n *Normal) Add(now time.Time, interval time.Duration, server *Estimate) {
	factor, age, _ := server.Newest(now)
	if server.newestAt.IsZero() || age > calibrationAge || factor <= 0 {
		return
	}
	if len(n.samples) == maxSamples {
		n.samples = n.samples[1:]
	}
	n.samples = append(n.samples, time.Duration(float64(interval)/factor))
}

// Interval returns the normal interval, and false before enough samples.
func (n *Normal) Interval() (time.Duration, bool) {
	if len(n.samples) < minSamples {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(n.samples))
	return sorted[len(sorted)/2], sorted[len(sorted)/2] > 0
}
