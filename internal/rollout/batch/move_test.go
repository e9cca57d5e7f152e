package batch_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/rollout/batch"
)

// A step waits for its longest generations. Some of them run on engines that are slower by a
// third, or that have become several times slower.
var _ = DescribeTable("a generation is moved to a faster engine", func(generated, gap, quickest, runs int, want bool) {
	Expect(batch.MoveSavesTime(generated, time.Duration(gap)*time.Millisecond, time.Duration(quickest)*time.Millisecond, runs)).To(Equal(want))
},
	Entry("soon when its engine is several times slower", 5, 170, 48, 1, true),
	Entry("once it is long, when its engine is slower by a third", 25, 65, 48, 1, true),
	Entry("but not while it is short", 10, 65, 48, 1, false),
	Entry("nor for the difference between two measurements", 100, 50, 48, 1, false),
	Entry("nor to a slower one", 100, 48, 65, 1, false),
	Entry("nor to one whose pace is not known", 100, 170, 0, 1, false),
	// The generations of many hosts move to the same engine, slow it down, and move on.
	Entry("nor a second time for the same gain", 25, 65, 48, 2, false),
	Entry("but further from an engine that has become several times slower", 10, 170, 48, 3, true),
)

const testGap = 40 * time.Millisecond // between two events of an undisturbed generation

// windows generates the event intervals of an engine that noise makes 2.5 times as slow for
// 15% of the time, 0.6 s at a time, and that is 3.5 times as slow from slowAt on. It calls
// each at the end of a window with the intervals so far.
func windows(seed uint64, slowAt time.Duration, each func(elapsed time.Duration, gaps []time.Duration)) {
	phase := time.Duration(rand.New(rand.NewPCG(seed, 1)).Int64N(int64(4 * time.Second)))
	var elapsed, started time.Duration
	var gaps []time.Duration
	for event := 1; elapsed < 7*time.Second; event++ {
		gap := testGap
		if elapsed >= slowAt {
			gap = testGap * 7 / 2
		} else if (elapsed+phase)%(4*time.Second) < 600*time.Millisecond {
			gap = testGap * 5 / 2
		}
		elapsed += gap
		if event%5 == 0 {
			gaps = append(gaps, (elapsed-started)/5)
			started = elapsed
			each(elapsed, gaps)
		}
	}
}

var _ = Describe("a generation that may be late", func() {
	begin := time.Unix(1_800_000_000, 0)

	// All engines are alike. Guards against moves for noise, each of which costs a connection
	// and reading the prompt again, and against a batch that waits for an engine that stays
	// slow.
	It("does not move for noise of 0.6 s, and moves from an engine that stays slow", func() {
		bySavedTime := 0
		for seed := range uint64(40) {
			var movedAt time.Duration
			observe := func(elapsed time.Duration, gaps []time.Duration) {
				p := batch.Progress{Generated: 5 * len(gaps), Expected: 200, Gaps: gaps, Quickest: testGap, LatestEnd: begin.Add(5600 * time.Millisecond)}
				if movedAt == 0 && batch.MoveAvoidsLateness(begin.Add(elapsed), p) {
					movedAt = elapsed
				}
				if batch.MoveSavesTime(5*len(gaps), gaps[len(gaps)-1], testGap, 1) {
					bySavedTime++
				}
			}
			windows(seed, time.Hour, observe)
			Expect(movedAt).To(BeZero(), "seed %d", seed)
			windows(seed, 2*time.Second, observe)
			// It is slow from 2 s on; noise of up to 0.6 s just before counts towards the 0.8 s.
			Expect(movedAt).To(And(BeNumerically(">=", 2200*time.Millisecond), BeNumerically("<", 3500*time.Millisecond)), "seed %d", seed)
		}
		Expect(bySavedTime).To(BeNumerically(">", 40), "the noise must be strong enough to cause moves")
	})

	DescribeTable("by its expected end", func(generated, expected, gap int, want bool) {
		gaps := slices.Repeat([]time.Duration{time.Duration(gap) * time.Millisecond}, 12)
		p := batch.Progress{Generated: generated, Expected: float64(expected), Gaps: gaps, Quickest: testGap, LatestEnd: begin.Add(5600 * time.Millisecond)}
		Expect(batch.MoveAvoidsLateness(begin.Add(2400*time.Millisecond), p)).To(Equal(want))
	},
		Entry("moves if its estimated length takes too long", 20, 60, 120, true),
		Entry("does not move if that ends in time", 20, 40, 120, false),
		Entry("goes on by a share of a text that has outgrown its estimate", 60, 40, 120, true),
		Entry("or that has none", 40, 0, 120, false),
		Entry("does not move for the difference between two measurements", 60, 300, 44, false),
	)

	// Runs whole batches. Guards against a rule that is not applied, or applied to engines that
	// report no work time or to a trainer that lags.
	DescribeTable("in a batch", func(workTime int, due time.Duration, openBefore, slow, moves bool) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s := newSite(ctx, "h1")
		s.gen.workTime, s.gen.lengths = workTime, map[string]int{"a1": 50}
		s.gen.gap = func(server string, event int) time.Duration {
			if server == "e1" && event > 25 && (slow || event <= 32) {
				return 3 * testGap
			}
			return testGap
		}
		if openBefore {
			s.gen.hold = map[string]chan struct{}{"b1": make(chan struct{})}
			earlier := submission("earlier", "b1")
			earlier.Due = time.Millisecond
			Expect(s.batches("h1").Accept(ctx, earlier)).To(Succeed())
			Eventually(func() string { return s.gen.server("b1") }, patience).ShouldNot(BeEmpty())
			time.Sleep(2 * time.Millisecond) // submissions are told apart by milliseconds
		}
		// The batch starts on e1, since e2 has a request.
		quick, ok := s.batches("h1").Pool.Pick(time.Now(), pool.Need{Service: "llm", Avoid: []string{"e1"}})
		Expect(ok).To(BeTrue())
		quick.RecordEventInterval(time.Now(), testGap*3/2) // more than testGap takes on a busy machine
		submitted := submission("one", "a1")
		submitted.Due = due
		Expect(s.batches("h1").Accept(ctx, submitted)).To(Succeed())
		Eventually(func() []string { return s.listed("h1", "one") }, patience).Should(HaveLen(1))
		Expect(len(s.gen.resumed("a1")) > 1).To(Equal(moves))
	},
		Entry("does not move for noise, also when it is late", 100, time.Second, false, false, false),
		Entry("moves from an engine that stays slow when it is late", 100, time.Second, false, true, true),
		Entry("does not move when it is in time", 100, time.Minute, false, true, false),
		Entry("moves as soon as that saves time if the trainer still waits for an earlier batch that is late", 100, time.Minute, true, false, true),
		Entry("as before if the engines report no work time", 0, time.Minute, false, false, true),
		Entry("as before if the route has no completion target", 100, time.Duration(0), false, false, true),
	)
})
