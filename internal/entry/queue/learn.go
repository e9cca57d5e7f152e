package queue

import (
	"math"
	"time"
)

// How much answers teach, and how what is learned is used.
const (
	learnGain  = 0.05             // least weight of one answer
	slowSpread = 2                // mean deviations above the mean that count as slow
	fadeTime   = 30 * time.Second // without answers, after which knowledge halves
	maxTakes   = time.Hour
	leastKnown = 8                // samples before an estimate is used
	probeAfter = 30 * time.Second // without service, after which a workspace is judged by the mean
)

// gain returns the weight of the n-th sample: the first ones count alike.
func gain(n int) float64 { return max(learnGain, 1/float64(n)) }

// fade returns what is left of knowledge whose last sample is from at.
func fade(now, at time.Time) float64 {
	idle := now.Sub(at)
	if idle <= fadeTime {
		return 1
	}
	return math.Exp2(-float64(idle-fadeTime) / float64(fadeTime))
}

// average is a running mean.
type average struct {
	value float64
	count int
	at    time.Time
}

func (a *average) add(now time.Time, sample float64) {
	a.count++
	a.at = now
	a.value += gain(a.count) * (sample - a.value)
}

// get returns the mean, or base as far as too little is known.
func (a *average) get(now time.Time, base float64) float64 {
	if a.count == 0 {
		return base
	}
	known := fade(now, a.at) * float64(a.count) / float64(a.count+1)
	return base + known*(a.value-base)
}

// estimate is a running mean and the mean deviation from it.
type estimate struct {
	mean, spread float64
	count        int
	at           time.Time
}

func (e *estimate) add(now time.Time, sample float64) {
	e.at = now
	e.count++
	if e.count == 1 {
		e.mean, e.spread = sample, sample/2
		return
	}
	e.spread += gain(e.count) * (math.Abs(sample-e.mean) - e.spread)
	e.mean += gain(e.count) * (sample - e.mean)
}

// get returns the mean and some deviations. It fades without samples, so that
// an estimate by which everything is refused gets corrected.
func (e *estimate) get(now time.Time, deviations float64) float64 {
	return (e.mean + deviations*e.spread) * fade(now, e.at)
}

// learn takes in the whole answer to an item. An item without declared tokens,
// such as that of a hedge, which never waited here, says nothing of others.
func (q *Queue) learn(now time.Time, f *flow, item Item, result Result) {
	if item.Tokens <= 0 {
		return
	}
	declared := float64(item.Tokens)
	sample := float64(result.Used) / declared
	f.ratio.add(now, sample)
	q.ratio.add(now, sample)
	if result.Elapsed > 0 {
		q.pace.add(now, result.Elapsed.Seconds()/declared)
	}
}

// ratioOf returns the used part of declared tokens that a workspace is expected
// to have: its own as far as it is known, else that of all.
func (q *Queue) ratioOf(now time.Time, f *flow) float64 {
	return f.ratio.get(now, q.ratio.get(now, 1))
}
