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

func after(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

func ledger(p step.Plan, policy step.Policy, history *step.History) *step.Ledger {
	var sizes []int
	for _, group := range p.Groups {
		sizes = append(sizes, group.Size)
	}
	l, err := step.NewLedger(step.State{ID: p.ID, Model: p.Model, Bound: p.Bound, GroupSizes: sizes, Owner: "h", Epoch: 1}, p, policy, history)
	Expect(err).NotTo(HaveOccurred())
	return l
}

func finished(text string, tokens int, versions ...uint64) sample.Sample {
	return sample.Sample{Text: text, Tokens: tokens, Digest: sample.Digest(text), Versions: versions}
}

func on(name string, version uint64, free int) step.Engine {
	return step.Engine{Name: name, Version: version, FreeSlots: free, Speed: 100}
}

// pulled commits and returns the next chunk after a cursor.
func pulled(l *step.Ledger, r step.Request, now time.Time) *step.Chunk {
	answer, err := l.Pull(r, now)
	Expect(err).NotTo(HaveOccurred())
	if answer.Commit != nil {
		l.Committed(now)
		answer, err = l.Pull(r, now)
		Expect(err).NotTo(HaveOccurred())
	}
	return answer.Chunk
}

var _ = Describe("a ledger", func() {
	It("starts the groups expected longest first", func() {
		history := &step.History{}
		history.AddLength("short", 10)
		history.AddLength("long", 1000)
		p := plan(2, 2)
		p.Groups[0].Class, p.Groups[1].Class = "short", "long"
		work := ledger(p, step.Policy{}, history).Assign(start, []step.Engine{on("e", 1, 3)})
		Expect(work).To(HaveLen(3))
		Expect([]int{work[0].Group, work[1].Group, work[2].Group}).To(Equal([]int{1, 1, 0}))
	})

	It("keeps to a warm prefix unless that delays the sample", func() {
		p := plan(1, 2)
		p.Groups[0].PrefixHash = 7
		warm := step.Engine{Name: "warm", Version: 1, FreeSlots: 1, Speed: 100, CachedPrefixes: map[uint64]bool{7: true}}
		cold := step.Engine{Name: "cold", Version: 1, FreeSlots: 1, Speed: 100, PrefillTime: time.Second}
		work := ledger(p, step.Policy{}, nil).Assign(start, []step.Engine{cold, warm})
		Expect(work[0].Engine).To(Equal("warm"))
		warm.Wait = 2 * time.Second
		work = ledger(p, step.Policy{}, nil).Assign(start, []step.Engine{cold, warm})
		Expect(work[0].Engine).To(Equal("cold"))
	})

	It("prefers weights that leave the sample room to age, and never uses stale ones", func() {
		l := ledger(plan(1, 3), step.Policy{ReleasePeriod: time.Second}, nil)
		l.ObserveVersion(5)
		work := l.Assign(start, []step.Engine{on("stale", 3, 1), on("old", 4, 1), on("new", 6, 1)})
		Expect(work).To(HaveLen(2))
		Expect(work[0].Engine).To(Equal("new"))
		Expect(work[1].Engine).To(Equal("old"))
	})

	It("hands over no sample past the bound, and makes another", func() {
		l := ledger(plan(1, 1), step.Policy{}, nil)
		work := l.Assign(start, []step.Engine{on("e", 1, 1)})
		Expect(l.Complete(work[0].Attempt, finished("a", 9, 1), after(1))).To(Equal(step.Won))
		Expect(pulled(l, step.Request{Newest: 3}, after(2))).To(BeNil())
		work = l.Assign(after(2), []step.Engine{on("e", 3, 1)})
		Expect(work).To(HaveLen(1))
		Expect(l.Complete(work[0].Attempt, finished("b", 9, 3), after(3))).To(Equal(step.Won))
		Expect(pulled(l, step.Request{Newest: 4}, after(4)).Samples[0].Text).To(Equal("b"))
		Expect(l.Status().Stats.StaleTokens).To(Equal(9))
	})

	It("does not serve a committed chunk again once it is stale", func() {
		l := ledger(plan(1, 2), step.Policy{}, nil)
		for _, w := range l.Assign(start, []step.Engine{on("e", 1, 2)}) {
			l.Complete(w.Attempt, finished(w.Attempt, 1, uint64(1+w.Index)), after(1))
		}
		first := pulled(l, step.Request{Newest: 2}, after(2))
		Expect(first.Samples).To(HaveLen(2))
		again := pulled(l, step.Request{Newest: 3}, after(9))
		Expect(again.Cursor).NotTo(Equal(first.Cursor))
		Expect(again.Previous).To(Equal(first.Previous))
		Expect(again.Samples).To(HaveLen(1))
		Expect(again.Samples[0].Index).To(Equal(1))
	})

	It("cancels early what can't finish fresh", func() {
		l := ledger(plan(1, 1), step.Policy{}, nil)
		work := l.Assign(start, []step.Engine{on("e", 1, 1)})
		l.Progress(work[0].Attempt, 5, []uint64{1}, after(1))
		l.ObserveVersion(2)
		Expect(l.DrainCancels()).To(BeEmpty())
		l.ObserveVersion(3)
		Expect(l.DrainCancels()).To(ConsistOf(work[0].Attempt))
		Expect(l.Status().Stats.StaleTokens).To(Equal(5))
		Expect(l.Complete(work[0].Attempt, finished("a", 9, 1), after(2))).To(Equal(step.Lost))
	})

	It("refuses unlabelled and broken samples and tries elsewhere", func() {
		l := ledger(plan(1, 1), step.Policy{}, nil)
		engines := func() []step.Engine { return []step.Engine{on("e1", 1, 1), on("e2", 1, 1)} }
		work := l.Assign(start, engines())
		Expect(l.Complete(work[0].Attempt, finished("a", 9), after(1))).To(Equal(step.Unlabelled))
		Expect(l.Assign(after(1), engines())).To(BeEmpty())
		again := l.Assign(after(2), engines())
		Expect(again[0].Engine).NotTo(Equal(work[0].Engine))
		bad := finished("a", 9, 1)
		bad.Text = "b"
		Expect(l.Complete(again[0].Attempt, bad, after(3))).To(Equal(step.Corrupt))
	})

	It("hedges a straggler within the budget; the first sample wins once", func() {
		history := &step.History{}
		history.AddLength("", 100)
		l := ledger(plan(1, 2), step.Policy{HedgeShare: 0.5, StallTimeout: time.Minute, WarmUp: time.Second}, history)
		work := l.Assign(start, []step.Engine{on("e1", 1, 2)})
		for _, w := range work {
			l.Progress(w.Attempt, 1, []uint64{1}, after(1)) // one token a second: both straggle
		}
		hedges := l.Assign(after(1), []step.Engine{on("e1", 1, 4), on("e2", 1, 4)})
		Expect(hedges).To(HaveLen(1)) // the budget is half of 200 tokens
		Expect(hedges[0].Hedge).To(BeTrue())
		Expect(hedges[0].Engine).To(Equal("e2"))
		Expect(l.Complete(hedges[0].Attempt, finished("h", 100, 1), after(2))).To(Equal(step.Won))
		loser := work[hedges[0].Index].Attempt
		Expect(l.DrainCancels()).To(ConsistOf(loser))
		Expect(l.Complete(loser, finished("l", 100, 1), after(2))).To(Equal(step.Lost))
	})

	It("leaves a slow engine idle unless there is nothing else", func() {
		history := &step.History{}
		for range 9 {
			history.AddSpeedRatio("fast", 1, start)
		}
		history.AddSpeedRatio("slow", 0.3, start)
		Expect(ledger(plan(1, 2), step.Policy{}, history).Assign(start, []step.Engine{on("fast", 1, 1), on("slow", 1, 1)})).To(HaveLen(1))
		Expect(ledger(plan(1, 1), step.Policy{}, history).Assign(start, []step.Engine{on("slow", 1, 1)})).To(HaveLen(1))
		Expect(ledger(plan(1, 2), step.Policy{}, history).Assign(after(601), []step.Engine{on("fast", 1, 1), on("slow", 1, 1)})).To(HaveLen(2))
	})

	It("judges no attempt by its first moments", func() {
		history := &step.History{}
		history.AddLength("", 100)
		l := ledger(plan(1, 1), step.Policy{HedgeShare: 9}, history)
		work := l.Assign(start, []step.Engine{on("e1", 1, 1)})
		l.Progress(work[0].Attempt, 1, []uint64{1}, after(5))
		Expect(l.Assign(after(5), []step.Engine{on("e2", 1, 1)})).To(BeEmpty())
		l.Progress(work[0].Attempt, 2, []uint64{1}, after(30))
		Expect(l.Assign(after(30), []step.Engine{on("e2", 1, 1)})).To(HaveLen(1))
	})

	It("resumes what a reclaimed engine exported, with its versions", func() {
		l := ledger(plan(1, 1), step.Policy{}, nil)
		work := l.Assign(start, []step.Engine{on("spot", 4, 1)})
		l.Interrupted(work[0].Attempt, engine.Resume{Text: "ab", Tokens: 2, Versions: []uint64{4}})
		again := l.Assign(after(1), []step.Engine{on("e", 5, 1)})
		Expect(again[0].Request.Resume.Versions).To(Equal([]uint64{4}))
		l.ObserveVersion(6) // the versions of the resumed text count although no event has come yet
		Expect(l.DrainCancels()).To(ConsistOf(again[0].Attempt))
	})

	// Pattern: a reclaim near the bound; the text is lost seconds before its end.
	DescribeTable("resumes text under the oldest fresh version only if it ends sooner", func(reached, tokens, version int, resumes bool) {
		history := &step.History{}
		for range 50 {
			history.AddLength("", 10_000)
		}
		p := plan(1, 1)
		p.Groups[0].MaxTokens = 40_000
		l := ledger(p, step.Policy{ReleasePeriod: 5 * time.Minute}, history)
		work := l.Assign(start, []step.Engine{on("spot", 4, 1)})
		l.ObserveVersion(5)
		l.Progress(work[0].Attempt, reached, []uint64{uint64(version)}, start)
		l.Interrupted(work[0].Attempt, engine.Resume{Text: "ab", Tokens: tokens, Versions: []uint64{uint64(version)}})
		again := l.Assign(after(1), []step.Engine{on("e", 5, 1)})
		Expect(again).To(HaveLen(1))
		Expect(again[0].Request.Resume != nil).To(Equal(resumes))
	},
		Entry("near its end", 9000, 9000, 4, true),
		Entry("far from its end", 1000, 1000, 4, false),
		Entry("near the expected end of a sample that is known to be longer", 30_000, 9000, 4, false),
		Entry("far from its end, under the newest version", 1000, 1000, 5, true),
	)

	It("waits as long as an engine that refuses asks", func() {
		l := ledger(plan(1, 1), step.Policy{}, nil)
		work := l.Assign(start, []step.Engine{on("e", 1, 1)})
		l.Fail(work[0].Attempt, &engine.RefusedError{Code: "busy", After: 3 * time.Second}, start)
		Expect(l.Assign(after(2), []step.Engine{on("e", 1, 1)})).To(BeEmpty())
		Expect(l.Assign(after(3), []step.Engine{on("e", 1, 1)})).To(HaveLen(1))
		Expect(l.Status().Stats.Failures).To(BeZero())
	})

	It("spaces its commits, but for the one that ends the step", func() {
		l := ledger(plan(1, 3), step.Policy{CommitInterval: 10 * time.Second}, nil)
		work := l.Assign(start, []step.Engine{on("e", 1, 3)})
		l.Complete(work[0].Attempt, finished("a", 1, 1), start)
		first := pulled(l, step.Request{}, start)
		l.Complete(work[1].Attempt, finished("b", 1, 1), after(1))
		answer, err := l.Pull(step.Request{Cursor: first.Cursor}, after(1))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer).To(Equal(step.PullDecision{Wait: 9 * time.Second}))
		l.Complete(work[2].Attempt, finished("c", 1, 1), after(2))
		Expect(pulled(l, step.Request{Cursor: first.Cursor}, after(2)).AllDelivered).To(BeTrue())
	})

	It("refuses a cursor that was never committed", func() {
		_, err := ledger(plan(1, 1), step.Policy{}, nil).Pull(step.Request{Cursor: 9}, start)
		var unknown *step.UnknownCursorError
		Expect(errors.As(err, &unknown)).To(BeTrue())
	})
})
