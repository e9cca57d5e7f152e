package batch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// A trainer submits its second batch one second after the first. Guards against a lagging
// trainer that waits for its due time, and against moves without use for one in time.
var _ = DescribeTable("the trainer of a batch lags", func(age, due time.Duration, listed string, ended bool, route string, want bool) {
	b := &Batches{Host: "h", Log: event.Log{Sink: func(event.Entry, []any) {}}}
	b.initMaps()
	first := Batch{ID: "first", Workspace: "w", Route: "r", Due: due, DesiredGroups: 1, Items: []Item{{ID: "a1", Group: "a"}, {ID: "b1", Group: "b"}}}
	record := Record{Workspace: "w", Route: "r", Submitted: time.Now().Add(-age).UnixMilli()}
	b.applyRecord("first", record, 1)
	w := newWorker(b, first, record, process{}, nil, 0)
	w.cancel = func() {}
	b.workers["first"] = w
	if listed != "" {
		w.publish(0, []Result{{ID: listed}})
	}
	if ended {
		record.Ended = true
		b.applyRecord("first", record, 2)
	}
	later := Record{Workspace: "w", Route: route, Submitted: record.Submitted + 1000}
	Expect(b.trainerLags(Batch{ID: "second", Workspace: "w", Route: route}, later)).To(Equal(want))
},
	Entry("while it waits for an earlier batch that is nearly due", 6*time.Second, 7*time.Second, "", false, "r", true),
	Entry("while it waits for an earlier batch that is overdue", 9*time.Second, 7*time.Second, "", false, "r", true),
	Entry("not while an earlier batch has time left", 2*time.Second, 7*time.Second, "", false, "r", false),
	Entry("not if it has the groups that it wants", time.Second, 7*time.Second, "a1", false, "r", false),
	Entry("not if it ended the earlier batch in time", time.Second, 7*time.Second, "", true, "r", false),
	Entry("if it got the earlier batch late", 9*time.Second, 7*time.Second, "a1", false, "r", true),
	Entry("also once that batch has ended", 9*time.Second, 7*time.Second, "a1", true, "r", true),
	Entry("not for the batch of another route", 9*time.Second, 7*time.Second, "", false, "other", false),
	Entry("not if the earlier batch had no due time", 9*time.Second, time.Duration(0), "a1", true, "r", false),
)

// Guards against an estimate in tokens that is compared with a number of events: an event
// holds several tokens.
var _ = Describe("the expected length of a text", func() {
	It("is in events, and unknown before enough texts are complete", func() {
		b := &Batches{}
		for n := range minRatioTexts {
			Expect(b.expectedEvents("s", Item{Length: 8000})).To(BeZero(), "after %d texts", n)
			b.learnLength("s", Item{Length: 400 * (n + 1)}, 8*(n+1))
		}
		Expect(b.expectedEvents("s", Item{Length: 8000})).To(BeNumerically("~", 160, 0.1))
	})
})
