package step

import (
	"cmp"
	"slices"
	"time"
)

// straggler is a running attempt and its expected remaining time.
type straggler struct {
	*attempt
	remaining time.Duration
}

// assignHedges starts second attempts at the slots that delay the step the most. A
// hedge must be expected to finish sooner by the factor HedgeSpeedup, and the expected
// tokens of all hedges of the step stay within the budget of HedgeShare.
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

// expectedTokens returns the expected number of tokens of all samples of the step.
func (l *Ledger) expectedTokens() float64 {
	sum := 0.0
	for g, group := range l.plan.Groups {
		sum += l.expectedLength(g, 0) * float64(group.Size)
	}
	return sum
}

// stragglers returns the attempts with the longest expected remaining time, the longest
// first. It includes only those that are the sole attempt at their slot and that a new
// attempt on an engine of the fastest speed, in tokens per second, could overtake by
// the factor HedgeSpeedup.
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

// Only the attempts that are expected to finish last delay a step. The number of
// stragglers is limited to one in stragglerShare of the running attempts, but to no
// fewer than minStragglers.
const (
	minStragglers  = 8
	stragglerShare = 20
)

// remaining returns the expected remaining time of an attempt at its average speed so
// far: stalePenalty for a stuck attempt, and zero for one that is too young to judge.
func (l *Ledger) remaining(a *attempt, now time.Time) time.Duration {
	if now.Sub(a.lastProgress) >= l.policy.StallTimeout {
		return stalePenalty
	}
	age := now.Sub(a.started)
	if age < l.policy.WarmUp || a.tokens <= a.resumedTokens {
		return 0
	}
	speed := float64(a.tokens-a.resumedTokens) / age.Seconds()
	return seconds((l.expectedLength(l.slots[a.slot].group, a.tokens) - float64(a.tokens)) / speed)
}

// worthHedging reports whether a new attempt on some other engine is expected to finish
// sooner than the straggler by the factor HedgeSpeedup.
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
