package step

import (
	"context"
	"errors"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/service"
	"github.com/hyssopwall/hyssopwall/internal/rollout/sample"
)

// Scorer is the scoring service. Errors are those of package service; any
// other error means that the outcome is not known.
type Scorer interface {
	Score(ctx context.Context, id ID, s sample.Sample) (float64, error)
	// Retryable reports whether a call whose outcome is not known may be
	// repeated.
	Retryable() bool
}

const (
	scoreBackoff = 200 * time.Millisecond
	scoreTimeout = 10 * time.Minute // then the sample goes out unscored
)

// score starts the scoring of won samples, a limited number at once.
func (o *Owner) score() {
	for _, s := range o.ledger.AwaitingScore() {
		if len(o.scoring) >= maxScoringCalls {
			return
		}
		if o.scoring[s.Attempt] {
			continue
		}
		o.scoring[s.Attempt] = true
		o.workers.Add(1)
		go func() {
			defer o.workers.Done()
			score := o.scoreSample(s)
			_ = o.send(o.ctx, scoredMessage{s.Attempt, score})
		}()
	}
}

// scoreOne asks for a score until there is an answer. A refused call did no
// work and is repeated. A call whose outcome is not known is repeated only if
// the service allows it; otherwise the sample goes out marked as unscored.
func (o *Owner) scoreSample(s sample.Sample) Score {
	if o.config.Scorer == nil {
		return Score{Scoring: sample.Unscored}
	}
	end := o.config.Clock.Now().Add(scoreTimeout)
	for o.config.Clock.Now().Before(end) {
		value, err := o.config.Scorer.Score(o.ctx, o.id, s)
		if err == nil {
			return Score{Value: value, Scoring: sample.Scored}
		}
		again, wait := notExecuted(err)
		if !again && !o.config.Scorer.Retryable() {
			break
		}
		select {
		case <-o.config.Clock.After(wait):
		case <-o.ctx.Done():
			return Score{Scoring: sample.Unscored}
		}
	}
	return Score{Scoring: sample.Unscored}
}

// repeatable reports whether the service certainly did no work, and how long
// to wait before the next call.
func notExecuted(err error) (bool, time.Duration) {
	var refused *service.RefusedError
	if errors.As(err, &refused) {
		return true, max(refused.After, scoreBackoff)
	}
	var broken *service.BrokenError
	if errors.As(err, &broken) {
		return !broken.Sent, scoreBackoff
	}
	return false, scoreBackoff
}
