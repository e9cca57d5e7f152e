package tally_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/billing/tally"
)

// hands are clocks set by hand: the true time since the start, and by how much the
// time of day is off.
type hands struct {
	passed time.Duration
	off    time.Duration
}

func (h *hands) Now() time.Duration { return h.passed }
func (h *hands) wall() time.Time    { return time.Unix(1_800_000_000, 0).Add(h.passed + h.off) }

// Pattern: the time of day jumps by seconds on some hosts, forward or back, in the
// middle of a window or at its seal, and jumps back again.
var _ = DescribeTable("requests are counted in the window of the true time over a jump", func(off, at, length time.Duration) {
	const window = 5 * time.Second
	h := &hands{}
	clock := &tally.Clock{Wall: h.wall, Monotonic: h}
	counts := &tally.Tally{WindowLength: window}
	first := counts.WindowAt(clock.Now())
	for ; h.passed < 4*window; h.passed += 100 * time.Millisecond {
		h.off = 0
		if h.passed >= at && h.passed < at+length {
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

var _ = Describe("the time of day", func() {
	It("is followed when it is adjusted slowly, and corrected when a jump lasts", func() {
		h := &hands{}
		clock := &tally.Clock{Wall: h.wall, Monotonic: h}
		clock.Now()
		for range 1000 {
			h.passed += time.Second
			h.off += 5 * time.Millisecond
			Expect(clock.Now()).To(Equal(h.wall()))
		}
		h.off += 3 * time.Second
		clock.Now()
		h.passed += 59 * time.Second
		Expect(clock.Now()).NotTo(Equal(h.wall()))
		h.passed += time.Second
		Expect(clock.Now()).To(Equal(h.wall()))
	})
})
