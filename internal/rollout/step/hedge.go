package step

import (
	"cmp"
	"slices"
	"time"
)

// straggler is a running attempt and how long it is still expected to take.
type straggler struct {
	*attempt
	remaining time.Duration
}

// hedges starts second attempts at the slots that hold the step up. A hedge
// has to be expected to end sooner by the policy's gain, and all hedges of the
// step stay within its budget of tokens.
func (l *Ledger) assignHedges(candidates []*candidate, now time.Time) []Assignment {
	if l.policy.HedgeShare < 0 || len(candidates) == 0 {
		return nil
	}
	budget := l.policy.HedgeShare * l.expectedTokens()
	if l.hedgedTokens >= budget {
		return nil
	}
	var assignments []Assignment
	fastest := 0.0
	for _, e := range candidates {
		fastest = max(fastest, effectiveSpeed(e))
	}
	for _, s := range l.stragglers(now, fastest) {
		cost := l.expectedLength(l.slots[s.slot].group, 0)
		if l.hedgedTokens+cost > budget {
			return assignments
		}
		if !l.worthHedging(s, candidates) {
			continue
		}
		assignment, ok := l.assignBest(s.slot, candidates, now, s.engine)
		if !ok {
			continue
		}
		l.hedgedTokens += cost
		l.stats.Hedges++
		assignments = append(assignments, assignment)
	}
	return assignments
}

// tokens returns the expected tokens of the whole step.
func (l *Ledger) expectedTokens() float64 {
	sum := 0.0
	for g, group := range l.plan.Groups {
		sum += l.expectedLength(g, 0) * float64(group.Size)
	}
	return sum
}

// stragglers returns the attempts that run alone and that an engine of the
// fastest speed, in tokens per second, could overtake, the longest expected
// first.
func (l *Ledger) stragglers(now time.Time, fastest float64) []straggler {
	var all []straggler
	for _, a := range l.running {
		remaining := l.remaining(a, now)
		fromStart := seconds(l.expectedLength(l.slots[a.slot].group, 0) / fastest)
		if l.slots[a.slot].running == 1 && float64(remaining) > float64(fromStart)*l.policy.HedgeSpeedup {
			all = append(all, straggler{a, remaining})
		}
	}
	slices.SortFunc(all, func(a, b straggler) int {
		return cmp.Or(cmp.Compare(b.remaining, a.remaining), cmp.Compare(a.slot, b.slot))
	})
	limit := max(minStragglers, len(l.running)/stragglerShare)
	return all[:min(len(all), limit)]
}

// Only the attempts expected to end last hold a step up: one in lastShare of
// the running ones, and at least lastFew.
const (
	minStragglers  = 8
	stragglerShare = 20
)

// rest returns how long an attempt is still expected to take at its pace so
// far. A stuck one is expected to take for ever; nothing is said of one that
// has yet to show a pace.
func (l *Ledger) remaining(a *attempt, now time.Time) time.Duration {
	if now.Sub(a.lastProgress) >= l.policy.StallTimeout {
		return stalePenalty
	}
	age := now.Sub(a.started)
	if age < l.policy.WarmUp || a.tokens <= a.resumedTokens {
		return 0
	}
	pace := float64(a.tokens-a.resumedTokens) / age.Seconds()
	return seconds((l.expectedLength(l.slots[a.slot].group, a.tokens) - float64(a.tokens)) / pace)
}

// gains reports whether some other engine is expected to end the straggler's
// slot sooner by the policy's gain.
func (l *Ledger) worthHedging(s straggler, candidates []*candidate) bool {
	for _, e := range candidates {
		if e.FreeSlots <= 0 || e.Name == s.engine {
			continue
		}
		if float64(l.expectedTime(s.slot, e))*l.policy.HedgeSpeedup < float64(s.remaining) {
			return true
		}
	}
	return false
}
