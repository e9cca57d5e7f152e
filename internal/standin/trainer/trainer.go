// Package trainer is a stand-in for a trainer: it opens steps, pulls and
// acknowledges samples, checks every delivery guarantee that a trainer can observe,
// and measures the time that it spends waiting for samples.
package trainer

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/standin/caller"
	"github.com/hyssopwall/hyssopwall/internal/standin/fault"
)

// Defaults of Settings, and the range of the backoff between attempts.
const (
	DefaultMax      = 64 // samples
	DefaultWait     = 2 * time.Second
	DefaultDeadline = 20 * time.Minute
	minRetryWait    = 50 * time.Millisecond
	maxRetryWait    = 2 * time.Second
)

// Settings configures a trainer.
type Settings struct {
	Client   *caller.Client
	Name     string
	Model    string
	Bound    uint64        // maximum age of a sample in versions
	Deadline time.Duration // of a step
	Tokens   int           // maximum number of tokens of a sample
	Groups   []Group
	Score    string        // name of the scoring service; empty for none
	Max      int           // maximum number of samples of a pull
	Wait     time.Duration // how long a pull may wait for samples
	Training time.Duration // simulated training time of a step
	// Newest returns the newest weights version known to the trainer. It is called
	// before each pull, and the ages of the pulled samples are relative to it. If it is
	// nil, all ages are zero.
	Newest func() uint64
	// Check, when set, returns an error if a sample's text can't be a response to
	// its group's prompt.
	Check func(Group, Sample) error
	// Trained, when set, is called after the training of each step.
	Trained func(number int)
	// Now returns the time; nil means the system clock.
	Now func() time.Time
}

// Trainer is a stand-in for a trainer. It is not safe for concurrent use.
type Trainer struct {
	settings Settings
	report   Report
}

// New returns a trainer, with defaults for the zero values of settings.
func New(settings Settings) *Trainer {
	if settings.Max == 0 {
		settings.Max = DefaultMax
	}
	if settings.Wait == 0 {
		settings.Wait = DefaultWait
	}
	if settings.Deadline == 0 {
		settings.Deadline = DefaultDeadline
	}
	if settings.Now == nil {
		settings.Now = time.Now
	}
	return &Trainer{settings: settings, report: newReport()}
}

// Report returns the measurements so far. Its maps are shared with the trainer.
func (t *Trainer) Report() Report { return t.report }

// Run runs count steps, numbered from first, or until the context ends; a count of
// zero means no limit.
func (t *Trainer) Run(ctx context.Context, first, count int) {
	for number := first; count == 0 || number < first+count; number++ {
		t.Step(ctx, number)
		if ctx.Err() != nil {
			return
		}
	}
}

// Step opens one step, pulls all its samples, and simulates its training.
func (t *Trainer) Step(ctx context.Context, number int) {
	opened := t.settings.Now()
	check := newChecker(t.settings, &t.report)
	done := t.pullStep(ctx, number, check)
	finished := t.settings.Now()
	t.report.Idle += finished.Sub(opened)
	if !done {
		if ctx.Err() == nil {
			t.report.Failed++
		}
		return
	}
	check.finish()
	if finished.Sub(opened) > t.settings.Deadline {
		t.report.Late++
	}
	t.train(ctx, number)
}

// train waits for the training time of a step and then calls Trained.
func (t *Trainer) train(ctx context.Context, number int) {
	begun := t.settings.Now()
	fault.Rule{Delay: t.settings.Training}.Wait(ctx)
	t.report.Busy += t.settings.Now().Sub(begun)
	if t.settings.Trained != nil {
		t.settings.Trained(number)
	}
}

// pullStep opens a step and pulls its chunks. It reports whether the service marked
// the step as done.
func (t *Trainer) pullStep(ctx context.Context, number int, check *checker) bool {
	opened, ok := retry(ctx, t, func() (OpenStepResponse, error) {
		return caller.Exchange[OpenStepResponse](ctx, t.settings.Client, http.MethodPost, "/v1/steps", t.opening(number))
	})
	if !ok {
		return false
	}
	cursor := uint64(0)
	path := "/v1/steps/" + opened.ID + "/pull"
	for {
		newest := t.newest()
		chunk, ok := retry(ctx, t, func() (Chunk, error) {
			pull := PullRequest{Cursor: cursor, Newest: newest, Max: t.settings.Max, Wait: t.settings.Wait.String()}
			return caller.Exchange[Chunk](ctx, t.settings.Client, http.MethodPost, path, pull)
		})
		if !ok {
			return false
		}
		t.report.Pulls++
		if chunk.Previous != cursor {
			// The chunk follows another cursor than the trainer's, so its samples are discarded.
			t.report.Skipped++
			fault.Rule{Delay: minRetryWait}.Wait(ctx)
			if ctx.Err() != nil {
				return false
			}
			continue
		}
		for _, sample := range chunk.Samples {
			check.add(sample, newest)
		}
		if chunk.Cursor < cursor {
			t.report.Backward++
			return false
		}
		cursor = chunk.Cursor
		if chunk.Done {
			t.acknowledge(ctx, path, cursor)
			return true
		}
	}
}

// acknowledge acknowledges the last chunk with a pull whose response is ignored.
func (t *Trainer) acknowledge(ctx context.Context, path string, cursor uint64) {
	pull := PullRequest{Cursor: cursor, Max: 1, Wait: "0s"}
	if _, err := caller.Exchange[Chunk](ctx, t.settings.Client, http.MethodPost, path, pull); err != nil {
		_ = t.countError(err)
	}
}

// opening returns the request that opens a step.
func (t *Trainer) opening(number int) OpenStepRequest {
	return OpenStepRequest{
		Trainer:   t.settings.Name,
		Number:    number,
		Model:     t.settings.Model,
		Bound:     t.settings.Bound,
		Deadline:  t.settings.Deadline.String(),
		MaxTokens: t.settings.Tokens,
		Groups:    t.settings.Groups,
		Score:     t.settings.Score,
	}
}

// newest returns the newest known weights version, or 0 without Settings.Newest.
func (t *Trainer) newest() uint64 {
	if t.settings.Newest == nil {
		return 0
	}
	return t.settings.Newest()
}

// countError counts an error by its code and returns it as a *caller.Error.
func (t *Trainer) countError(err error) *caller.Error {
	callError, ok := errors.AsType[*caller.Error](err)
	if !ok {
		callError = caller.NewLostError(err, "unknown")
	}
	t.report.Errors[callError.Code]++
	return callError
}

// retry repeats a failing call with exponential backoff. Opening and pulling are
// idempotent, so repeating them is safe even if the response was lost. It stops at a
// client error other than 429 that is not marked as repeatable, or when ctx ends.
func retry[T any](ctx context.Context, t *Trainer, call func() (T, error)) (T, bool) {
	wait := minRetryWait
	for {
		value, err := call()
		if err == nil {
			return value, true
		}
		callError := t.countError(err)
		permanent := callError.Status >= 400 && callError.Status < 500 && callError.Status != http.StatusTooManyRequests && !callError.Repeat
		if permanent || ctx.Err() != nil {
			return value, false
		}
		fault.Rule{Delay: max(wait, callError.RetryAfter)}.Wait(ctx)
		wait = min(2*wait, maxRetryWait)
	}
}
