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

type script struct {
	Limit quota.Limit
	Share quota.Share
	Steps []struct {
		At     int // milliseconds
		Take   int // requests
		Tokens int
		Done   int // ends this many of the oldest
		Used   int
		Share  *quota.Share
		Want   int    // requests admitted
		Reason string // of the last refusal
		After  int    // milliseconds
		Note   string
	}
}

var _ = Describe("the book", func() {
	all, err := cases.Load[script]("testdata/*.hujson")
	It("has cases", func() { Expect(err).NotTo(HaveOccurred()) })
	for _, c := range all {
		It(c.Name, func() { run(c.Data) })
	}

	It("does not limit what has no limit", func() {
		var b quota.Limiter
		ticket, err := b.Acquire(time.Unix(0, 0), quota.Key{Workspace: "a"}, 1e9)
		Expect(err).NotTo(HaveOccurred())
		b.Finish(ticket, 5)
	})
})

func run(c script) {
	var b quota.Limiter
	key := quota.Key{Workspace: "a", Route: "r"}
	limits := map[quota.Key]quota.Limit{key: c.Limit}
	share := func(quota.Key, quota.Limit) quota.Share { return c.Share }
	b.SetLimits(limits, share)
	var open []quota.Reservation
	for i, s := range c.Steps {
		now := time.UnixMilli(int64(s.At))
		if s.Share != nil {
			b.SetShare(key, *s.Share)
		}
		for range s.Done {
			b.Finish(open[0], s.Used)
			open = open[1:]
		}
		passed, last := 0, &quota.RefusedError{}
		for range s.Take {
			ticket, err := b.Acquire(now, key, s.Tokens)
			if err != nil {
				Expect(errors.As(err, &last)).To(BeTrue())
				continue
			}
			passed++
			open = append(open, ticket)
		}
		Expect(passed).To(Equal(s.Want), "step %d: %s", i, s.Note)
		Expect(last.Reason).To(Equal(s.Reason), "step %d: %s", i, s.Note)
		Expect(last.RetryAfter.Milliseconds()).To(BeEquivalentTo(s.After), "step %d: %s", i, s.Note)
		b.SetLimits(limits, share) // a new document with the same limit changes nothing
	}
}

// site is a fleet whose hosts exchange demand with a delay.
type site struct {
	zones  []string
	hosts  map[string][]string // by zone
	demand map[string][]float64
	split  map[string]*quota.Splitter
	limit  quota.Limit
	cut    string // availability zone that hears and is heard by nobody
	cutAt  int
}

// report returns the demand that a host published at a second.
func (s *site) report(host string, at int) float64 {
	series := s.demand[host]
	return series[min(max(0, at), len(series)-1)]
}

// heard returns the second of the last report that reached zone from other.
func (s *site) heard(zone, other string, at, delay int) int {
	if zone != other && s.cut != "" && (zone == s.cut || other == s.cut) && at-delay > s.cutAt {
		return s.cutAt
	}
	return at - delay
}

// sums divides the limit on every host at a second. Reports take up to two
// seconds, and each host hears each other with a delay of its own.
func (s *site) sums(rng *rand.Rand, at int, settled bool) (fraction float64, slots int) {
	now := time.Unix(int64(at), 0)
	for _, zone := range s.zones {
		for _, host := range s.hosts[zone] {
			var zones, hosts []quota.DemandReport
			for _, other := range s.zones {
				heard := s.heard(zone, other, at, rng.IntN(3))
				sum := 0.0
				for _, h := range s.hosts[other] {
					sum += s.report(h, heard)
				}
				zones = append(zones, quota.DemandReport{Name: other, Demand: sum, At: time.Unix(int64(heard), 0)})
			}
			for _, other := range s.hosts[zone] {
				heard := at - rng.IntN(3)
				hosts = append(hosts, quota.DemandReport{Name: other, Demand: s.report(other, heard), At: time.Unix(int64(heard), 0)})
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

// newSite draws zones, hosts and a demand that jumps now and then; a Book's
// meter smooths it over ten seconds before it is reported.
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

// worst returns the largest sums of shares over many sites, as parts of the
// limit. Every other site has one availability zone cut off.
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
	It("never passes the limit by more than the slack, also through a cut", func() {
		fraction, slots := worst(true)
		GinkgoWriter.Printf("largest sums of shares: fractions %.3f, slots %.3f\n", fraction, slots)
		Expect(fraction).To(BeNumerically("<=", 1+quota.MaxOvershoot))
		Expect(slots).To(BeNumerically("<=", 1+quota.MaxOvershoot))
	})

	It("passes it without a memory of what it gave", func() {
		fraction, _ := worst(false)
		Expect(fraction).To(BeNumerically(">", 1+quota.MaxOvershoot))
	})

	It("follows demand, and a cut-off zone keeps its last share", func() {
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
