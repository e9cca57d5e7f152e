package step

import (
	"cmp"
	"slices"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/rollout/sample"
)

// Engine describes one engine, or the engines of one host taken together, for new
// generations.
type Engine struct {
	Name           string
	Zone           string          // availability zone; the ledger doesn't use it
	Version        uint64          // weights version that the engine reports
	FreeSlots      int             // number of generations that it can start now
	Speed          float64         // tokens per second of the next generation; zero if unknown
	Slowdown       float64         // after n more generations start, the speed of the next is Speed / (1 + n*Slowdown)
	Wait           time.Duration   // expected delay before a new generation starts
	PrefillTime    time.Duration   // time to compute a prompt that isn't in its prefix cache
	CachedPrefixes map[uint64]bool // prefix cache, as values of Group.PrefixHash
	Leaving        bool            // the engine is about to stop and gets no new generations
}

// Assignment is a generation of one sample to start on an engine. Attempt is the ID of
// the attempt and of the request. Hedge is set if it runs in parallel to another attempt.
type Assignment struct {
	Attempt string
	Group   int
	Index   int
	Engine  string
	Hedge   bool
	Request engine.Request
}

// defaultSpeed, in tokens per second, is assumed for engines that report no speed.
const defaultSpeed = 50.0

// stalePenalty is added to the expected time on an engine for each version by which the
// sample is expected to be past the staleness bound at its end, so that such an engine is
// used only if no other is free. It is also the remaining time assumed for a stuck attempt.
const stalePenalty = time.Hour

// siblingPenalty is added to the cost of an engine for each attempt of the same group
// that runs on it beyond siblingsFree, so that a slow or lost engine doesn't delay all
// samples of a group.
const (
	siblingPenalty = 2 * time.Second
	siblingsFree   = 4
)

// candidate is an engine that can take new attempts, with its History.RelativeSpeed.
type candidate struct {
	*Engine
	relativeSpeed float64
}

// Assign decides which generations to start now on the engines, and updates the free
// slots and the speed of the engines accordingly:
//
//  1. Slots that need an attempt come first, in the order of their expected lengths
//     with the longest first, since a long sample that starts late delays the step.
//  2. Each is assigned to the engine where it is expected to finish first. A cached
//     prefix counts only for the prefill time that it saves, so that cache affinity
//     never delays the step.
//  3. Remaining free slots are used for hedges, within their budget.
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

// eligible returns the engines with free slots whose samples would be fresh. It leaves
// out slow engines: in a busy fleet a slow engine would often be the only free one, and
// a sample on it would finish after all others. Slow engines are used only if there are
// no others and no attempt is running.
func (l *Ledger) eligible(engines []Engine, now time.Time) []*candidate {
	var eligible, slow []*candidate
	for i := range engines {
		e := &engines[i]
		if e.FreeSlots <= 0 || e.Leaving || !sample.Fresh([]uint64{e.Version}, l.newest, l.state.MaxSampleAge) {
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

// toStart returns the slots that have neither a sample nor a running attempt and whose
// backoff has passed, in the order in which to start them.
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

// expectedLength returns the expected total tokens of a sample of the group, of which
// an attempt has already generated soFar.
func (l *Ledger) expectedLength(group, soFar int) float64 {
	stat, wanted := l.groupStats[group], l.plan.Groups[group]
	expectedLength := estimateLength(l.history.MeanLength(wanted.Class, wanted.MaxTokens), stat.finished, stat.tokens, soFar)
	if wanted.MaxTokens > 0 {
		return min(expectedLength, float64(wanted.MaxTokens))
	}
	return expectedLength
}

// assignBest starts an attempt at the slot with index at on the engine of the lowest
// cost. It avoids the engine of the slot's last failure if there is another candidate.
// For a hedge, hedgedEngine names the engine of the running attempt, which is excluded;
// otherwise it is empty.
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

// placementCost returns the expected time on an engine with the penalty for siblings.
func (l *Ledger) placementCost(at int, e *candidate) time.Duration {
	siblings := l.siblings[groupOnEngine{l.slots[at].group, e.Name}]
	return l.expectedTime(at, e) + siblingPenalty*time.Duration(max(0, siblings-siblingsFree))
}

// expectedTime returns how long a new attempt at a slot is expected to take on an
// engine, with the penalty for an expected stale result.
func (l *Ledger) expectedTime(at int, e *candidate) time.Duration {
	tokens, _ := l.tokensToGenerate(&l.slots[at], e)
	expectedTime := e.Wait + seconds(tokens/effectiveSpeed(e))
	if !e.CachedPrefixes[l.plan.Groups[l.slots[at].group].PrefixHash] {
		expectedTime += e.PrefillTime
	}
	if l.policy.ReleasePeriod > 0 {
		newest := l.newest + uint64(expectedTime/l.policy.ReleasePeriod)
		expectedTime += stalePenalty * time.Duration(versionsPastBound(e.Version, newest, l.state.MaxSampleAge))
	}
	return expectedTime
}

// tokensToGenerate returns the tokens that a new attempt at a slot is expected to
// generate on an engine, and whether it resumes the exported text of the slot.
//
// Text of the oldest version that is still fresh becomes stale with the next release.
// It is resumed only if the remaining tokens, plus those of a full generation times the
// probability of a release before the end, are fewer than those of a full generation.
func (l *Ledger) tokensToGenerate(s *slot, e *candidate) (tokens float64, resumes bool) {
	full := l.expectedLength(s.group, s.mostTokens)
	if s.resume == nil {
		return full, false
	}
	rest := max(full-float64(s.resume.Tokens), full/10) // assumes that at least a tenth remains
	if l.policy.ReleasePeriod <= 0 || sample.Fresh(s.resume.Versions, l.newest+1, l.state.MaxSampleAge) {
		return rest, true
	}
	releaseChance := min(1, rest/effectiveSpeed(e)/l.policy.ReleasePeriod.Seconds())
	if rest+releaseChance*full < full {
		return rest, true
	}
	return full, false
}

// versionsPastBound returns by how many versions a version exceeds the staleness bound,
// zero if it is fresh.
func versionsPastBound(version, newest, bound uint64) uint64 {
	if newest <= version+bound {
		return 0
	}
	return newest - version - bound
}

// effectiveSpeed returns the reported speed of an engine times its relative speed, in
// tokens per second.
func effectiveSpeed(e *candidate) float64 {
	speed := e.Speed
	if speed <= 0 {
		speed = defaultSpeed
	}
	return speed * e.relativeSpeed
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// startAttempt records a new attempt at a slot and returns its assignment. It doesn't
// record the version that the engine reports, since the weights may change before the
// first token; the versions come from the stream and from a resumed text.
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
