package worktime_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/backend/worktime"
)

func TestWorkTime(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Work time Suite")
}

var begin = time.Unix(1_800_000_000, 0)

var _ = Describe("a work time estimate", func() {
	// Noise makes the machine 2.5 times as slow for 0.6 s every 4 s; after 20 s it stays 3.5
	// times as slow for 10 s. Guards against a lasting value that follows noise, or that
	// doesn't follow a machine that turns slow or recovers.
	DescribeTable("tells noise from a machine that stays slow", func(add func(e *worktime.Estimate, now time.Time, factor float64)) {
		for seed := range uint64(30) {
			random := rand.New(rand.NewPCG(seed, 1))
			phase := time.Duration(random.Float64() * float64(4*time.Second))
			var e worktime.Estimate
			for at := time.Duration(0); at < 35*time.Second; at += 20*time.Millisecond + time.Duration(random.Float64()*float64(200*time.Millisecond)) {
				factor := 1.0
				if at >= 20*time.Second && at < 30*time.Second {
					factor = 3.5
				} else if (at+phase)%(4*time.Second) < 600*time.Millisecond {
					factor = 2.5
				}
				add(&e, begin.Add(at), factor)
				lasting, _, known := e.Lasting(begin.Add(at))
				Expect(known).To(BeTrue())
				switch {
				case at < 20*time.Second || at > 33500*time.Millisecond:
					Expect(lasting).To(BeNumerically("<", 1.5), "seed %d at %v", seed, at)
				case at > 23*time.Second && at < 30*time.Second:
					Expect(lasting).To(BeNumerically(">", 3), "seed %d at %v", seed, at)
				}
			}
		}
	},
		Entry("by figures", func(e *worktime.Estimate, now time.Time, factor float64) { e.AddFigure(now, int(100*factor)) }),
		Entry("by intervals", func(e *worktime.Estimate, now time.Time, factor float64) {
			e.AddInterval(now, time.Duration(factor*float64(50*time.Millisecond)), 1, 50*time.Millisecond)
		}),
	)

	// Guards against plain requests that avoid a machine for noise that has passed, or for a
	// single sample.
	It("has a newest figure for 300 ms, and forgets all samples after 10 s", func() {
		var e worktime.Estimate
		e.AddFigure(begin, 250)
		Expect(e.Now(begin.Add(300 * time.Millisecond))).To(Equal(2.5))
		Expect(e.Now(begin.Add(301 * time.Millisecond))).To(Equal(1.0))
		// One window of five events is several samples.
		e.AddInterval(begin.Add(2*time.Second), 250*time.Millisecond, 5, 100*time.Millisecond)
		lasting, age, known := e.Lasting(begin.Add(6 * time.Second))
		Expect(lasting).To(Equal(2.5))
		Expect(age).To(BeNumerically("~", 4*time.Second, 300*time.Millisecond))
		Expect(known).To(BeTrue())
		_, _, known = e.Lasting(begin.Add(13 * time.Second))
		Expect(known).To(BeFalse())
	})

	// Guards against intervals that count as slow because the service's events are far apart.
	It("learns the normal interval from machines whose figure is known", func() {
		var n worktime.Normal
		var e worktime.Estimate
		n.Add(begin, time.Second, &e) // of a machine without a figure
		for i := range 10 {
			_, known := n.Interval()
			Expect(known).To(Equal(i >= 5))
			e.AddFigure(begin, 100+i%2*100)
			n.Add(begin.Add(400*time.Millisecond), time.Duration(1+i%2)*80*time.Millisecond, &e)
		}
		interval, _ := n.Interval()
		Expect(interval).To(Equal(80 * time.Millisecond))
	})
})
