package step

import (
	"cmp"
	"slices"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/rollout/sample"
)

// Engine is one engine, or the engines of a home host taken together, that can
// take new work now.
type Engine struct {
	Name           string
	Zone           string
	Version        uint64          // weights in force, as the engine reports them
	FreeSlots      int             // generations that it can start
	Speed          float64         // tokens per second of one more generation; zero if not known
	Slowdown       float64         // share of Speed that the next generation costs the one after it
	Wait           time.Duration   // before a new generation starts
	PrefillTime    time.Duration   // to compute a prompt that is not in its cache
	CachedPrefixes map[uint64]bool // prefixes in its cache, as Group.Prefix
	Leaving        bool            // about to stop: no new work
}

// Assignment is one generation to start. Attempt is also the request's ID.
type Assignment struct {
	Attempt string
	Group   int
	Index   int
	Engine  string
	Hedge   bool
	Request engine.Request
}

// defaultSpeed is assumed of engines that report none, in tokens per second.
const defaultSpeed = 50.0

// stalePenalty is added to the expected end on an engine for each version that
// the sample is expected to be past the bound by then. Such an engine is used
// only if no other is free.
const stalePenalty = time.Hour

// siblingPenalty is added to the expected end for each attempt of the same
// group that runs on the engine beyond the first few, so that one slow or lost
// engine does not hold a whole group.
const (
	siblingPenalty = 2 * time.Second
	siblingsFree   = 4
)

// candidate is an engine and its pace against the fleet's.
type candidate struct {
	*Engine
	relativeSpeed float64
}

// Assign returns the generations to start now on engines, which it leaves with
// what remains free and at the speed that remains:
//
//  1. Slots without a sample come first, those expected longest before the
//     others, since a long sample that starts late ends the step late.
//  2. Each goes where it is expected to end first. A warm prefix counts for the
//     prompt's computation that it saves and no more, so that it never delays
//     the step.
//  3. What is then free takes hedges, within their budget.
func (l *Ledger) Assign(now time.Time, engines []Engine) []Assignment {
	if l.canceling || l.AllDelivered() {
		return nil
	}
	candidates := l.eligible(engines, now)
	var assignments []Assignment
	var ranked ranking
	for _, at := range l.toStart(now) {
		if !ranked.isFor(l.slots[at].group) {
			ranked = l.rank(at, candidates)
		}
		if ranked.Len() == 0 {
			break
		}
		assignments = append(assignments, l.assignRanked(at, &ranked, candidates, now))
	}
	return append(assignments, l.assignHedges(candidates, now)...)
}

// usable returns the engines whose new samples could be delivered. A slow
// engine is left idle: in a full fleet it would be the one that is free, and a
// sample on it would end after all others. It is used when there is nothing
// else at all.
func (l *Ledger) eligible(engines []Engine, now time.Time) []*candidate {
	var eligible, slow []*candidate
	for i := range engines {
		e := &engines[i]
		if e.FreeSlots <= 0 || e.Leaving || !sample.Fresh([]uint64{e.Version}, l.newest, l.state.Bound) {
			continue
		}
		c := &candidate{Engine: e, relativeSpeed: l.history.RelativeSpeed(e.Name, now)}
		if c.relativeSpeed < 1 {
			slow = append(slow, c)
			continue
		}
		eligible = append(eligible, c)
	}
	if len(eligible) == 0 && len(l.running) == 0 {
		return slow
	}
	return eligible
}

// needs returns the slots without a sample and without an attempt, in the
// order in which to start them.
func (l *Ledger) toStart(now time.Time) []int {
	var toStart []int
	for i := range l.slots {
		s := &l.slots[i]
		if s.result == nil && s.running == 0 && !l.delivered[s.sampleKey] && !now.Before(s.notBefore) {
			toStart = append(toStart, i)
		}
	}
	if l.policy.PlanOrder {
		return toStart
	}
	lengths := make([]float64, len(l.groupStats))
	for g := range l.groupStats {
		lengths[g] = l.expectedLength(g, 0)
	}
	slices.SortStableFunc(toStart, func(a, b int) int {
		return cmp.Compare(lengths[l.slots[b].group], lengths[l.slots[a].group])
	})
	return toStart
}

func (l *Ledger) expectedLength(group, soFar int) float64 {
	stat, wanted := l.groupStats[group], l.plan.Groups[group]
	expectedLength := estimateLength(l.history.MeanLength(wanted.Class, wanted.MaxTokens), stat.finished, stat.tokens, soFar)
	if wanted.MaxTokens > 0 {
		return min(expectedLength, float64(wanted.MaxTokens))
	}
	return expectedLength
}

// place starts a slot on the engine where it is expected to end first, and
// keeps it from the engine that failed it last if there is another. Beside
// names the engine of the attempt that a hedge runs beside; it is empty for a
// first attempt.
func (l *Ledger) assignBest(at int, candidates []*candidate, now time.Time, hedgedEngine string) (Assignment, bool) {
	var best *candidate
	var least time.Duration
	for _, e := range candidates {
		if e.FreeSlots <= 0 || (e.Name == l.slots[at].avoidEngine && len(candidates) > 1) || (hedgedEngine != "" && e.Name == hedgedEngine) {
			continue
		}
		if cost := l.placementCost(at, e); best == nil || cost < least {
			best, least = e, cost
		}
	}
	if best == nil {
		return Assignment{}, false
	}
	return l.startAttempt(at, best, now, hedgedEngine != ""), true
}

// cost is the expected end on an engine with the penalty for siblings.
func (l *Ledger) placementCost(at int, e *candidate) time.Duration {
	siblings := l.siblings[groupOnEngine{l.slots[at].group, e.Name}]
	return l.expectedTime(at, e) + siblingPenalty*time.Duration(max(0, siblings-siblingsFree))
}

// ends returns how long a new attempt at a slot is expected to take on an
// engine.
func (l *Ledger) expectedTime(at int, e *candidate) time.Duration {
	tokens, _ := l.tokensToGenerate(&l.slots[at], e)
	expectedTime := e.Wait + seconds(tokens/effectiveSpeed(e))
	if !e.CachedPrefixes[l.plan.Groups[l.slots[at].group].PrefixHash] {
		expectedTime += e.PrefillTime
	}
	if l.policy.ReleasePeriod > 0 {
		newest := l.newest + uint64(expectedTime/l.policy.ReleasePeriod)
		expectedTime += stalePenalty * time.Duration(versionsPastBound(e.Version, newest, l.state.Bound))
	}
	return expectedTime
}

// remaining returns the tokens that a new attempt at a slot is expected to generate
// on an engine, and whether it goes on from the text that the slot has.
//
// Text under the oldest version that is still fresh is lost with the next
// release. It is of use only if its rest, and with the chance of a release
// before its end a whole generation, takes less than a whole generation now.
func (l *Ledger) tokensToGenerate(s *slot, e *candidate) (tokens float64, resumes bool) {
	full := l.expectedLength(s.group, s.mostTokens)
	if s.resume == nil {
		return full, false
	}
	rest := max(full-float64(s.resume.Tokens), full/10)
	if l.policy.ReleasePeriod <= 0 || sample.Fresh(s.resume.Versions, l.newest+1, l.state.Bound) {
		return rest, true
	}
	releaseChance := min(1, rest/effectiveSpeed(e)/l.policy.ReleasePeriod.Seconds())
	if rest+releaseChance*full < full {
		return rest, true
	}
	return full, false
}

// behind returns by how many versions a version is past the bound.
func versionsPastBound(version, newest, bound uint64) uint64 {
	if newest <= version+bound {
		return 0
	}
	return newest - version - bound
}

func effectiveSpeed(e *candidate) float64 {
	speed := e.Speed
	if speed <= 0 {
		speed = defaultSpeed
	}
	return speed * e.relativeSpeed
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// start records an attempt and returns its work. An attempt starts under the
// version that the engine reports only as a guess; the stream alone labels it.
func (l *Ledger) startAttempt(at int, e *candidate, now time.Time, hedge bool) Assignment {
	s := &l.slots[at]
	_, resumes := l.tokensToGenerate(s, e)
	s.attempts++
	s.running++
	a := &attempt{id: l.attemptID(s), slot: at, engine: e.Name, hedge: hedge, started: now, lastProgress: now, ratedSpeed: effectiveSpeed(e) / e.relativeSpeed}
	e.FreeSlots--
	e.Speed /= 1 + e.Slowdown
	e.Slowdown /= 1 + e.Slowdown
	group := l.plan.Groups[s.group]
	request := engine.Request{
		ID: a.id, Model: l.plan.Model, Adapter: l.plan.Adapter, Prompt: group.Prompt,
		MaxTokens: group.MaxTokens, Seed: int64(s.group)<<32 | int64(s.index)<<8 | int64(s.attempts&0xff),
	}
	if !hedge && s.resume != nil {
		if resumes {
			request.Resume = s.resume
			a.versions, a.tokens, a.resumedTokens = s.resume.Versions, s.resume.Tokens, s.resume.Tokens
		} else {
			l.stats.StaleTokens += s.resume.Tokens
		}
		s.resume = nil
	}
	l.running[a.id] = a
	l.siblings[groupOnEngine{s.group, e.Name}]++
	l.stats.Attempts++
	return Assignment{Attempt: a.id, Group: s.group, Index: s.index, Engine: e.Name, Hedge: hedge, Request: request}
}
