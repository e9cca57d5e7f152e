package quota_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/entry/quota"
	"github.com/hyssopwall/hyssopwall/internal/standin/cases"
)

func TestQuota(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Quota Suite")
}

// script is one case: the limit and share of one key, and the calls on a limiter.
type script struct {
	Limit quota.Limit
	Share quota.Share
	Steps []struct {
		At     int          // milliseconds
		Take   int          // requests to acquire, after Done
		Tokens int          // expected tokens of each
		Done   int          // number of the oldest requests to finish
		Used   int          // tokens that each of them used
		Share  *quota.Share // new share, set first
		Want   int          // requests admitted
		Reason string       // of the last refusal
		After  int          // RetryAfter of the last refusal, milliseconds
		Note   string
	}
}

var _ = Describe("the limiter", func() {
	all, err := cases.Load[script]("testdata/*.hujson")
	It("has cases", func() { Expect(err).NotTo(HaveOccurred()) })
	for _, c := range all {
		It(c.Name, func() { run(c.Data) })
	}

	It("admits requests of a key without a limit", func() {
		var limiter quota.Limiter
		reservation, err := limiter.Acquire(time.Unix(0, 0), quota.Key{Workspace: "a"}, 1e9)
		Expect(err).NotTo(HaveOccurred())
		limiter.Finish(reservation, 5)
	})
})

// run performs the steps of a case and checks their results.
func run(c script) {
	var limiter quota.Limiter
	key := quota.Key{Workspace: "a", Route: "r"}
	limits := map[quota.Key]quota.Limit{key: c.Limit}
	share := func(quota.Key, quota.Limit) quota.Share { return c.Share }
	limiter.SetLimits(limits, share)
	var open []quota.Reservation
	for i, s := range c.Steps {
		now := time.UnixMilli(int64(s.At))
		if s.Share != nil {
			limiter.SetShare(key, *s.Share)
		}
		for range s.Done {
			limiter.Finish(open[0], s.Used)
			open = open[1:]
		}
		admitted, last := 0, &quota.RefusedError{}
		for range s.Take {
			reservation, err := limiter.Acquire(now, key, s.Tokens)
			if err != nil {
				Expect(errors.As(err, &last)).To(BeTrue())
				continue
			}
			admitted++
			open = append(open, reservation)
		}
		Expect(admitted).To(Equal(s.Want), "step %d: %s", i, s.Note)
		Expect(last.Reason).To(Equal(s.Reason), "step %d: %s", i, s.Note)
		Expect(last.RetryAfter.Milliseconds()).To(BeEquivalentTo(s.After), "step %d: %s", i, s.Note)
		limiter.SetLimits(limits, share) // a new document with the same limit changes nothing
	}
}

// site simulates hosts that exchange their demand with a delay.
type site struct {
	zones  []string
	hosts  map[string][]string        // by zone
	demand map[string][]float64       // by host, for each second
	split  map[string]*quota.Splitter // by host
	limit  quota.Limit
	cut    string // availability zone that is cut off from the others, or ""
	cutAt  int    // second from which on it is
}

// report returns the demand that a host reported at a second.
func (s *site) report(host string, at int) float64 {
	series := s.demand[host]
	return series[min(max(0, at), len(series)-1)]
}

// lastReport returns the second of the last report of other that has reached zone.
func (s *site) lastReport(zone, other string, at, delay int) int {
	if zone != other && s.cut != "" && (zone == s.cut || other == s.cut) && at-delay > s.cutAt {
		return s.cutAt
	}
	return at - delay
}

// sums divides the limit on every host at a second and returns the sums of the
// shares. Reports take up to two seconds, with a random delay for each pair of
// hosts. Unless settled is set, each host forgets its earlier divisions.
func (s *site) sums(rng *rand.Rand, at int, settled bool) (fraction float64, slots int) {
	now := time.Unix(int64(at), 0)
	for _, zone := range s.zones {
		for _, host := range s.hosts[zone] {
			var zones, hosts []quota.DemandReport
			for _, other := range s.zones {
				lastReport := s.lastReport(zone, other, at, rng.IntN(3))
				sum := 0.0
				for _, h := range s.hosts[other] {
					sum += s.report(h, lastReport)
				}
				zones = append(zones, quota.DemandReport{Name: other, Demand: sum, At: time.Unix(int64(lastReport), 0)})
			}
			for _, other := range s.hosts[zone] {
				lastReport := at - rng.IntN(3)
				hosts = append(hosts, quota.DemandReport{Name: other, Demand: s.report(other, lastReport), At: time.Unix(int64(lastReport), 0)})
			}
			if !settled {
				s.split[host] = &quota.Splitter{}
			}
			share := s.split[host].Divide(now, s.limit, zone, host, zones, hosts)
			fraction += share.Fraction
			slots += share.Slots
		}
	}
	return fraction, slots
}

// newSite draws random zones, hosts and a demand that changes by steps. The meter of a
// Limiter smooths it over ten seconds before it is reported.
func newSite(rng *rand.Rand, seconds int) *site {
	s := &site{hosts: map[string][]string{}, demand: map[string][]float64{}, split: map[string]*quota.Splitter{}}
	s.limit.Concurrency = 20 + rng.IntN(400)
	for z := range 2 + rng.IntN(3) {
		zone := fmt.Sprint("z", z)
		s.zones = append(s.zones, zone)
		for h := range 1 + rng.IntN(3) {
			host := fmt.Sprint(zone, "h", h)
			s.hosts[zone] = append(s.hosts[zone], host)
			s.split[host] = &quota.Splitter{}
			level, target := 0.0, 0.0
			for range seconds {
				if rng.IntN(10) == 0 {
					target = rng.Float64() * 1000
				}
				level += (target - level) * 0.095 // one second of a ten-second meter
				s.demand[host] = append(s.demand[host], level)
			}
		}
	}
	return s
}

// worst returns the largest sums of shares of many random sites, as fractions of the
// limit. Every second site has one availability zone cut off.
func worst(settled bool) (fraction, slots float64) {
	const seconds = 60
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := newSite(rng, seconds)
		if seed%2 == 1 {
			s.cut, s.cutAt = s.zones[0], 10+rng.IntN(20)
		}
		for at := range seconds {
			f, n := s.sums(rng, at, settled)
			fraction = max(fraction, f)
			slots = max(slots, float64(n)/float64(s.limit.Concurrency))
		}
	}
	return fraction, slots
}

var _ = Describe("the split", func() {
	It("exceeds the limit by at most MaxOvershoot, also when a zone is cut off", func() {
		fraction, slots := worst(true)
		GinkgoWriter.Printf("largest sums of shares: fractions %.3f, slots %.3f\n", fraction, slots)
		Expect(fraction).To(BeNumerically("<=", 1+quota.MaxOvershoot))
		Expect(slots).To(BeNumerically("<=", 1+quota.MaxOvershoot))
	})

	It("exceeds the limit by more than MaxOvershoot without the history of earlier divisions", func() {
		fraction, _ := worst(false)
		Expect(fraction).To(BeNumerically(">", 1+quota.MaxOvershoot))
	})

	It("follows demand, and a zone that is cut off keeps its last share", func() {
		part := func(name string, demand float64, at int) quota.DemandReport {
			return quota.DemandReport{Name: name, Demand: demand, At: time.Unix(int64(at), 0)}
		}
		var s quota.Splitter
		limit := quota.Limit{Concurrency: 100}
		var share quota.Share
		for at := range 10 {
			share = s.Divide(time.Unix(int64(at), 0), limit, "a", "h", []quota.DemandReport{part("a", 90, at), part("b", 10, at)}, []quota.DemandReport{part("h", 1, at)})
		}
		Expect(share.Fraction).To(BeNumerically("~", 0.25+0.45, 0.001))
		Expect(share.Slots).To(Equal(70))
		for at := 10; at < 60; at++ {
			now, demand := time.Unix(int64(at), 0), 90.0
			if at >= 20 {
				demand = 0
			}
			share = s.Divide(now, limit, "a", "h", []quota.DemandReport{part("a", demand, at), part("b", 10, 9)}, []quota.DemandReport{part("h", 1, at)})
		}
		Expect(share.Fraction).To(BeNumerically("~", 0.70, 0.01))
	})
})
