package batch

import (
	"context"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
	"github.com/hyssopwall/hyssopwall/internal/standin/objects"
)

// storeBatch writes the objects of a batch: two parts of its body, its log and its record.
func storeBatch(store *objects.Store, id string, record Record, logObjects int) {
	put := func(key string, value []byte) {
		_, err := store.Put(context.Background(), key, value, 0)
		Expect(err).NotTo(HaveOccurred())
	}
	record.Parts, record.Body, record.Workspace = 2, "digest", "w"
	for part := range record.Parts {
		put(bodyKey(id, record.Body, part), []byte("{}"))
	}
	for chunk := range logObjects {
		put(logKey(id, chunk), []byte("[]"))
	}
	value, err := encode(record)
	Expect(err).NotTo(HaveOccurred())
	put(RecordPrefix+id, value)
}

// Guards against a store, and hosts, that are filled by the batches of days: nothing removed the
// objects of an ended batch. Guards also against the loss of a batch that can still be read.
var _ = Describe("the objects of an ended batch", func() {
	const retention = 2 * time.Minute
	var (
		store *objects.Store
		host  *Batches
		now   time.Time
	)
	BeforeEach(func() {
		store, now = &objects.Store{}, time.Now()
		host = &Batches{Host: "h", Store: store, Pages: store, Retention: retention, Log: event.Log{Sink: func(event.Entry, []any) {}}}
		old := now.Add(-retention - expiryMargin - removalMargin - time.Second).UnixMilli()
		storeBatch(store, "old", Record{Ended: true, Submitted: old}, 3)
		storeBatch(store, "open", Record{Submitted: old}, 3)
		storeBatch(store, "recent", Record{Ended: true, Submitted: now.Add(-retention).UnixMilli()}, 3)
	})
	always := func() bool { return true }

	It("are removed by a reading of all records, those of other batches stay", func(ctx SpecContext) {
		Expect(host.scan(ctx, always)).To(BeTrue())
		for _, key := range store.Keys("") {
			Expect(key).NotTo(ContainSubstring("old"))
		}
		Expect(store.Keys("")).To(HaveLen(2 * (2 + 3 + 1)))
	})

	It("are found again after each failure, and the record goes last", func(ctx SpecContext) {
		for failing := range 6 { // the number of the call that fails
			deletes := 0
			store.Before = func(op, _ string) objects.Fault {
				if op != "delete" {
					return objects.None
				}
				deletes++
				if deletes == failing+1 {
					return []objects.Fault{objects.Down, objects.Lost, objects.Dropped}[failing%3]
				}
				return objects.None
			}
			Expect(host.scan(ctx, always)).To(Equal(deletes <= failing), "a failure has to be repeated soon")
			store.Before = nil
			if len(store.Keys(BodyPrefix+"old"))+len(store.Keys(LogPrefix+"old")) > 0 {
				Expect(store.Keys(RecordPrefix + "old")).NotTo(BeEmpty())
			}
		}
		Expect(host.scan(ctx, always)).To(BeTrue())
		Expect(store.Keys("")).To(HaveLen(2 * (2 + 3 + 1)))
	})

	It("are removed although another batch can't be", func(ctx SpecContext) {
		storeBatch(store, "earlier", Record{Ended: true, Submitted: 1}, 1)
		store.Before = func(op, key string) objects.Fault {
			if op == "delete" && strings.Contains(key, "earlier") {
				return objects.Down
			}
			return objects.None
		}
		Expect(host.scan(ctx, always)).To(BeFalse())
		Expect(store.Keys(RecordPrefix)).To(ConsistOf(RecordPrefix+"earlier", RecordPrefix+"open", RecordPrefix+"recent"))
	})

	It("are not removed by a host that loses the duty", func(ctx SpecContext) {
		Expect(host.scan(ctx, func() bool { return false })).To(BeFalse())
		Expect(store.Keys("")).To(HaveLen(3 * (2 + 3 + 1)))
	})

	It("can't be read any more before they are removed, and not before the retention ends", func(ctx SpecContext) {
		_, err := host.find(ctx, "recent", "w")
		Expect(err).NotTo(HaveOccurred())
		_, err = host.find(ctx, "open", "w")
		Expect(err).NotTo(HaveOccurred())
		_, err = host.find(ctx, "old", "w")
		Expect(err).To(BeAssignableToTypeOf(&NotFoundError{}))
		Expect(host.expired(now)).To(HaveKey("old"))
		Expect(host.expired(now)).To(HaveLen(1))
	})

	It("leave the memory of hosts even if they can't be removed", func() {
		for i := range 1000 {
			host.applyRecord(fmt.Sprint(i), Record{Ended: true, Submitted: now.UnixMilli()}, 1)
		}
		host.applyRecord("open", Record{Submitted: now.UnixMilli()}, 1)
		later := now.Add(retention + expiryMargin + removalMargin + forgetMargin + time.Second)
		host.ForgetExpired(later)
		Expect(host.known).To(HaveLen(1))
		value, err := encode(Record{Ended: true, Submitted: now.UnixMilli()})
		Expect(err).NotTo(HaveOccurred())
		Expect(IsForgotten(value, later, retention)).To(BeTrue())
		Expect(IsForgotten(value, now, retention)).To(BeFalse())
		Expect(IsForgotten([]byte("{"), later, retention)).To(BeFalse())
	})

	It("stay without a retention", func(ctx SpecContext) {
		host.Retention = 0
		host.RemoveExpired(ctx, always)
		_, err := host.find(ctx, "old", "w")
		Expect(err).NotTo(HaveOccurred())
		Expect(host.expired(now)).To(BeEmpty())
	})
})

var _ Pages = (*objects.Store)(nil)

var _ object.Store = (*objects.Store)(nil)
