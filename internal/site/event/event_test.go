package event_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

func TestEvent(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Event Suite")
}

var _ = Describe("the catalog", func() {
	It("has each number once, in order, with no empty column", func() {
		last := event.Number(0)
		for _, entry := range event.Catalog() {
			Expect(entry.Number).To(BeNumerically(">", last))
			Expect(entry.Text).NotTo(BeEmpty())
			Expect(entry.Cause).NotTo(BeEmpty())
			Expect(entry.Action).NotTo(BeEmpty())
			last = entry.Number
		}
	})

	It("provides the entry of each logged event", func() {
		var got event.Entry
		log := event.Log{Sink: func(entry event.Entry, _ []any) { got = entry }}
		log.Emit(event.HostReady, "host", "h1")
		Expect(got.Number).To(Equal(event.HostReady))
	})

	// Guards against a catalog that is built for each logged event: it took half of the processor
	// time of a host that follows thousands of servers.
	It("is not built anew for each event", func() {
		log := event.Log{Sink: func(event.Entry, []any) {}}
		Expect(testing.AllocsPerRun(100, func() { log.Emit(event.HostReady) })).To(BeNumerically("<", 3))
	})
})
