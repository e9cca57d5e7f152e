package queue

import (
	"math"
	"time"
)

// The bounds of a Retry-After.
const (
	minAfter = 100 * time.Millisecond
	maxAfter = time.Minute
)

// Load describes the queue for summaries.
type Load struct {
	Waiting int // requests
	Backlog int // expected tokens
	Wait    time.Duration
}

// Usage is what a workspace has been charged in all, in tokens, and what it
// has waiting.
type Usage struct {
	Used    int64
	Waiting int
	Backlog int
}

// Load returns the length of the queue and the expected wait of a new request
// of a workspace without a backlog.
func (q *Queue) Load() Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	load := Load{Waiting: q.waiting}
	for _, f := range q.ring {
		load.Backlog += f.backlog
	}
	load.Wait = q.timeFor(float64(load.Backlog))
	return load
}

// Usage returns the figures of every workspace seen.
func (q *Queue) Usage() map[string]Usage {
	q.mu.Lock()
	defer q.mu.Unlock()
	all := make(map[string]Usage, len(q.flows))
	for name, f := range q.flows {
		all[name] = Usage{Used: f.used, Waiting: len(f.items), Backlog: f.backlog}
	}
	return all
}

// waitOf estimates how long a new request of a workspace waits: for what the
// workspace itself has before it, at its part of the measured rate.
func (q *Queue) waitOf(f *flow, priority int) time.Duration {
	ahead := 0
	for _, item := range f.items {
		if item.Priority < priority {
			break
		}
		ahead += item.charged
	}
	ahead += max(0, -f.credit)
	part := float64(f.weight) / float64(q.weights(f))
	return q.timeFor(float64(ahead) / part)
}

// weights sums the weights of the waiting workspaces and of f.
func (q *Queue) weights(f *flow) int {
	sum, counted := 0, false
	for _, other := range q.ring {
		sum += other.weight
		counted = counted || other == f
	}
	if !counted {
		sum += f.weight
	}
	return sum
}

func (q *Queue) timeFor(tokens float64) time.Duration {
	rate := q.rate.value
	if rate <= 0 {
		rate = q.config.Rate
	}
	if rate <= 0 {
		rate = DefaultRate
	}
	return time.Duration(min(tokens/rate, maxAfter.Seconds()) * float64(time.Second))
}

// isHopeless says whether a request that starts at the given time would end
// after its deadline.
func (q *Queue) isHopeless(item Item, start time.Time) bool {
	if item.Deadline.IsZero() {
		return false
	}
	return start.Add(q.takes(item)).After(item.Deadline)
}

// takes estimates how long a request runs (rule 4).
func (q *Queue) takes(item Item) time.Duration {
	if f := q.flows[item.Workspace]; f != nil && f.took.known {
		return f.took.slow()
	}
	if q.config.MinSpeed <= 0 {
		return 0
	}
	return time.Duration(float64(item.charged) / q.config.MinSpeed * float64(time.Second))
}

func clampAfter(wait time.Duration) time.Duration { return min(max(wait, minAfter), maxAfter) }

// The weights of one answer in what is learned of a workspace. Requests are
// expected to take the mean and takesSpread mean deviations.
const (
	ratioGain   = 0.05
	tookGain    = 0.05
	takesSpread = 2
)

// estimate is a running mean of times in seconds and of their deviation from it.
type estimate struct {
	mean, spread float64
	known        bool
}

func (e *estimate) add(took time.Duration) {
	if !e.known {
		e.mean, e.spread, e.known = took.Seconds(), took.Seconds()/2, true
		return
	}
	e.spread += tookGain * (math.Abs(took.Seconds()-e.mean) - e.spread)
	e.mean += tookGain * (took.Seconds() - e.mean)
}

func (e *estimate) slow() time.Duration {
	return time.Duration((e.mean + takesSpread*e.spread) * float64(time.Second))
}

func (f *flow) learn(item Item, result Result) {
	if item.Tokens > 0 {
		f.ratio += ratioGain * (float64(result.Used)/float64(item.Tokens) - f.ratio)
	}
	if result.Took > 0 {
		f.took.add(result.Took)
	}
}

// drainWindow is the time over which the drain rate is sampled.
const drainWindow = time.Second

// drainGain is the weight of a new sample of the drain rate.
const drainGain = 0.3

// drain measures the rate in tokens a second at which a queue that is never
// empty is served. Spells with an empty queue say nothing about capacity.
type drain struct {
	value  float64
	since  time.Time
	tokens int
}

func (d *drain) add(now time.Time, tokens int, busy bool) {
	if !busy {
		d.since = time.Time{}
		return
	}
	if d.since.IsZero() {
		d.since, d.tokens = now, 0
		return
	}
	d.tokens += tokens
	elapsed := now.Sub(d.since)
	if elapsed < drainWindow {
		return
	}
	sample := max(0, float64(d.tokens)) / elapsed.Seconds()
	if d.value == 0 {
		d.value = sample
	}
	d.value += drainGain * (sample - d.value)
	d.since, d.tokens = now, 0
}

// correct applies the true cost of a request that was counted as expected.
func (d *drain) correct(extra int) { d.tokens += extra }
