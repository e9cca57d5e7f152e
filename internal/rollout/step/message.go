package step

import (
	"errors"
	"fmt"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/rollout/sample"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// InterruptedError reports that an engine stopped during a generation and exported its
// partial text. A later attempt can resume it.
type InterruptedError struct {
	Resume engine.Resume
}

func (e *InterruptedError) Error() string {
	return fmt.Sprintf("generation exported after %d tokens", e.Resume.Tokens)
}

// progressMessage is a progress report of an attempt, for Ledger.Progress.
type progressMessage struct {
	id       string
	tokens   int
	versions []uint64
}

func (m progressMessage) apply(o *Owner) {
	o.ledger.Progress(m.id, m.tokens, m.versions, o.config.Clock.Now())
}

// generatedMessage is the result of an attempt: a sample or an error.
type generatedMessage struct {
	id     string
	engine string
	sample sample.Sample
	err    error
}

func (m generatedMessage) apply(o *Owner) {
	o.dirty = true
	if cancel := o.cancelFuncs[m.id]; cancel != nil {
		cancel()
		delete(o.cancelFuncs, m.id)
	}
	now := o.config.Clock.Now()
	var interrupted *InterruptedError
	var unlabelled *sample.UnlabeledError
	switch {
	case errors.As(m.err, &interrupted):
		o.ledger.Interrupted(m.id, interrupted.Resume)
	case m.err != nil:
		o.ledger.Fail(m.id, m.err, now)
		if errors.As(m.err, &unlabelled) {
			o.config.Log.Emit(event.SampleUnversioned, "attempt", m.id, "engine", m.engine)
		}
	default:
		o.logOutcome(m, o.ledger.Complete(m.id, m.sample, now))
	}
}

// logOutcome logs the samples that were dropped as stale or without versions.
func (o *Owner) logOutcome(m generatedMessage, outcome Outcome) {
	switch outcome {
	case Stale:
		o.config.Log.Emit(event.SampleStale, "attempt", m.id, "engine", m.engine)
	case Unlabelled:
		o.config.Log.Emit(event.SampleUnversioned, "attempt", m.id, "engine", m.engine)
	}
}

// scoredMessage is the result of scoring the sample of an attempt.
type scoredMessage struct {
	id    string
	score Score
}

func (m scoredMessage) apply(o *Owner) {
	o.dirty = true
	delete(o.scoring, m.id)
	o.ledger.Scored(m.id, m.score)
	if m.score.Scoring == sample.Unscored {
		o.config.Log.Emit(event.SampleUnscored, "attempt", m.id)
	}
}

// writeResult is the outcome of a write of the step object, or of a read that found that
// another host has taken over the step.
type writeResult struct {
	version uint64
	fenced  *FencedError
	err     error // the write may not have taken effect and must be repeated
}

func (m writeResult) apply(o *Owner) {
	o.writeInFlight = false
	switch {
	case m.fenced != nil:
		o.fenced = m.fenced
	case m.err != nil:
		o.writeFailures++
		o.nextWrite = o.config.Clock.Now().Add(writeDelay(o.writeFailures))
	default:
		o.writeFailures = 0
		o.version = m.version
		o.ledger.Committed(o.config.Clock.Now())
	}
}
