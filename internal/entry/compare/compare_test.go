package compare_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/entry/compare"
)

func TestCompare(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Compare Suite")
}

// fairBound is the smallest fraction of its fair share that the worst-served
// workspace may get under a flood.
const fairBound = 0.90

// smallSite is the largest number of engines of a site that short tests run.
// They run it for shortSeconds.
const (
	smallSite    = 20
	shortSeconds = 300
)

var _ = Describe("a flood", func() {
	for _, site := range compare.Sites() {
		It("leaves the worst-served workspace within the bound: "+site.Name, func() {
			if testing.Short() && site.Engines > smallSite {
				Skip("a large site takes too long here")
			}
			fractions := []float64{0.2, 0.08}
			if testing.Short() {
				site.Seconds, fractions = shortSeconds, fractions[:1]
			}
			for _, fraction := range fractions {
				got := compare.Run(site, compare.Flood(fraction), compare.ProductPolicy(), 1)
				Expect(got.LeastFairShare).To(BeNumerically(">=", fairBound), "others offer %.2f of the capacity each", fraction)
			}
		})
	}

	It("breaks the bound without a fair queue", func() {
		site := compare.Sites()[0]
		site.Seconds = 100
		for _, policy := range compare.Baselines()[:3] {
			got := compare.Run(site, compare.Flood(0.2), policy, 1)
			Expect(got.LeastFairShare).To(BeNumerically("<", fairBound), policy.Name)
		}
	})

	It("gives the same result for the same seed", func() {
		site := compare.Sites()[1]
		site.Seconds = 60
		first := compare.Run(site, compare.Faults(), compare.ProductPolicy(), 7)
		Expect(compare.Run(site, compare.Faults(), compare.ProductPolicy(), 7)).To(Equal(first))
	})
})

// BenchmarkCompare measures every load under every policy, for the table of the
// measurements page. Run it with -benchtime 1x.
func BenchmarkCompare(b *testing.B) {
	loads := []compare.Load{
		compare.Flood(0.08), compare.Flood(0.2), compare.Even("1x", 1), compare.Even("2x", 2),
		compare.Even("3x", 3), compare.Faults(), compare.Outage(),
	}
	loads[0].Name, loads[1].Name = "flood-below-share", "flood-above-share"
	for _, site := range compare.Sites() {
		for _, load := range loads {
			for _, policy := range append([]compare.Policy{compare.ProductPolicy()}, compare.Baselines()...) {
				b.Run(site.Name+"/"+load.Name+"/"+policy.Name, func(b *testing.B) {
					var got compare.Result
					for b.Loop() {
						got = compare.Run(site, load, policy, 1)
					}
					b.ReportMetric(got.LeastFairShare, "share")
					b.ReportMetric(got.P99.Seconds(), "p99-s")
					b.ReportMetric(got.Goodput, "goodput")
					b.ReportMetric(got.InTime, "in-time")
					b.ReportMetric(got.CacheHitRatio, "hits")
					b.ReportMetric(got.RetriesPerFailure, "retries/failure")
					b.ReportMetric(got.SendsPerRequest, "sends/request")
				})
			}
		}
	}
}

// BenchmarkSeeds measures how much the smallest share under a flood varies between
// seeds and with the length of a run. Run it with -benchtime 1x.
func BenchmarkSeeds(b *testing.B) {
	const seeds = 8
	for _, site := range compare.Sites() {
		if site.Engines > smallSite {
			continue
		}
		for _, seconds := range []int{150, 300, 900} {
			site.Seconds = seconds
			b.Run(fmt.Sprintf("%s/%ds", site.Name, seconds), func(b *testing.B) {
				least, most, below := 1.0, 0.0, 0
				for b.Loop() {
					for run := range 2 * seeds {
						fraction := []float64{0.08, 0.2}[run%2]
						share := compare.Run(site, compare.Flood(fraction), compare.ProductPolicy(), uint64(run/2+1)).LeastFairShare
						least, most = min(least, share), max(most, share)
						if share < fairBound {
							below++
						}
					}
				}
				b.ReportMetric(least, "least-share")
				b.ReportMetric(most, "most-share")
				b.ReportMetric(float64(below), "below-of-16")
			})
		}
	}
}
