package scale_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/fleet/scale"
)

// The targets of one host and of the fleet.
const (
	maxBytes   = 5000 // a second, sent and received
	maxInForce = 11 * time.Second
	maxReads   = 2000 // platform calls a second
)

func TestScale(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Scale Suite")
}

// sizes are the fleets that are measured.
var sizes = []int{8, 32, 128, 390}

// plan is a fleet of the size with one packet in a hundred lost.
func plan(hosts int) scale.Plan {
	p := scale.Plan{
		Hosts: hosts, Zones: 14, Regions: 5, Loss: 0.01,
		Document: 32 << 10, Edit: 64, Changes: 19_000, Seed: 1,
	}
	switch {
	case hosts <= 8:
		p.Zones, p.Regions = 4, 1
	case hosts <= 32:
		p.Zones, p.Regions = 4, 2
	case hosts <= 128:
		p.Zones, p.Regions = 8, 3
	}
	return p
}

// tested are the sizes of a test run; the whole fleet takes too long for the
// race detector.
func tested() []int {
	if testing.Short() {
		return sizes[:2]
	}
	return []int{8, 390}
}

var _ = Describe("the control of a fleet", func() {
	for _, hosts := range sizes {
		It(fmt.Sprintf("costs each of %d hosts less than its share", hosts), func() {
			skip(hosts)
			figures := scale.Started(plan(hosts)).Steady(40 * time.Second)
			GinkgoWriter.Printf("%+v\n", figures)
			Expect(figures.MeanBytes).To(BeNumerically("<=", maxBytes))
			Expect(figures.WorstBytes).To(BeNumerically("<=", maxBytes))
			Expect(figures.WorstPlatformBytes).To(BeNumerically("<=", maxBytes))
			Expect(figures.PlatformCalls).To(BeNumerically("<=", maxReads/10))
		})
		It(fmt.Sprintf("puts a change in force on %d hosts in time", hosts), func() {
			skip(hosts)
			f := scale.Started(plan(hosts))
			longest, ok := f.Spread(3)
			Expect(ok).To(BeTrue())
			Expect(longest).To(BeNumerically("<=", maxInForce))

			By("one zone that can't reach the platform")
			f.CutOff = func(h *scale.Host) bool { return h.Zone == "zone-01" }
			longest, ok = f.Spread(3)
			Expect(ok).To(BeTrue())
			Expect(longest).To(BeNumerically("<=", maxInForce))

			By("one zone that can reach nobody, and returns")
			f.Cut = func(from, to *scale.Host) bool { return (from.Zone == "zone-01") != (to.Zone == "zone-01") }
			before := f.Hosts[1].Spread.Accepted.Version
			version := f.Submit()
			f.Run(maxInForce)
			for _, h := range f.Hosts {
				if h.Zone == "zone-01" {
					Expect(h.Spread.Accepted.Version).To(Equal(before), h.Name)
				} else {
					Expect(h.Spread.Accepted.Version).To(Equal(version), h.Name)
				}
			}
			f.Run(time.Minute)
			f.Cut, f.CutOff = nil, nil
			took, ok := f.RunUntil(maxInForce, func() bool { return f.InForce(version) })
			Expect(ok).To(BeTrue(), "after %s", took)
		})
		It(fmt.Sprintf("detects a crash among %d hosts, and no other", hosts), func() {
			skip(hosts)
			f := scale.Started(plan(hosts))
			Expect(f.FalseFailures(30 * time.Second)).To(BeZero())
			longest, ok := f.Detect(2)
			Expect(ok).To(BeTrue())
			Expect(longest).To(BeNumerically("<=", maxInForce))
		})
	}

	It("makes the platform calls grow more slowly than the hosts", func() {
		few := scale.Started(plan(32)).Steady(40 * time.Second)
		many := plan(32 * 4)
		many.Zones = plan(32).Zones // more hosts in the same zones
		more := scale.Started(many).Steady(40 * time.Second)
		Expect(more.PlatformCalls).To(BeNumerically("<", 2*few.PlatformCalls))
	})
})

func skip(hosts int) {
	for _, size := range tested() {
		if size == hosts {
			return
		}
	}
	Skip("measured by the benchmarks")
}

// BenchmarkControl prints the table of docs/CAPACITY.md, one line for each
// size. Processor time is that of decisions and codecs and of the network in
// memory; what QUIC adds for each packet is measured in package link.
func BenchmarkControl(b *testing.B) {
	for _, hosts := range sizes {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			heap := live()
			f := scale.Started(plan(hosts))
			memory := live() - heap
			seconds := 0.0
			var figures scale.Figures
			for b.Loop() {
				figures = f.Steady(20 * time.Second)
				seconds += 20
			}
			perSecond := b.Elapsed().Seconds() / seconds / float64(hosts)
			b.ReportMetric(perSecond*1e6, "µs/host-s")
			b.ReportMetric(float64(memory)/float64(hosts)/1024, "KiB/host")
			b.ReportMetric(figures.MeanBytes, "B/s/mean")
			b.ReportMetric(figures.WorstBytes, "B/s/worst")
			b.ReportMetric(figures.MeanMessages, "packets/s")
			b.ReportMetric(figures.PlatformCalls, "calls/s")
			b.ReportMetric(figures.WorstPlatformBytes, "platform-B/s/worst")
		})
	}
}

func live() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkFaults prints how long changes and failures take to be known.
func BenchmarkFaults(b *testing.B) {
	for _, hosts := range sizes {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			for b.Loop() {
				f := scale.Started(plan(hosts))
				inForce, _ := f.Spread(20)
				f.CutOff = func(h *scale.Host) bool { return h.Zone == "zone-01" }
				cut, _ := f.Spread(20)
				f.CutOff = nil
				detect, _ := f.Detect(10)
				const quiet = 2 * time.Minute
				wrong := f.FalseFailures(quiet)
				b.ReportMetric(inForce.Seconds(), "s/change")
				b.ReportMetric(cut.Seconds(), "s/change/cut")
				b.ReportMetric(detect.Seconds(), "s/detect")
				b.ReportMetric(float64(wrong), "false")
				b.ReportMetric(quiet.Hours()/24*float64(hosts), "host-days")
			}
		})
	}
}
