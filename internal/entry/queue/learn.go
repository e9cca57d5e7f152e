package queue

import (
	"math"
	"time"
)

// Constants of the estimates that are learned from answers.
const (
	minGain        = 0.05             // least weight of a new sample
	slowDeviations = 2                // mean deviations above the mean that count as slow
	decayTime      = 30 * time.Second // without samples before decay starts; then the half-life
	maxRunTime     = time.Hour        // limit of an estimated running time
	minSamples     = 8                // complete answers before running times are estimated from them
	idleTime       = 30 * time.Second // without service, after which a workspace is judged by the mean
)

// gain returns the weight of the n-th sample in a running mean: 1/n, by which the
// first samples count equally, and at least minGain.
func gain(n int) float64 { return max(minGain, 1/float64(n)) }

// decay returns the fraction that remains of an estimate whose last sample was
// added at last.
func decay(now, last time.Time) float64 {
	idle := now.Sub(last)
	if idle <= decayTime {
		return 1
	}
	return math.Exp2(-float64(idle-decayTime) / float64(decayTime))
}

// average is a running mean.
type average struct {
	value float64
	count int
	last  time.Time // when the last sample was added
}

func (a *average) add(now time.Time, sample float64) {
	a.count++
	a.last = now
	a.value += gain(a.count) * (sample - a.value)
}

// get returns the mean, drawn towards base the fewer and older the samples are.
func (a *average) get(now time.Time, base float64) float64 {
	if a.count == 0 {
		return base
	}
	confidence := decay(now, a.last) * float64(a.count) / float64(a.count+1)
	return base + confidence*(a.value-base)
}

// estimate is a running mean and the mean deviation from it.
type estimate struct {
	mean, deviation float64
	count           int
	last            time.Time // when the last sample was added
}

func (e *estimate) add(now time.Time, sample float64) {
	e.last = now
	e.count++
	if e.count == 1 {
		e.mean, e.deviation = sample, sample/2
		return
	}
	e.deviation += gain(e.count) * (math.Abs(sample-e.mean) - e.deviation)
	e.mean += gain(e.count) * (sample - e.mean)
}

// get returns the mean plus the given number of deviations. It decays without
// samples, so that an estimate that refuses every request is corrected.
func (e *estimate) get(now time.Time, deviations float64) float64 {
	return (e.mean + deviations*e.deviation) * decay(now, e.last)
}

// learn updates the estimates from a complete answer. Items without declared
// tokens are ignored: they are those of hedges, which never waited here, and
// tell nothing about other requests.
func (q *Queue) learn(now time.Time, f *flow, item Item, result Result) {
	if item.Tokens <= 0 {
		return
	}
	declared := float64(item.Tokens)
	sample := float64(result.Used) / declared
	f.usedRatio.add(now, sample)
	q.usedRatio.add(now, sample)
	if result.Elapsed > 0 {
		q.pace.add(now, result.Elapsed.Seconds()/declared)
	}
}

// expectedRatio returns the ratio of used to declared tokens that is expected of
// a workspace: its own mean, drawn towards that of all workspaces the fewer and
// older its samples are. It is 1 before the first sample.
func (q *Queue) expectedRatio(now time.Time, f *flow) float64 {
	return f.usedRatio.get(now, q.usedRatio.get(now, 1))
}
