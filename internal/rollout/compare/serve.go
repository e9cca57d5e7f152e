package compare

import (
	"slices"

	"github.com/hyssopwall/hyssopwall/internal/platform/supply"
	"github.com/hyssopwall/hyssopwall/internal/rollout/sample"
	"github.com/hyssopwall/hyssopwall/internal/rollout/step"
)

// train lets every trainer open, pull or train.
func (s *site) train() {
	for _, t := range s.trainers {
		if t.ledger == nil {
			if s.now.Before(t.next) {
				continue
			}
			s.open(t)
		}
		s.pull(t)
	}
}

func (s *site) open(t *trainer) {
	t.number++
	plan := t.plan(s.c)
	policy := step.Policy{ReleasePeriod: releasePeriod}
	if s.c.Baseline == Arrival {
		policy = step.Policy{PlanOrder: true, HedgeShare: -1}
	}
	state := step.State{ID: plan.ID, Model: plan.Model, Bound: plan.Bound, Owner: "h", Epoch: 1}
	for _, group := range plan.Groups {
		state.GroupSizes = append(state.GroupSizes, group.Size)
	}
	ledger, err := step.NewLedger(state, plan, policy, t.history)
	if err != nil {
		panic(err) // the scenario itself is wrong
	}
	s.write()
	ledger.ObserveVersion(s.newest)
	t.ledger, t.opened, t.cursor, t.got = ledger, s.now, 0, map[[2]int]bool{}
}

func (s *site) write() { s.written[int(s.now.Sub(s.start).Seconds())]++ }

func (s *site) pull(t *trainer) {
	request := step.Request{Cursor: t.cursor, Newest: s.newest}
	answer, err := t.ledger.Pull(request, s.now)
	if err == nil && answer.Commit != nil {
		s.write()
		t.ledger.Committed(s.now)
		answer, err = t.ledger.Pull(request, s.now)
	}
	s.cancel(t)
	if err != nil || answer.Chunk == nil || answer.Chunk.Previous != t.cursor {
		return
	}
	for _, got := range answer.Chunk.Samples {
		s.take(t, got)
	}
	t.cursor = answer.Chunk.Cursor
	if answer.Chunk.AllDelivered {
		s.whole(t)
	}
}

// take counts a sample that reached its trainer, and checks its promises
// against what the model knows.
func (s *site) take(t *trainer, got sample.Sample) {
	st := s.won[got.Attempt]
	delete(s.won, got.Attempt)
	place := [2]int{got.Group, got.Index}
	switch {
	case t.got[place]:
		s.result.Repeated++
	case !sample.Fresh(st.truth, s.newest, s.c.Bound):
		s.result.Stale++
	case !slices.Equal(got.Versions, st.truth):
		s.result.Mislabeled++
	default:
		s.result.Samples++
	}
	t.got[place] = true
	s.result.Delivered += float64(got.Tokens)
}

func (s *site) whole(t *trainer) {
	s.result.Steps++
	s.result.Times = append(s.result.Times, s.now.Sub(t.opened))
	s.result.Waited += s.now.Sub(t.opened)
	s.result.Worked += s.c.Train
	s.add(t)
	t.ledger.Cancel()
	s.cancel(t)
	t.ledger, t.next = nil, s.now.Add(s.c.Train)
}

// add sums the counters of a step that ends.
func (s *site) add(t *trainer) {
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

func (s *site) count(on *sampler, tokens float64) {
	s.result.Generated += tokens
	if on.class == supply.Spot {
		s.result.Spot += tokens
	}
}
