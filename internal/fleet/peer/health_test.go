package peer

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/standin/cases"
)

// outage is a time during which the store does not answer. From and To are the shortest
// and the longest length in milliseconds, Back is the longest time until a probe reaches
// the store again.
type outage struct {
	Name     string
	Silent   bool
	Watches  bool // whether the host watches the store itself
	From, To int
	Back     int
}

// callEvery is the time between two calls of a host whose watches all fail.
const callEvery = 100 * time.Millisecond

// recoveryTime simulates an outage and returns how long after its end a probe reached the
// store.
func recoveryTime(length time.Duration, silent, watches bool) time.Duration {
	health := StoreHealth{WatchesStore: func() bool { return watches }}
	now := time.Unix(1_800_000_000, 0)
	end := now.Add(length)
	health.recordFailure(now, now, relayCall{Op: opGet}, errors.New("no answer"))
	for ; ; now = now.Add(callEvery) {
		if !health.probeDue(now) {
			continue
		}
		if now.After(end) {
			return now.Sub(end)
		}
		if silent {
			now = now.Add(probeTimeout)
		}
		health.endProbe(now, false)
	}
}

var _ = Describe("the probes of an unreachable store", func() {
	all, err := cases.Load[[]outage]("testdata/outages.hujson")
	It("has cases", func() { Expect(err).NotTo(HaveOccurred()) })
	for _, c := range all {
		for _, o := range c.Data {
			// Guards against hosts that still have an old configuration at the time by which
			// they must have the current one, because they probed the store too seldom.
			It("reach it soon after its return: "+o.Name, func() {
				for length := o.From; length <= o.To; length += 100 {
					elapsed := recoveryTime(time.Duration(length)*time.Millisecond, o.Silent, o.Watches)
					Expect(elapsed).To(BeNumerically("<=", time.Duration(o.Back)*time.Millisecond), "an outage of %d ms", length)
				}
			})
		}
	}
})
