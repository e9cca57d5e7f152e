package step

import (
	"context"
	"errors"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/service"
	"github.com/hyssopwall/hyssopwall/internal/rollout/sample"
)

// Scorer scores samples with the scoring service of a workspace.
type Scorer interface {
	// Score returns the score of a sample. A *service.RefusedError, or a
	// *service.BrokenError that isn't Sent, means that the call wasn't executed; after
	// any other error the outcome is unknown.
	Score(ctx context.Context, id ID, s sample.Sample) (float64, error)
	// Retryable reports whether a call may be retried if its outcome is unknown.
	Retryable() bool
}

const (
	scoreBackoff = 200 * time.Millisecond // shortest delay before a retry
	scoreTimeout = 10 * time.Minute       // no retry starts later; the sample is then delivered unscored
)

// score starts the scoring calls of accepted samples, up to maxScoringCalls in flight.
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

// scoreSample calls the scoring service, and retries for up to scoreTimeout. A call that
// wasn't executed is retried. A call with an unknown outcome is retried only if the
// service allows it; otherwise the sample is marked as unscored.
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
		safe, wait := notExecuted(err)
		if !safe && !o.config.Scorer.Retryable() {
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

// notExecuted reports whether the error means that the call wasn't executed, and returns
// the delay before a retry.
func notExecuted(err error) (bool, time.Duration) {
	var refused *service.RefusedError
	if errors.As(err, &refused) {
		return true, max(refused.RetryAfter, scoreBackoff)
	}
	var broken *service.BrokenError
	if errors.As(err, &broken) {
		return !broken.Sent, scoreBackoff
	}
	return false, scoreBackoff
}
