package tally_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/billing/tally"
)

// manualClocks is a monotonic clock, which shows the true time, and a wall clock that
// is off by a settable amount.
type manualClocks struct {
	elapsed time.Duration
	off     time.Duration
}

func (h *manualClocks) Now() time.Duration { return h.elapsed }
func (h *manualClocks) wall() time.Time    { return time.Unix(1_800_000_000, 0).Add(h.elapsed + h.off) }

// The wall clock of some hosts jumps by seconds, forward or back, in the middle of a
// window or when it is sealed, and jumps back again. Requests must not move to another
// window.
var _ = DescribeTable("requests are counted in the window of the true time despite a jump", func(off, at, length time.Duration) {
	const window = 5 * time.Second
	h := &manualClocks{}
	clock := &tally.Clock{Wall: h.wall, Monotonic: h}
	counts := &tally.Tally{WindowLength: window}
	first := counts.WindowAt(clock.Now())
	for ; h.elapsed < 4*window; h.elapsed += 100 * time.Millisecond {
		h.off = 0
		if h.elapsed >= at && h.elapsed < at+length {
			h.off = off
		}
		counts.Count(clock.Now(), "w")
	}
	for n := range int64(4) {
		Expect(counts.Counts(first+n)).To(Equal(tally.Counts{"w": 50}), "window %d", n)
	}
},
	Entry("forward, in a window", 2400*time.Millisecond, 7*time.Second, 6*time.Second),
	Entry("forward, at a seal", 2400*time.Millisecond, 9900*time.Millisecond, 6*time.Second),
	Entry("back, in a window", -2400*time.Millisecond, 7*time.Second, 6*time.Second),
	Entry("back, at a seal", -2400*time.Millisecond, 10100*time.Millisecond, 6*time.Second),
	Entry("forward, to the end", 7*time.Second, 7*time.Second, time.Minute),
)

var _ = Describe("the wall clock", func() {
	It("is followed when it is adjusted slowly, and corrected when a jump lasts", func() {
		h := &manualClocks{}
		clock := &tally.Clock{Wall: h.wall, Monotonic: h}
		clock.Now()
		for range 1000 {
			h.elapsed += time.Second
			h.off += 5 * time.Millisecond
			Expect(clock.Now()).To(Equal(h.wall()))
		}
		h.off += 3 * time.Second
		clock.Now()
		h.elapsed += 59 * time.Second
		Expect(clock.Now()).NotTo(Equal(h.wall()))
		h.elapsed += time.Second
		Expect(clock.Now()).To(Equal(h.wall()))
	})
})
