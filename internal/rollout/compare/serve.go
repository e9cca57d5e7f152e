package compare

import (
	"slices"

	"github.com/hyssopwall/hyssopwall/internal/platform/supply"
	"github.com/hyssopwall/hyssopwall/internal/rollout/sample"
	"github.com/hyssopwall/hyssopwall/internal/rollout/step"
)

// tickTrainers lets every trainer that is not training open a step and pull from it.
func (s *simulation) tickTrainers() {
	for _, t := range s.trainers {
		if t.ledger == nil {
			if s.now.Before(t.nextOpen) {
				continue
			}
			s.openStep(t)
		}
		s.pullChunk(t)
	}
}

// openStep opens the trainer's next step.
func (s *simulation) openStep(t *trainer) {
	t.number++
	plan := t.plan(s.scenario)
	policy := step.Policy{ReleasePeriod: releasePeriod}
	if s.scenario.Baseline == ArrivalOrder {
		policy = step.Policy{PlanOrder: true, HedgeShare: -1}
	}
	state := step.State{ID: plan.ID, Model: plan.Model, MaxSampleAge: plan.MaxSampleAge, Owner: "h", Epoch: 1}
	for _, group := range plan.Groups {
		state.GroupSizes = append(state.GroupSizes, group.Size)
	}
	ledger, err := step.NewLedger(state, plan, policy, t.history)
	if err != nil {
		panic(err) // the scenario is invalid
	}
	s.countWrite()
	ledger.ObserveVersion(s.newest)
	t.ledger, t.opened, t.cursor, t.received = ledger, s.now, 0, map[[2]int]bool{}
}

// countWrite counts a write of a step object.
func (s *simulation) countWrite() { s.written[int(s.now.Sub(s.start).Seconds())]++ }

// pullChunk pulls the next chunk of a step, if there is one, and commits it.
func (s *simulation) pullChunk(t *trainer) {
	request := step.Request{Cursor: t.cursor, Newest: s.newest}
	answer, err := t.ledger.Pull(request, s.now)
	if err == nil && answer.Commit != nil {
		s.countWrite()
		t.ledger.Committed(s.now)
		answer, err = t.ledger.Pull(request, s.now)
	}
	s.cancel(t)
	if err != nil || answer.Chunk == nil || answer.Chunk.Previous != t.cursor {
		return
	}
	for _, got := range answer.Chunk.Samples {
		s.checkSample(t, got)
	}
	t.cursor = answer.Chunk.Cursor
	if answer.Chunk.AllDelivered {
		s.finishStep(t)
	}
}

// checkSample counts a sample that a trainer has received. It checks that the sample is
// no duplicate, is fresh, and is labeled with the true weights versions.
func (s *simulation) checkSample(t *trainer, got sample.Sample) {
	st := s.undelivered[got.Attempt]
	delete(s.undelivered, got.Attempt)
	position := [2]int{got.Group, got.Index}
	switch {
	case t.received[position]:
		s.result.Duplicates++
	case !sample.Fresh(st.trueVersions, s.newest, s.scenario.MaxSampleAge):
		s.result.Stale++
	case !slices.Equal(got.Versions, st.trueVersions):
		s.result.Mislabeled++
	default:
		s.result.Samples++
	}
	t.received[position] = true
	s.result.DeliveredTokens += float64(got.Tokens)
}

// finishStep records a step whose samples have all been delivered, and lets the trainer
// train.
func (s *simulation) finishStep(t *trainer) {
	s.result.Steps++
	s.result.StepTimes = append(s.result.StepTimes, s.now.Sub(t.opened))
	s.result.TrainerWait += s.now.Sub(t.opened)
	s.result.TrainerWork += s.scenario.TrainTime
	s.addStats(t)
	t.ledger.Cancel()
	s.cancel(t)
	t.ledger, t.nextOpen = nil, s.now.Add(s.scenario.TrainTime)
}

// addStats adds the counters of the trainer's step to the result.
func (s *simulation) addStats(t *trainer) {
	stats := t.ledger.Status().Stats
	sum := &s.result.Stats
	sum.Attempts += stats.Attempts
	sum.Hedges += stats.Hedges
	sum.Failures += stats.Failures
	sum.Stale += stats.Stale
	sum.StaleTokens += stats.StaleTokens
	sum.HedgeTokens += stats.HedgeTokens
	sum.FailedTokens += stats.FailedTokens
	sum.CanceledEarly += stats.CanceledEarly
	sum.Unlabelled += stats.Unlabelled
}

// countTokens counts the tokens that a server generated.
func (s *simulation) countTokens(sm *sampler, tokens float64) {
	s.result.GeneratedTokens += tokens
	if sm.class == supply.Spot {
		s.result.SpotTokens += tokens
	}
}
