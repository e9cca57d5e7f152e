package step_test

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/rollout/sample"
	"github.com/hyssopwall/hyssopwall/internal/rollout/step"
)

var start = time.Unix(1_800_000_000, 0)

// after returns the time some seconds after start.
func after(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

// ledger returns a ledger of a new step with the plan.
func ledger(p step.Plan, policy step.Policy, history *step.History) *step.Ledger {
	var sizes []int
	for _, group := range p.Groups {
		sizes = append(sizes, group.Size)
	}
	l, err := step.NewLedger(step.State{ID: p.ID, Model: p.Model, MaxSampleAge: p.MaxSampleAge, GroupSizes: sizes, Owner: "h", Epoch: 1}, p, policy, history)
	Expect(err).NotTo(HaveOccurred())
	return l
}

// finished returns a valid sample with the text and the weights versions.
func finished(text string, tokens int, versions ...uint64) sample.Sample {
	return sample.Sample{Text: text, Tokens: tokens, Digest: sample.Digest(text), Versions: versions}
}

// freeEngine returns an engine of a fixed speed with free slots.
func freeEngine(name string, version uint64, free int) step.Engine {
	return step.Engine{Name: name, Version: version, FreeSlots: free, Speed: 100}
}

// pullChunk returns the chunk for a pull, after its commit if one is needed.
func pullChunk(l *step.Ledger, r step.Request, now time.Time) *step.Chunk {
	decision, err := l.Pull(r, now)
	Expect(err).NotTo(HaveOccurred())
	if decision.Commit != nil {
		l.Committed(now)
		decision, err = l.Pull(r, now)
		Expect(err).NotTo(HaveOccurred())
	}
	return decision.Chunk
}

var _ = Describe("a ledger", func() {
	It("starts the groups with the longest expected samples first", func() {
		history := &step.History{}
		history.AddLength("short", 10)
		history.AddLength("long", 1000)
		p := plan(2, 2)
		p.Groups[0].Class, p.Groups[1].Class = "short", "long"
		assignments := ledger(p, step.Policy{}, history).Assign(start, []step.Engine{freeEngine("e", 1, 3)})
		Expect(assignments).To(HaveLen(3))
		Expect([]int{assignments[0].Group, assignments[1].Group, assignments[2].Group}).To(Equal([]int{1, 1, 0}))
	})

	It("prefers an engine with a cached prefix unless that delays the sample", func() {
		p := plan(1, 2)
		p.Groups[0].PrefixHash = 7
		warm := step.Engine{Name: "warm", Version: 1, FreeSlots: 1, Speed: 100, CachedPrefixes: map[uint64]bool{7: true}}
		cold := step.Engine{Name: "cold", Version: 1, FreeSlots: 1, Speed: 100, PrefillTime: time.Second}
		assignments := ledger(p, step.Policy{}, nil).Assign(start, []step.Engine{cold, warm})
		Expect(assignments[0].Engine).To(Equal("warm"))
		warm.Wait = 2 * time.Second
		assignments = ledger(p, step.Policy{}, nil).Assign(start, []step.Engine{cold, warm})
		Expect(assignments[0].Engine).To(Equal("cold"))
	})

	It("prefers engines whose weights stay fresh longer, and never uses stale ones", func() {
		l := ledger(plan(1, 3), step.Policy{ReleasePeriod: time.Second}, nil)
		l.ObserveVersion(5)
		assignments := l.Assign(start, []step.Engine{freeEngine("stale", 3, 1), freeEngine("old", 4, 1), freeEngine("new", 6, 1)})
		Expect(assignments).To(HaveLen(2))
		Expect(assignments[0].Engine).To(Equal("new"))
		Expect(assignments[1].Engine).To(Equal("old"))
	})

	It("never delivers a sample past the staleness bound, and generates another", func() {
		l := ledger(plan(1, 1), step.Policy{}, nil)
		assignments := l.Assign(start, []step.Engine{freeEngine("e", 1, 1)})
		Expect(l.Complete(assignments[0].Attempt, finished("a", 9, 1), after(1))).To(Equal(step.Won))
		Expect(pullChunk(l, step.Request{Newest: 3}, after(2))).To(BeNil())
		assignments = l.Assign(after(2), []step.Engine{freeEngine("e", 3, 1)})
		Expect(assignments).To(HaveLen(1))
		Expect(l.Complete(assignments[0].Attempt, finished("b", 9, 3), after(3))).To(Equal(step.Won))
		Expect(pullChunk(l, step.Request{Newest: 4}, after(4)).Samples[0].Text).To(Equal("b"))
		Expect(l.Status().Stats.StaleTokens).To(Equal(9))
	})

	It("does not send a committed chunk again once it is stale", func() {
		l := ledger(plan(1, 2), step.Policy{}, nil)
		for _, w := range l.Assign(start, []step.Engine{freeEngine("e", 1, 2)}) {
			l.Complete(w.Attempt, finished(w.Attempt, 1, uint64(1+w.Index)), after(1))
		}
		first := pullChunk(l, step.Request{Newest: 2}, after(2))
		Expect(first.Samples).To(HaveLen(2))
		again := pullChunk(l, step.Request{Newest: 3}, after(9))
		Expect(again.Cursor).NotTo(Equal(first.Cursor))
		Expect(again.Previous).To(Equal(first.Previous))
		Expect(again.Samples).To(HaveLen(1))
		Expect(again.Samples[0].Index).To(Equal(1))
	})

	It("cancels attempts early that can no longer finish fresh", func() {
		l := ledger(plan(1, 1), step.Policy{}, nil)
		assignments := l.Assign(start, []step.Engine{freeEngine("e", 1, 1)})
		l.Progress(assignments[0].Attempt, 5, []uint64{1}, after(1))
		l.ObserveVersion(2)
		Expect(l.DrainCancels()).To(BeEmpty())
		l.ObserveVersion(3)
		Expect(l.DrainCancels()).To(ConsistOf(assignments[0].Attempt))
		Expect(l.Status().Stats.StaleTokens).To(Equal(5))
		Expect(l.Complete(assignments[0].Attempt, finished("a", 9, 1), after(2))).To(Equal(step.Lost))
	})

	It("rejects unlabelled and corrupt samples and retries on another engine", func() {
		l := ledger(plan(1, 1), step.Policy{}, nil)
		engines := func() []step.Engine { return []step.Engine{freeEngine("e1", 1, 1), freeEngine("e2", 1, 1)} }
		assignments := l.Assign(start, engines())
		Expect(l.Complete(assignments[0].Attempt, finished("a", 9), after(1))).To(Equal(step.Unlabelled))
		Expect(l.Assign(after(1), engines())).To(BeEmpty())
		again := l.Assign(after(2), engines())
		Expect(again[0].Engine).NotTo(Equal(assignments[0].Engine))
		bad := finished("a", 9, 1)
		bad.Text = "b"
		Expect(l.Complete(again[0].Attempt, bad, after(3))).To(Equal(step.Corrupt))
	})

	It("hedges a straggler within the budget, and only the first sample wins", func() {
		history := &step.History{}
		history.AddLength("", 100)
		l := ledger(plan(1, 2), step.Policy{HedgeShare: 0.5, StallTimeout: time.Minute, WarmUp: time.Second}, history)
		assignments := l.Assign(start, []step.Engine{freeEngine("e1", 1, 2)})
		for _, w := range assignments {
			l.Progress(w.Attempt, 1, []uint64{1}, after(1)) // one token per second makes both stragglers
		}
		hedges := l.Assign(after(1), []step.Engine{freeEngine("e1", 1, 4), freeEngine("e2", 1, 4)})
		Expect(hedges).To(HaveLen(1)) // the budget is half of 200 tokens
		Expect(hedges[0].Hedge).To(BeTrue())
		Expect(hedges[0].Engine).To(Equal("e2"))
		Expect(l.Complete(hedges[0].Attempt, finished("h", 100, 1), after(2))).To(Equal(step.Won))
		loser := assignments[hedges[0].Index].Attempt
		Expect(l.DrainCancels()).To(ConsistOf(loser))
		Expect(l.Complete(loser, finished("l", 100, 1), after(2))).To(Equal(step.Lost))
	})

	It("leaves a slow engine idle unless there is no other", func() {
		history := &step.History{}
		for range 9 {
			history.AddSpeedRatio("fast", 1, start)
		}
		history.AddSpeedRatio("slow", 0.3, start)
		Expect(ledger(plan(1, 2), step.Policy{}, history).Assign(start, []step.Engine{freeEngine("fast", 1, 1), freeEngine("slow", 1, 1)})).To(HaveLen(1))
		Expect(ledger(plan(1, 1), step.Policy{}, history).Assign(start, []step.Engine{freeEngine("slow", 1, 1)})).To(HaveLen(1))
		Expect(ledger(plan(1, 2), step.Policy{}, history).Assign(after(601), []step.Engine{freeEngine("fast", 1, 1), freeEngine("slow", 1, 1)})).To(HaveLen(2))
	})

	It("hedges no attempt during its warm-up", func() {
		history := &step.History{}
		history.AddLength("", 100)
		l := ledger(plan(1, 1), step.Policy{HedgeShare: 9}, history)
		assignments := l.Assign(start, []step.Engine{freeEngine("e1", 1, 1)})
		l.Progress(assignments[0].Attempt, 1, []uint64{1}, after(5))
		Expect(l.Assign(after(5), []step.Engine{freeEngine("e2", 1, 1)})).To(BeEmpty())
		l.Progress(assignments[0].Attempt, 2, []uint64{1}, after(30))
		Expect(l.Assign(after(30), []step.Engine{freeEngine("e2", 1, 1)})).To(HaveLen(1))
	})

	It("resumes the text that a reclaimed engine exported, with its versions", func() {
		l := ledger(plan(1, 1), step.Policy{}, nil)
		assignments := l.Assign(start, []step.Engine{freeEngine("spot", 4, 1)})
		l.Interrupted(assignments[0].Attempt, engine.Resume{Text: "ab", Tokens: 2, Versions: []uint64{4}})
		again := l.Assign(after(1), []step.Engine{freeEngine("e", 5, 1)})
		Expect(again[0].Request.Resume.Versions).To(Equal([]uint64{4}))
		l.ObserveVersion(6) // the versions of the resumed text count before the first event
		Expect(l.DrainCancels()).To(ConsistOf(again[0].Attempt))
	})

	// Guards against resuming text of a reclaimed engine that is near the staleness bound:
	// a release then makes it stale shortly before the sample is finished.
	DescribeTable("resumes text of the oldest fresh version only if that is expected to finish sooner", func(reached, tokens, version int, resumes bool) {
		history := &step.History{}
		for range 50 {
			history.AddLength("", 10_000)
		}
		p := plan(1, 1)
		p.Groups[0].MaxTokens = 40_000
		l := ledger(p, step.Policy{ReleasePeriod: 5 * time.Minute}, history)
		assignments := l.Assign(start, []step.Engine{freeEngine("spot", 4, 1)})
		l.ObserveVersion(5)
		l.Progress(assignments[0].Attempt, reached, []uint64{uint64(version)}, start)
		l.Interrupted(assignments[0].Attempt, engine.Resume{Text: "ab", Tokens: tokens, Versions: []uint64{uint64(version)}})
		again := l.Assign(after(1), []step.Engine{freeEngine("e", 5, 1)})
		Expect(again).To(HaveLen(1))
		Expect(again[0].Request.Resume != nil).To(Equal(resumes))
	},
		Entry("near the expected end", 9000, 9000, 4, true),
		Entry("far from the expected end", 1000, 1000, 4, false),
		Entry("near the expected end of a sample that is known to be longer", 30_000, 9000, 4, false),
		Entry("far from the expected end, of the newest version", 1000, 1000, 5, true),
	)

	It("waits as long as the engine asks after a rejected request", func() {
		l := ledger(plan(1, 1), step.Policy{}, nil)
		assignments := l.Assign(start, []step.Engine{freeEngine("e", 1, 1)})
		l.Fail(assignments[0].Attempt, &engine.RefusedError{Code: "busy", RetryAfter: 3 * time.Second}, start)
		Expect(l.Assign(after(2), []step.Engine{freeEngine("e", 1, 1)})).To(BeEmpty())
		Expect(l.Assign(after(3), []step.Engine{freeEngine("e", 1, 1)})).To(HaveLen(1))
		Expect(l.Status().Stats.Failures).To(BeZero())
	})

	It("keeps an interval between commits, except before the one that completes the step", func() {
		l := ledger(plan(1, 3), step.Policy{CommitInterval: 10 * time.Second}, nil)
		assignments := l.Assign(start, []step.Engine{freeEngine("e", 1, 3)})
		l.Complete(assignments[0].Attempt, finished("a", 1, 1), start)
		first := pullChunk(l, step.Request{}, start)
		l.Complete(assignments[1].Attempt, finished("b", 1, 1), after(1))
		decision, err := l.Pull(step.Request{Cursor: first.Cursor}, after(1))
		Expect(err).NotTo(HaveOccurred())
		Expect(decision).To(Equal(step.PullDecision{Wait: 9 * time.Second}))
		l.Complete(assignments[2].Attempt, finished("c", 1, 1), after(2))
		Expect(pullChunk(l, step.Request{Cursor: first.Cursor}, after(2)).AllDelivered).To(BeTrue())
	})

	It("rejects a cursor that was never committed", func() {
		_, err := ledger(plan(1, 1), step.Policy{}, nil).Pull(step.Request{Cursor: 9}, start)
		var unknown *step.UnknownCursorError
		Expect(errors.As(err, &unknown)).To(BeTrue())
	})
})
