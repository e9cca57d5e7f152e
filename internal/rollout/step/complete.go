package step

import (
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/rollout/sample"
)

// Outcome is the ledger's decision on the sample of a finished attempt.
type Outcome string

// The outcomes. Only a Won sample can be delivered.
const (
	Won        Outcome = "won"
	Lost       Outcome = "lost"       // another attempt won, or this one was canceled
	Stale      Outcome = "stale"      // a weights version of the sample is past the bound
	Unlabelled Outcome = "unlabelled" // the sample lacks weights versions
	Corrupt    Outcome = "broken"     // sample.Sample.Check failed, as for a text that doesn't match its digest
)

// Progress records the number of tokens of a running attempt and their weights versions,
// both including those of a resumed text. It cancels an attempt that can no longer finish
// fresh.
func (l *Ledger) Progress(id string, tokens int, versions []uint64, now time.Time) {
	a, ok := l.running[id]
	if !ok {
		return
	}
	if tokens > a.tokens {
		a.tokens, a.lastProgress = tokens, now
		l.slots[a.slot].mostTokens = max(l.slots[a.slot].mostTokens, tokens)
	}
	l.recordSpeed(a, now)
	a.versions = versions
	if l.tooStale(versions) {
		l.cancelAttempt(a, &l.stats.StaleTokens)
		l.stats.CanceledEarly++
	}
}

// recordSpeed adds the speed ratio of an attempt that is old enough to the history.
func (l *Ledger) recordSpeed(a *attempt, now time.Time) {
	if age := now.Sub(a.started); age >= minRatioAge {
		l.history.AddSpeedRatio(a.engine, float64(a.tokens-a.resumedTokens)/age.Seconds()/a.ratedSpeed, now)
	}
}

// minRatioAge is the minimum age of an attempt whose speed ratio is recorded.
const minRatioAge = 5 * time.Second

// Complete records the sample of a finished attempt. The first valid and fresh sample of
// a slot wins, and the other attempts at the slot are canceled.
func (l *Ledger) Complete(id string, s sample.Sample, now time.Time) Outcome {
	a, ok := l.running[id]
	if !ok {
		return Lost
	}
	l.removeAttempt(a)
	at := &l.slots[a.slot]
	s.Group, s.Index, s.Attempt = at.group, at.index, id
	if err := s.Check(); err != nil {
		return l.reject(a, s, err, now)
	}
	if !s.Fresh(l.newest, l.state.MaxSampleAge) {
		l.stats.Stale++
		l.stats.StaleTokens += s.Tokens
		return Stale
	}
	l.accept(at, s)
	return Won
}

// reject drops an invalid sample. Its slot is retried after a backoff, on another engine
// if there is one.
func (l *Ledger) reject(a *attempt, s sample.Sample, err error, now time.Time) Outcome {
	l.stats.FailedTokens += s.Tokens
	l.backOff(a, now)
	var unlabelled *sample.UnlabeledError
	if errors.As(err, &unlabelled) {
		l.stats.Unlabelled++
		return Unlabelled
	}
	l.stats.Failures++
	return Corrupt
}

// accept makes a sample the result of its slot and cancels the other attempts at it.
func (l *Ledger) accept(at *slot, s sample.Sample) {
	at.result = &s
	at.scoring = l.plan.Score
	at.resume = nil
	stat := &l.groupStats[at.group]
	stat.finished++
	stat.tokens += s.Tokens
	l.history.AddLength(l.plan.Groups[at.group].Class, s.Tokens)
	l.cancelSlot(at.sampleKey)
}

// cancelSlot cancels every running attempt at the slot of a sample.
func (l *Ledger) cancelSlot(key sampleKey) {
	if l.slots[l.slotIndex(key)].running == 0 {
		return
	}
	var all []*attempt
	for _, a := range l.running {
		if l.slots[a.slot].sampleKey == key {
			all = append(all, a)
		}
	}
	slices.SortFunc(all, func(a, b *attempt) int { return strings.Compare(a.id, b.id) })
	for _, a := range all {
		l.cancelAttempt(a, &l.stats.HedgeTokens)
	}
}

// Scored records the score of an accepted sample. The sample is identified by its
// attempt, since its slot may have another sample by now.
func (l *Ledger) Scored(id string, score Score) {
	for i := range l.slots {
		s := &l.slots[i]
		if s.result == nil || !s.scoring || s.result.Attempt != id {
			continue
		}
		s.scoring = false
		s.result.Score, s.result.Scoring = score.Value, score.Scoring
		if score.Scoring == sample.Unscored {
			l.stats.UnscoredSamples++
		}
	}
}

// Score is the result of scoring one sample. Value is set only if Scoring is
// sample.Scored.
type Score struct {
	Value   float64
	Scoring sample.Scoring
}

// Fail records the failure of an attempt and delays the next one. If the engine rejected
// the request before any work, it delays the next attempt as the engine asked, at least
// by Policy.Backoff, and doesn't count a failure.
func (l *Ledger) Fail(id string, err error, now time.Time) {
	a, ok := l.running[id]
	if !ok {
		return
	}
	l.removeAttempt(a)
	var refused *engine.RefusedError
	if errors.As(err, &refused) {
		l.slots[a.slot].notBefore = now.Add(max(refused.RetryAfter, l.policy.Backoff))
		return
	}
	var unlabelled *sample.UnlabeledError
	if errors.As(err, &unlabelled) {
		l.stats.Unlabelled++
	} else {
		l.stats.Failures++
	}
	l.stats.FailedTokens += a.tokens
	l.backOff(a, now)
}

// Interrupted records the partial text of an attempt that a reclaimed engine exported.
// The next attempt can resume it, and then keeps its weights versions. Text without
// versions, and text that could no longer finish fresh, is dropped.
func (l *Ledger) Interrupted(id string, resume engine.Resume) {
	a, ok := l.running[id]
	if !ok {
		return
	}
	l.removeAttempt(a)
	l.slots[a.slot].mostTokens = max(l.slots[a.slot].mostTokens, resume.Tokens)
	if len(resume.Versions) == 0 || l.tooStale(resume.Versions) {
		l.stats.StaleTokens += a.tokens
		return
	}
	l.slots[a.slot].resume = &resume
}

// backOff delays the next attempt at the slot after a failure, and makes it avoid the
// engine.
func (l *Ledger) backOff(a *attempt, now time.Time) {
	s := &l.slots[a.slot]
	wait := l.policy.Backoff << min(s.failures, 16) // more doublings could overflow before MaxBackoff applies
	s.failures++
	s.avoidEngine = a.engine
	s.notBefore = now.Add(min(wait, MaxBackoff))
}
