package demo

import (
	"context"
	"time"
)

// clockRate is how much faster than real time the clock of usage windows runs
// in the demo, so that windows of an hour are sealed while it runs.
const clockRate = 900

// usagePatience bounds the wait for the last reports.
const usagePatience = 25 * time.Second

// fastClock returns a clock that starts at a time and runs clockRate times as
// fast as the real one.
func fastClock(start time.Time) func() time.Time {
	return func() time.Time { return start.Add(time.Since(start) * clockRate) }
}

// Amount is an amount of usage.
type Amount struct {
	Requests uint64 `json:"requests"`
	Samples  uint64 `json:"samples"`
}

// Usage compares what callers were served with what was reported.
type Usage struct {
	Served   Amount `json:"served"`
	Reported Amount `json:"reported"`
}

// served sums what callers and trainers got. The caller of the withdrawn key
// and the check of its withdrawal use routes that are not counted.
func (r *running) served() Amount {
	var sum Amount
	for _, line := range r.load.Lines {
		sum.Requests += uint64(line.Answered)
	}
	for _, one := range r.trainers {
		sum.Samples += uint64(one.Samples)
	}
	return sum
}

// reported sums the usage reports, each once. Calls to the scoring services
// are the steps' own and not a caller's.
func (r *running) reported() Amount {
	var sum Amount
	seen := make(map[string]bool)
	for _, one := range r.site.Platform.Reports() {
		if seen[one.ID] {
			continue
		}
		seen[one.ID] = true
		for _, line := range one.Lines {
			sum.Requests += line.Requests
			sum.Samples += line.Samples
		}
	}
	return sum
}

// awaitUsage waits until the reports add up with what was served, or for as
// long as sealing may take.
func (r *running) awaitUsage(ctx context.Context) {
	until := time.Now().Add(usagePatience)
	for time.Now().Before(until) && r.reported() != r.served() {
		if !sleep(ctx, 100*time.Millisecond) {
			return
		}
	}
}

// usagePromise compares the reports with what callers were served.
func (r *running) usagePromise() Promise {
	p := Promise{Text: "Usage reports add up with what callers were served", Checked: int(r.served().Requests + r.served().Samples)}
	if r.reported() != r.served() {
		p.Broken = 1
	}
	return p
}
