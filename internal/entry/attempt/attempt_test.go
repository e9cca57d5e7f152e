package attempt_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hyssopwall/hyssopwall/internal/entry/attempt"
	"github.com/hyssopwall/hyssopwall/internal/standin/cases"
)

func TestAttempt(t *testing.T) {
	RegisterFailHandler(Fail)
	Expect(flag.Set("rapid.seed", "1")).To(Succeed())
	Expect(flag.Set("rapid.nofailfile", "true")).To(Succeed())
	RunSpecs(t, "Attempt Suite")
}

// script is a test case: the events of one request with the expected decisions.
type script struct {
	Idempotent  bool
	MaxAttempts int
	Steps       []struct {
		Event   attempt.EventKind
		Attempt int
		Unsent  bool
		Budget  bool
		Do      attempt.Action
		Ran     attempt.Ran
		Cancel  []int
		Phase   attempt.Phase
		Note    string
	}
}

var _ = Describe("an attempt", func() {
	all, err := cases.Load[script]("testdata/*.hujson")
	It("has cases", func() { Expect(err).NotTo(HaveOccurred()) })
	for _, c := range all {
		It(c.Name, func() {
			s := attempt.State{Phase: attempt.Queued, Idempotent: c.Data.Idempotent, MaxAttempts: c.Data.MaxAttempts}
			for i, step := range c.Data.Steps {
				var d attempt.Decision
				s, d = attempt.Next(s, attempt.Event{Kind: step.Event, AttemptID: step.Attempt, Unsent: step.Unsent, BudgetAllows: step.Budget})
				Expect(d.Do).To(Equal(step.Do), "step %d: %s", i, step.Note)
				Expect(d.Ran).To(Equal(step.Ran), "step %d: %s", i, step.Note)
				Expect(d.Cancel).To(Equal(step.Cancel), "step %d: %s", i, step.Note)
				Expect(s.Phase).To(Equal(step.Phase), "step %d: %s", i, step.Note)
			}
		})
	}

	It("keeps its rules under any order of events", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) { checkRules(t, attempt.Next) })
	})

	It("fails the same check when a lost answer counts as not sent", func() {
		faulty := func(s attempt.State, e attempt.Event) (attempt.State, attempt.Decision) {
			e.Unsent = true
			return attempt.Next(s, e)
		}
		detected := false
		for seed := range 200 {
			detected = detected || !rulesHold(rapid.Custom(events).Example(seed), false, faulty)
		}
		Expect(detected).To(BeTrue())
	})
})

// events draws a list of events in any order.
func events(t *rapid.T) []attempt.Event {
	kinds := []attempt.EventKind{
		attempt.EventClaim, attempt.EventSend, attempt.EventByte, attempt.EventAnswer, attempt.EventRefused,
		attempt.EventBroken, attempt.EventSlow, attempt.EventExpire, attempt.EventCancel,
	}
	one := rapid.Custom(func(t *rapid.T) attempt.Event {
		return attempt.Event{
			Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), AttemptID: rapid.IntRange(1, 4).Draw(t, "attempt"),
			Unsent: rapid.Bool().Draw(t, "unsent"), BudgetAllows: rapid.Bool().Draw(t, "budget"),
		}
	})
	return rapid.SliceOfN(one, 1, 40).Draw(t, "events")
}

// next has the signature of attempt.Next.
type next func(attempt.State, attempt.Event) (attempt.State, attempt.Decision)

func checkRules(t *rapid.T, apply next) {
	if !rulesHold(events(t), rapid.Bool().Draw(t, "idempotent"), apply) {
		t.Fatal("the state machine broke a rule of the package")
	}
}

// rulesHold applies events and tracks, independently of the state machine,
// which attempts may have run; unsent and refused ones did not. It reports
// whether a request that is not idempotent ran at most once, "not run" was
// reported only when true, and the request finished at most once within its
// attempts.
func rulesHold(list []attempt.Event, idempotent bool, apply next) bool {
	s := attempt.State{Phase: attempt.Queued, Idempotent: idempotent}
	mayRun := map[int]bool{}
	live := map[int]bool{}
	finishes := 0
	for i, e := range list {
		if e.Kind == attempt.EventSend {
			e.AttemptID = 100 + i // IDs of attempts are never reused
		} else if len(live) > 0 {
			for id := range live {
				e.AttemptID = max(e.AttemptID, id)
			}
		}
		attemptsBefore := s.Attempts
		var d attempt.Decision
		s, d = apply(s, e)
		switch {
		case s.Attempts > attemptsBefore:
			mayRun[e.AttemptID], live[e.AttemptID] = true, true
		case live[e.AttemptID] && (e.Kind == attempt.EventRefused || e.Kind == attempt.EventBroken && e.Unsent):
			delete(mayRun, e.AttemptID)
			delete(live, e.AttemptID)
		case e.Kind == attempt.EventBroken:
			delete(live, e.AttemptID)
		}
		if !idempotent && len(mayRun) > 1 {
			return false
		}
		if d.Do == attempt.DoFinish {
			finishes++
			if d.Ran == attempt.RanNo && len(mayRun) > 0 || finishes > 1 {
				return false
			}
		}
	}
	return s.Attempts <= attempt.DefaultMaxAttempts
}

var _ = Describe("the retry budget", func() {
	It("bounds retries to a share of recent requests plus the reserve", func() {
		var b attempt.Budget
		now := time.Unix(5000, 0)
		taken := 0
		for i := range 1000 {
			at := now.Add(time.Duration(i) * 10 * time.Millisecond)
			b.CountRequest(at)
			if b.Take(at) {
				taken++
			}
		}
		Expect(taken).To(BeNumerically("<=", 1000*attempt.DefaultShare+attempt.DefaultReserve))
		Expect(taken).To(BeNumerically(">=", 1000*attempt.DefaultShare/2))
		later := now.Add(time.Minute)
		Expect(b.Take(later)).To(BeTrue(), "retries older than the window don't count")
		b.Return(later)
	})

	It("reserves half of the budget for retries", func() {
		var b attempt.Budget
		now := time.Unix(5000, 0)
		for range 1000 {
			b.CountRequest(now)
		}
		hedges, retries := 0, 0
		for range 200 {
			if b.TakeHedge(now) {
				hedges++
			}
		}
		for range 200 {
			if b.Take(now) {
				retries++
			}
		}
		Expect(hedges).To(Equal(51))
		Expect(retries).To(Equal(52))
		for range 1000 {
			b.CountRequest(now)
		}
		Expect(b.TakeHedge(now)).To(BeFalse(), "retries use more than half of the budget")
	})

	It("hedges after the 95th percentile, and not before it has enough samples", func() {
		var d attempt.HedgeDelay
		_, ok := d.After()
		Expect(ok).To(BeFalse())
		for i := range 100 {
			d.Add(time.Duration(i) * time.Millisecond)
		}
		after, ok := d.After()
		Expect(ok).To(BeTrue())
		Expect(after).To(BeNumerically("~", 91*time.Millisecond, 5*time.Millisecond))
	})
})
