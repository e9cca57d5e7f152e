package demo

import (
	"context"
	"time"
)

// clockSpeedup is the factor by which the clock of the usage windows runs faster than real
// time in the demo, so that windows of an hour are sealed during a run.
const clockSpeedup = 900

// usageTimeout bounds the wait for the last usage reports.
const usageTimeout = 25 * time.Second

// fastClock returns a clock that starts at start and runs clockSpeedup times as fast as
// the real one.
func fastClock(start time.Time) func() time.Time {
	return func() time.Time { return start.Add(time.Since(start) * clockSpeedup) }
}

// Amount is an amount of usage: requests answered and samples delivered.
type Amount struct {
	Requests uint64 `json:"requests"`
	Samples  uint64 `json:"samples"`
}

// Usage compares the usage that callers and trainers counted with the usage that was
// reported to the platform.
type Usage struct {
	Served   Amount `json:"served"`
	Reported Amount `json:"reported"`
}

// served sums the answers that callers received and the samples that trainers received.
// The calls that check the withdrawal of the key are not in the sum: they list the models,
// which isn't counted as usage.
func (r *demoRun) served() Amount {
	var sum Amount
	for _, line := range r.load.Lines {
		sum.Requests += uint64(line.Answered)
	}
	for _, report := range r.trainers {
		sum.Samples += uint64(report.Samples)
	}
	return sum
}

// reported sums the usage reports; a report that was sent repeatedly counts once. Calls
// that steps make to the scoring services aren't reported as a caller's usage.
func (r *demoRun) reported() Amount {
	var sum Amount
	seen := make(map[string]bool)
	for _, report := range r.site.Platform.Reports() {
		if seen[report.ID] {
			continue
		}
		seen[report.ID] = true
		for _, line := range report.Lines {
			sum.Requests += line.Requests
			sum.Samples += line.Samples
		}
	}
	return sum
}

// awaitUsage waits until the reported usage equals the served usage, but at most for
// usageTimeout.
func (r *demoRun) awaitUsage(ctx context.Context) {
	deadline := time.Now().Add(usageTimeout)
	for time.Now().Before(deadline) && r.reported() != r.served() {
		if !sleep(ctx, 100*time.Millisecond) {
			return
		}
	}
}

// usagePromise checks that the reported usage equals the served usage.
func (r *demoRun) usagePromise() Promise {
	p := Promise{Text: "Usage reports add up with what callers were served", Checked: int(r.served().Requests + r.served().Samples)}
	if r.reported() != r.served() {
		p.Broken = 1
	}
	return p
}
