package queue

import (
	"time"
)

// The limits of RefusedError.RetryAfter. maxRetryAfter is also the limit of every
// expected wait.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
)

// Load describes the length of the queue and its waits.
type Load struct {
	Waiting int // requests
	Backlog int // expected tokens
	// Waits is the expected wait of a new request of each workspace that waits,
	// with the priority of the workspace's last request.
	Waits map[string]time.Duration
}

// Usage describes the tokens that a workspace was charged and its waiting requests.
type Usage struct {
	Used    int64 // tokens charged in all: expected ones, which Settle corrects to those used
	Waiting int   // requests
	Backlog int   // expected tokens
}

// Load returns the length of the queue and the expected waits.
func (q *Queue) Load() Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	load := Load{Waiting: q.waiting, Waits: make(map[string]time.Duration, len(q.ring))}
	for _, f := range q.ring {
		load.Backlog += f.backlog
		load.Waits[f.name] = q.expectedWait(f, f.items[len(f.items)-1].Priority)
	}
	return load
}

// Usage returns the usage of every workspace seen.
func (q *Queue) Usage() map[string]Usage {
	q.mu.Lock()
	defer q.mu.Unlock()
	all := make(map[string]Usage, len(q.flows))
	for name, f := range q.flows {
		all[name] = Usage{Used: f.used, Waiting: len(f.items), Backlog: f.backlog}
	}
	return all
}

// expectedWait estimates how long a new request of a workspace waits: until the
// workspace's own requests before it and its debt are served, at its share of
// the measured rate.
func (q *Queue) expectedWait(f *flow, priority int) time.Duration {
	ahead := 0
	for _, item := range f.items {
		if item.Priority < priority {
			break
		}
		ahead += item.charged
	}
	ahead += max(0, -f.credit)
	share := float64(f.weight) / float64(q.totalWeight(f))
	return q.serviceTime(float64(ahead) / share)
}

// totalWeight returns the sum of the weights of the waiting workspaces and of f.
func (q *Queue) totalWeight(f *flow) int {
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

// serviceTime returns the time that the queue takes to serve tokens at the measured rate,
// or at Config.InitialRate before the first measurement. It is at most maxRetryAfter.
func (q *Queue) serviceTime(tokens float64) time.Duration {
	rate := q.throughput.tokensPerSecond
	if rate <= 0 {
		rate = q.config.InitialRate
	}
	if rate <= 0 {
		rate = DefaultInitialRate
	}
	return time.Duration(min(tokens/rate, maxRetryAfter.Seconds()) * float64(time.Second))
}

// missesDeadline reports whether a request that starts at the given time is
// expected to end after its deadline. others is the number of other waiting
// requests. Without any, the request delays no other and its running time is not
// considered, so that an estimate that is too high can't keep the backend
// servers idle (rule 4).
func (q *Queue) missesDeadline(item Item, start time.Time, others int) bool {
	if item.Deadline.IsZero() {
		return false
	}
	if others > 0 {
		start = start.Add(q.expectedRunTime(item, start))
	}
	return start.After(item.Deadline)
}

// expectedRunTime estimates how long a request runs (rule 4). Before minSamples answers it
// takes Config.InitialSpeed, and zero without one.
func (q *Queue) expectedRunTime(item Item, now time.Time) time.Duration {
	seconds := 0.0
	switch {
	case q.pace.count >= minSamples:
		seconds = float64(max(1, item.Tokens)) * q.pace.get(now, q.deviations(item, now))
	case q.config.InitialSpeed > 0:
		seconds = float64(item.charged) / q.config.InitialSpeed
	}
	return time.Duration(min(seconds, maxRunTime.Seconds()) * float64(time.Second))
}

// deviations returns the number of mean deviations above the mean that a request
// is assumed to take: none for a workspace without service for idleTime.
func (q *Queue) deviations(item Item, now time.Time) float64 {
	if f := q.flows[item.Workspace]; f == nil || now.Sub(f.lastPop) > idleTime {
		return 0
	}
	return slowDeviations
}

// retryAfter returns the RetryAfter of a refusal for an expected wait.
func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// A sample of the throughput spans at least throughputWindow and
// throughputItems. A queue before a single engine serves less than one request a
// second, so the window alone would give samples of one request.
const (
	throughputWindow = time.Second
	throughputItems  = 24
	throughputGain   = 0.3 // weight of a new sample
)

// throughputMeter measures the rate at which the queue is served while it is not
// empty. Periods with an empty queue are left out; they tell nothing about capacity.
type throughputMeter struct {
	tokensPerSecond float64   // zero before the first sample
	since           time.Time // start of the current sample, zero if the queue was empty
	tokens          int       // served since then
	items           int       // served since then
}

// add counts a request that was served. busy reports whether others still wait.
func (t *throughputMeter) add(now time.Time, tokens int, busy bool) {
	if !busy {
		t.since = time.Time{}
		return
	}
	if t.since.IsZero() {
		t.since, t.tokens, t.items = now, 0, 0
		return
	}
	t.tokens += tokens
	t.items++
	elapsed := now.Sub(t.since)
	if elapsed < throughputWindow || t.items < throughputItems {
		return
	}
	sample := max(0, float64(t.tokens)) / elapsed.Seconds()
	if t.tokensPerSecond == 0 {
		t.tokensPerSecond = sample
	}
	t.tokensPerSecond += throughputGain * (sample - t.tokensPerSecond)
	t.since, t.tokens, t.items = now, 0, 0
}

// correct adds the difference between the used and the expected tokens of a
// request that was counted before.
func (t *throughputMeter) correct(extra int) { t.tokens += extra }
