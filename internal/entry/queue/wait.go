package queue

import (
	"time"
)

// The bounds of a Retry-After.
const (
	minAfter = 100 * time.Millisecond
	maxAfter = time.Minute
)

// Load describes the queue for summaries. Waits holds the expected wait of a
// new request of each workspace that waits here.
type Load struct {
	Waiting int // requests
	Backlog int // expected tokens
	Waits   map[string]time.Duration
}

// Usage is what a workspace has been charged in all, in tokens, and what it
// has waiting.
type Usage struct {
	Used    int64
	Waiting int
	Backlog int
}

// Load returns the length of the queue and the waits in it.
func (q *Queue) Load() Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	load := Load{Waiting: q.waiting, Waits: make(map[string]time.Duration, len(q.ring))}
	for _, f := range q.ring {
		load.Backlog += f.backlog
		load.Waits[f.name] = q.waitOf(f, f.items[len(f.items)-1].Priority)
	}
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
		rate = q.config.InitialRate
	}
	if rate <= 0 {
		rate = DefaultInitialRate
	}
	return time.Duration(min(tokens/rate, maxAfter.Seconds()) * float64(time.Second))
}

// isHopeless says whether a request that starts at the given time would end
// after its deadline. others is the number of other requests that wait: without
// any, the request costs nobody a place and is tried in any case, so that an
// estimate that is too high can't keep a home idle (rule 4).
func (q *Queue) isHopeless(item Item, start time.Time, others int) bool {
	if item.Deadline.IsZero() {
		return false
	}
	if others > 0 {
		start = start.Add(q.takes(item, start))
	}
	return start.After(item.Deadline)
}

// takes estimates how long a request runs (rule 4).
func (q *Queue) takes(item Item, now time.Time) time.Duration {
	seconds := 0.0
	switch {
	case q.pace.count >= leastKnown:
		seconds = float64(max(1, item.Tokens)) * q.pace.get(now, q.deviations(item, now))
	case q.config.InitialSpeed > 0:
		seconds = float64(item.charged) / q.config.InitialSpeed
	}
	return time.Duration(min(seconds, maxTakes.Seconds()) * float64(time.Second))
}

// deviations returns by how many deviations above the mean a request is judged.
func (q *Queue) deviations(item Item, now time.Time) float64 {
	if f := q.flows[item.Workspace]; f == nil || now.Sub(f.served) > probeAfter {
		return 0
	}
	return slowSpread
}

func clampAfter(wait time.Duration) time.Duration { return min(max(wait, minAfter), maxAfter) }

// A sample of the drain rate spans at least drainWindow and drainItems, since a
// home with one engine serves less than a request a second.
const (
	drainWindow = time.Second
	drainItems  = 24
	drainGain   = 0.3 // weight of a new sample
)

// drain measures the rate in tokens a second at which a queue that is never
// empty is served. Spells with an empty queue say nothing about capacity.
type drain struct {
	value  float64
	since  time.Time
	tokens int
	items  int
}

func (d *drain) add(now time.Time, tokens int, busy bool) {
	if !busy {
		d.since = time.Time{}
		return
	}
	if d.since.IsZero() {
		d.since, d.tokens, d.items = now, 0, 0
		return
	}
	d.tokens += tokens
	d.items++
	elapsed := now.Sub(d.since)
	if elapsed < drainWindow || d.items < drainItems {
		return
	}
	sample := max(0, float64(d.tokens)) / elapsed.Seconds()
	if d.value == 0 {
		d.value = sample
	}
	d.value += drainGain * (sample - d.value)
	d.since, d.tokens, d.items = now, 0, 0
}

// correct applies the true cost of a request that was counted as expected.
func (d *drain) correct(extra int) { d.tokens += extra }
