package step

import (
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/rollout/sample"
)

// Outcome says what became of a finished attempt.
type Outcome string

// The outcomes. Only a Won sample may be delivered.
const (
	Won        Outcome = "won"
	Lost       Outcome = "lost" // another attempt won, or the attempt had been canceled
	Stale      Outcome = "stale"
	Unlabelled Outcome = "unlabelled"
	Corrupt    Outcome = "broken" // the text is not the digested one
)

// Progress takes the tokens so far of a running attempt and the versions that
// its stream has named. An attempt that can't finish fresh is canceled.
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

// learn remembers the pace of an attempt's engine.
func (l *Ledger) recordSpeed(a *attempt, now time.Time) {
	if age := now.Sub(a.started); age >= minRatioAge {
		l.history.AddSpeedRatio(a.engine, float64(a.tokens-a.resumedTokens)/age.Seconds()/a.ratedSpeed, now)
	}
}

// paceAge is how long an attempt runs before its pace says something.
const minRatioAge = 5 * time.Second

// Complete takes a finished sample. The first complete, labeled and fresh
// sample of a slot wins; other attempts at the slot are canceled.
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
	if !s.Fresh(l.newest, l.state.Bound) {
		l.stats.Stale++
		l.stats.StaleTokens += s.Tokens
		return Stale
	}
	l.accept(at, s)
	return Won
}

// refuse drops a sample that may not be delivered; its slot is tried again,
// elsewhere if there is an elsewhere.
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

// cancelSlot cancels every attempt at a place.
func (l *Ledger) cancelSlot(at sampleKey) {
	if l.slots[l.slotIndex(at)].running == 0 {
		return
	}
	var all []*attempt
	for _, a := range l.running {
		if l.slots[a.slot].sampleKey == at {
			all = append(all, a)
		}
	}
	slices.SortFunc(all, func(a, b *attempt) int { return strings.Compare(a.id, b.id) })
	for _, a := range all {
		l.cancelAttempt(a, &l.stats.HedgeTokens)
	}
}

// Scored ends the scoring of a won sample. The attempt names the sample, since
// its slot may hold another one by now.
func (l *Ledger) Scored(id string, at Score) {
	for i := range l.slots {
		s := &l.slots[i]
		if s.result == nil || !s.scoring || s.result.Attempt != id {
			continue
		}
		s.scoring = false
		s.result.Score, s.result.Scoring = at.Value, at.Scoring
		if at.Scoring == sample.Unscored {
			l.stats.UnscoredSamples++
		}
	}
}

// Score is the answer of the scoring service for one sample.
type Score struct {
	Value   float64
	Scoring sample.Scoring
}

// Fail takes the failure of an attempt. A refusal before any work waits as
// long as the engine asked and counts as no failure.
func (l *Ledger) Fail(id string, err error, now time.Time) {
	a, ok := l.running[id]
	if !ok {
		return
	}
	l.removeAttempt(a)
	var refused *engine.RefusedError
	if errors.As(err, &refused) {
		l.slots[a.slot].notBefore = now.Add(max(refused.After, l.policy.Backoff))
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

// Interrupted takes what a reclaimed engine exported of an attempt. The next attempt
// resumes from it, with every version it names, if it can still finish fresh.
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

// delay backs a slot off after a failure and keeps it from the same engine.
func (l *Ledger) backOff(a *attempt, now time.Time) {
	s := &l.slots[a.slot]
	wait := l.policy.Backoff << min(s.failures, 16)
	s.failures++
	s.avoidEngine = a.engine
	s.notBefore = now.Add(min(wait, MaxBackoff))
}
