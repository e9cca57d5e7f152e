// Package trainer is a stand-in for a trainer: it opens steps, pulls samples,
// acknowledges them, checks every promise that a trainer can see, and measures
// the time that it spends waiting.
package trainer

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/standin/caller"
	"github.com/hyssopwall/hyssopwall/internal/standin/fault"
)

// Defaults of Settings.
const (
	DefaultMax      = 64
	DefaultWait     = 2 * time.Second
	DefaultDeadline = 20 * time.Minute
	retryWait       = 50 * time.Millisecond
	mostRetryWait   = 2 * time.Second
)

// Settings configures a trainer.
type Settings struct {
	Client   *caller.Client
	Name     string
	Model    string
	Bound    uint64
	Deadline time.Duration // of a step
	Tokens   int           // most tokens of a sample
	Groups   []Group
	Score    string // name of the scoring service; empty for none
	Max      int    // samples of a pull
	Wait     time.Duration
	Training time.Duration // time that a step's training takes
	// Newest returns the newest version that the trainer knows. It is read
	// before each pull is sent, and samples are measured against it.
	Newest func() uint64
	// Check, when set, says why a sample's text can't be the answer to its
	// group's prompt.
	Check func(Group, Sample) error
	// Trained, when set, is called after the training of each step.
	Trained func(number int)
	// Now returns the time; nil means the system clock.
	Now func() time.Time
}

// Trainer is the stand-in. It is not safe for concurrent use.
type Trainer struct {
	settings Settings
	report   Report
}

// New returns a trainer.
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

// Report returns what has been measured.
func (t *Trainer) Report() Report { return t.report }

// Run works through steps, numbered from first, until the context ends or count
// steps are done; zero means without end.
func (t *Trainer) Run(ctx context.Context, first, count int) {
	for number := first; count == 0 || number < first+count; number++ {
		t.Step(ctx, number)
		if ctx.Err() != nil {
			return
		}
	}
}

// Step opens one step, pulls it whole, and trains.
func (t *Trainer) Step(ctx context.Context, number int) {
	opened := t.settings.Now()
	check := newChecker(t.settings, &t.report)
	done := t.collect(ctx, number, check)
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

func (t *Trainer) train(ctx context.Context, number int) {
	begun := t.settings.Now()
	fault.Rule{Delay: t.settings.Training}.Wait(ctx)
	t.report.Busy += t.settings.Now().Sub(begun)
	if t.settings.Trained != nil {
		t.settings.Trained(number)
	}
}

// collect returns true when every sample has come or the service said so.
func (t *Trainer) collect(ctx context.Context, number int, check *checker) bool {
	opened, ok := try(ctx, t, func() (Opened, error) {
		return caller.Exchange[Opened](ctx, t.settings.Client, http.MethodPost, "/v1/steps", t.opening(number))
	})
	if !ok {
		return false
	}
	cursor := uint64(0)
	path := "/v1/steps/" + opened.ID + "/pull"
	for {
		newest := t.newest()
		chunk, ok := try(ctx, t, func() (Chunk, error) {
			pull := Pull{Cursor: cursor, Newest: newest, Max: t.settings.Max, Wait: t.settings.Wait.String()}
			return caller.Exchange[Chunk](ctx, t.settings.Client, http.MethodPost, path, pull)
		})
		if !ok {
			return false
		}
		t.report.Pulls++
		if chunk.Previous != cursor {
			// The samples follow another cursor than the one held.
			t.report.Skipped++
			fault.Rule{Delay: retryWait}.Wait(ctx)
			if ctx.Err() != nil {
				return false
			}
			continue
		}
		for _, sample := range chunk.Samples {
			check.sample(sample, newest)
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

// acknowledge tells the service that the last chunk arrived. Its answer has
// nothing more to give.
func (t *Trainer) acknowledge(ctx context.Context, path string, cursor uint64) {
	pull := Pull{Cursor: cursor, Max: 1, Wait: "0s"}
	if _, err := caller.Exchange[Chunk](ctx, t.settings.Client, http.MethodPost, path, pull); err != nil {
		_ = t.note(err)
	}
}

func (t *Trainer) opening(number int) Opening {
	return Opening{
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

func (t *Trainer) newest() uint64 {
	if t.settings.Newest == nil {
		return 0
	}
	return t.settings.Newest()
}

// note counts an error by its code, and returns it.
func (t *Trainer) note(err error) *caller.Error {
	known, ok := errors.AsType[*caller.Error](err)
	if !ok {
		known = caller.Lost(err, "unknown")
	}
	t.report.Errors[known.Code]++
	return known
}

// try repeats a call that failed for a while. Opening and pulling are
// idempotent, so a repeat is safe after a lost answer too. It gives up when the
// service says that the call is wrong, or when the context ends.
func try[T any](ctx context.Context, t *Trainer, call func() (T, error)) (T, bool) {
	wait := retryWait
	for {
		value, err := call()
		if err == nil {
			return value, true
		}
		known := t.note(err)
		wrong := known.Status >= 400 && known.Status < 500 && known.Status != http.StatusTooManyRequests && !known.Repeat
		if wrong || ctx.Err() != nil {
			return value, false
		}
		fault.Rule{Delay: max(wait, known.After)}.Wait(ctx)
		wait = min(2*wait, mostRetryWait)
	}
}
