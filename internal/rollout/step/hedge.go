package step

import (
	"cmp"
	"slices"
	"time"
)

// straggler is a running attempt and how long it is still expected to take.
type straggler struct {
	*attempt
	rest time.Duration
}

// hedges starts second attempts at the slots that hold the step up. A hedge
// has to be expected to end sooner by the policy's gain, and all hedges of the
// step stay within its budget of tokens.
func (l *Ledger) hedges(field []*candidate, now time.Time) []Assignment {
	if l.policy.HedgeShare < 0 || len(field) == 0 {
		return nil
	}
	budget := l.policy.HedgeShare * l.tokens()
	if l.hedged >= budget {
		return nil
	}
	var all []Assignment
	fastest := 0.0
	for _, e := range field {
		fastest = max(fastest, speedOf(e))
	}
	for _, s := range l.stragglers(now, fastest) {
		cost := l.length(l.slots[s.slot].group, 0)
		if l.hedged+cost > budget {
			return all
		}
		if !l.gains(s, field) {
			continue
		}
		work, ok := l.place(s.slot, field, now, s.engine)
		if !ok {
			continue
		}
		l.hedged += cost
		l.stats.Hedges++
		all = append(all, work)
	}
	return all
}

// tokens returns the expected tokens of the whole step.
func (l *Ledger) tokens() float64 {
	sum := 0.0
	for g, group := range l.plan.Groups {
		sum += l.length(g, 0) * float64(group.Size)
	}
	return sum
}

// stragglers returns the attempts that run alone and that an engine of the
// fastest speed, in tokens per second, could overtake, the longest expected
// first.
func (l *Ledger) stragglers(now time.Time, fastest float64) []straggler {
	var all []straggler
	for _, a := range l.running {
		rest := l.rest(a, now)
		anew := seconds(l.length(l.slots[a.slot].group, 0) / fastest)
		if l.slots[a.slot].running == 1 && float64(rest) > float64(anew)*l.policy.HedgeSpeedup {
			all = append(all, straggler{a, rest})
		}
	}
	slices.SortFunc(all, func(a, b straggler) int {
		return cmp.Or(cmp.Compare(b.rest, a.rest), cmp.Compare(a.slot, b.slot))
	})
	last := max(lastFew, len(l.running)/lastShare)
	return all[:min(len(all), last)]
}

// Only the attempts expected to end last hold a step up: one in lastShare of
// the running ones, and at least lastFew.
const (
	lastFew   = 8
	lastShare = 20
)

// rest returns how long an attempt is still expected to take at its pace so
// far. A stuck one is expected to take for ever; nothing is said of one that
// has yet to show a pace.
func (l *Ledger) rest(a *attempt, now time.Time) time.Duration {
	if now.Sub(a.moved) >= l.policy.StallTimeout {
		return stalePenalty
	}
	age := now.Sub(a.started)
	if age < l.policy.WarmUp || a.tokens <= a.resumed {
		return 0
	}
	pace := float64(a.tokens-a.resumed) / age.Seconds()
	return seconds((l.length(l.slots[a.slot].group, a.tokens) - float64(a.tokens)) / pace)
}

// gains reports whether some other engine is expected to end the straggler's
// slot sooner by the policy's gain.
func (l *Ledger) gains(s straggler, field []*candidate) bool {
	for _, e := range field {
		if e.FreeSlots <= 0 || e.Name == s.engine {
			continue
		}
		if float64(l.ends(s.slot, e))*l.policy.HedgeSpeedup < float64(s.rest) {
			return true
		}
	}
	return false
}
