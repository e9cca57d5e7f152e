package peer

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/standin/cases"
)

// outage is a time without the store, in milliseconds.
type outage struct {
	Name     string
	Silent   bool
	Watches  bool // the host watches the store itself
	From, To int
	Back     int
}

// callEvery is the time between two calls of a host whose followers all fail.
const callEvery = 100 * time.Millisecond

// returned plays an outage on a clock set by hand and returns how long after its
// end a try reached the store.
func returned(length time.Duration, silent, watches bool) time.Duration {
	health := StoreHealth{WatchesStore: func() bool { return watches }}
	now := time.Unix(1_800_000_000, 0)
	end := now.Add(length)
	health.lost(now, now, relayed{Op: opGet}, errors.New("no answer"))
	for ; ; now = now.Add(callEvery) {
		if !health.due(now) {
			continue
		}
		if now.After(end) {
			return now.Sub(end)
		}
		if silent {
			now = now.Add(probeTimeout)
		}
		health.settle(now, false)
	}
}

var _ = Describe("the tries of a store that is away", func() {
	all, err := cases.Load[[]outage]("testdata/outages.hujson")
	It("has cases", func() { Expect(err).NotTo(HaveOccurred()) })
	for _, c := range all {
		for _, o := range c.Data {
			// Guards against hosts that know an old configuration when they count as in
			// touch again: they tried the store too seldom.
			It("reach it soon after it is back: "+o.Name, func() {
				for length := o.From; length <= o.To; length += 100 {
					took := returned(time.Duration(length)*time.Millisecond, o.Silent, o.Watches)
					Expect(took).To(BeNumerically("<=", time.Duration(o.Back)*time.Millisecond), "an outage of %d ms", length)
				}
			})
		}
	}
})
