package weights_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/platform/weightstore"
	"github.com/hyssopwall/hyssopwall/internal/rollout/weights"
)

func TestWeights(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Weights Suite")
}

const planInterval = 100 * time.Millisecond

// fleet simulates engines whose loads take a fixed time, under a virtual clock.
type fleet struct {
	now        time.Time
	engines    []weights.Engine
	ends       map[int]time.Time // ends of the loads in progress, by index in engines
	targets    map[int]uint64    // versions of the loads in progress, by index in engines
	loadTime   time.Duration
	failures   map[string]int // number of loads that the engine will fail
	stuck      bool           // loads are accepted and never end
	started    []time.Time    // start times of all loads
	minServing float64        // lowest share of slots that were not loading
}

func newFleet(n, zones int, loadTime time.Duration) *fleet {
	f := &fleet{now: time.Unix(1_800_000_000, 0), loadTime: loadTime, ends: map[int]time.Time{}, targets: map[int]uint64{}, failures: map[string]int{}, minServing: 1}
	for i := range n {
		f.engines = append(f.engines, weights.Engine{Name: fmt.Sprintf("e%04d", i), Zone: fmt.Sprintf("z%d", i%zones), Version: 1, Boot: "0", Slots: 8})
	}
	return f
}

// step advances the clock by planInterval, ends the loads that are due and starts those
// that the planner orders.
func (f *fleet) step(p *weights.Planner, release weightstore.Release) {
	f.now = f.now.Add(planInterval)
	for i, end := range f.ends {
		if !f.now.Before(end) {
			f.engines[i].Version = f.targets[i]
			delete(f.ends, i)
		}
	}
	for _, l := range p.Plan(f.now, release, f.engines) {
		f.started = append(f.started, f.now)
		var i int
		_, err := fmt.Sscanf(l.Engine, "e%04d", &i)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.ends).NotTo(HaveKey(i), "an engine was ordered to load during a load")
		if f.failures[l.Engine] > 0 {
			f.failures[l.Engine]--
			p.RecordFailure(l.Engine, f.now)
			continue
		}
		if f.stuck {
			continue
		}
		f.ends[i], f.targets[i] = f.now.Add(f.loadTime), l.Version
	}
	f.minServing = min(f.minServing, 1-float64(len(f.ends))/float64(len(f.engines)))
}

// rollOut runs until every engine has the version or the limit has passed, and returns
// the time that it took.
func (f *fleet) rollOut(p *weights.Planner, release weightstore.Release, limit time.Duration) time.Duration {
	start := f.now
	for f.now.Sub(start) < limit {
		f.step(p, release)
		if f.allAt(release.Version) {
			break
		}
	}
	return f.now.Sub(start)
}

// allAt reports whether all engines have the version.
func (f *fleet) allAt(version uint64) bool {
	for _, e := range f.engines {
		if e.Version != version {
			return false
		}
	}
	return true
}

// maxStarts returns the highest number of loads started within one second.
func (f *fleet) maxStarts() int {
	highest := 0
	for i := range f.started {
		n := 0
		for j := i; j < len(f.started) && f.started[j].Sub(f.started[i]) < time.Second; j++ {
			n++
		}
		highest = max(highest, n)
	}
	return highest
}

var _ = Describe("a rollout", func() {
	release := func(version, rate uint64) weightstore.Release {
		return weightstore.Release{Model: "m", Version: version, MaxDownloadRate: rate}
	}

	It("keeps to the store's download rate and the minimum serving share", func() {
		f := newFleet(40, 4, 2*time.Second)
		planner := &weights.Planner{Policy: weights.Policy{MinServingShare: 0.75}}
		f.rollOut(planner, release(2, 10), time.Minute)
		Expect(f.allAt(2)).To(BeTrue())
		Expect(f.maxStarts()).To(BeNumerically("<=", 12)) // downloads of one second and a burst of 0.2 s
		Expect(f.minServing).To(BeNumerically(">=", 0.75))
	})

	It("completes on a fleet too small for its minimum serving share", func() {
		f := newFleet(1, 1, time.Second)
		f.rollOut(&weights.Planner{}, release(2, 1), time.Minute)
		Expect(f.allAt(2)).To(BeTrue())
	})

	It("retries failed loads with a growing backoff", func() {
		f := newFleet(3, 1, time.Second)
		f.failures["e0001"] = 3
		planner := &weights.Planner{}
		took := f.rollOut(planner, release(2, 100), time.Minute)
		Expect(f.allAt(2)).To(BeTrue())
		Expect(planner.Stats().Failed).To(Equal(3))
		Expect(took).To(BeNumerically(">=", 7*time.Second)) // backoffs of 1, 2 and 4 s
	})

	It("retries the load of an engine that restarted during it", func() {
		f := newFleet(2, 1, time.Second)
		planner := &weights.Planner{Policy: weights.Policy{MinServingShare: -1}}
		f.step(planner, release(2, 100))
		f.step(planner, release(2, 100))
		f.ends = map[int]time.Time{}
		f.engines[0].Boot, f.engines[1].Boot = "1", "1"
		f.rollOut(planner, release(2, 100), 10*time.Second)
		Expect(f.allAt(2)).To(BeTrue())
		Expect(planner.Stats().Restarted).To(BeNumerically(">=", 1))
		Expect(planner.Stats().Failed).To(BeZero())
	})

	It("continues with a newer release during a rollout without further loads of the old one", func() {
		f := newFleet(20, 2, time.Second)
		planner := &weights.Planner{}
		for range 10 {
			f.step(planner, release(2, 10))
		}
		before := planner.Stats().Started
		f.rollOut(planner, release(3, 10), time.Minute)
		Expect(f.allAt(3)).To(BeTrue())
		Expect(planner.Stats().Started).To(BeNumerically("<=", before+20))
	})

	It("starts without download credit after the lease moved to another host", func() {
		f := newFleet(20, 2, time.Second)
		f.step(&weights.Planner{}, release(2, 10))
		f.step(&weights.Planner{}, release(2, 10))
		Expect(f.started).To(BeEmpty())
	})

	It("does not count an accepted order as a completed load", func() {
		f := newFleet(1, 1, time.Second)
		f.stuck = true
		planner := &weights.Planner{Policy: weights.Policy{LoadTimeout: time.Second}}
		f.rollOut(planner, release(2, 10), 5*time.Second)
		Expect(planner.Stats().Completed).To(BeZero())
		Expect(planner.Stats().Failed).To(BeNumerically(">=", 1))
		Expect(f.engines[0].Version).To(Equal(uint64(1)))
	})

	// The target of 3,800 engines within 11 s gives the lowest sufficient rate: the last
	// load takes 2 s, and the release has to be noticed first.
	It("updates 3,800 engines in 14 zones within 11 s at 500 downloads a second", func() {
		f := newFleet(3800, 14, 2*time.Second)
		planner := &weights.Planner{}
		took := f.rollOut(planner, release(2, 500), time.Minute)
		Expect(f.allAt(2)).To(BeTrue())
		Expect(took).To(BeNumerically("<=", 11*time.Second))
		Expect(f.minServing).To(BeNumerically(">=", weights.DefaultMinServingShare))
	})

	It("updates them in the same time if the engines of one zone are the busiest", func() {
		f := newFleet(3800, 14, 2*time.Second)
		for i := range f.engines {
			if f.engines[i].Zone == "z0" {
				f.engines[i].Running = 8
			}
		}
		Expect(f.rollOut(&weights.Planner{}, release(2, 500), time.Minute)).To(BeNumerically("<=", 11*time.Second))
	})
})
