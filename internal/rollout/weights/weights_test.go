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

const turn = 100 * time.Millisecond

// fleet plays engines that load in a fixed time, under a virtual clock.
type fleet struct {
	now     time.Time
	engines []weights.Engine
	ends    map[int]time.Time
	targets map[int]uint64
	takes   time.Duration
	broken  map[string]int // loads that the engine will fail
	mute    bool           // loads are accepted and never end
	started []time.Time
	least   float64 // share of slots not loading, at its least
}

func newFleet(n, zones int, takes time.Duration) *fleet {
	f := &fleet{now: time.Unix(1_800_000_000, 0), takes: takes, ends: map[int]time.Time{}, targets: map[int]uint64{}, broken: map[string]int{}, least: 1}
	for i := range n {
		f.engines = append(f.engines, weights.Engine{Name: fmt.Sprintf("e%04d", i), Zone: fmt.Sprintf("z%d", i%zones), Version: 1, Boot: "0", Slots: 8})
	}
	return f
}

func (f *fleet) turn(p *weights.Planner, release weightstore.Release) {
	f.now = f.now.Add(turn)
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
		Expect(f.ends).NotTo(HaveKey(i), "an engine is ordered while it loads")
		if f.broken[l.Engine] > 0 {
			f.broken[l.Engine]--
			p.RecordFailure(l.Engine, f.now)
			continue
		}
		if f.mute {
			continue
		}
		f.ends[i], f.targets[i] = f.now.Add(f.takes), l.Version
	}
	f.least = min(f.least, 1-float64(len(f.ends))/float64(len(f.engines)))
}

// roll runs until every engine has the version, and returns how long it took.
func (f *fleet) roll(p *weights.Planner, release weightstore.Release, limit time.Duration) time.Duration {
	start := f.now
	for f.now.Sub(start) < limit {
		f.turn(p, release)
		if f.all(release.Version) {
			break
		}
	}
	return f.now.Sub(start)
}

func (f *fleet) all(version uint64) bool {
	for _, e := range f.engines {
		if e.Version != version {
			return false
		}
	}
	return true
}

// most returns the most loads started within any second.
func (f *fleet) most() int {
	most := 0
	for i := range f.started {
		n := 0
		for j := i; j < len(f.started) && f.started[j].Sub(f.started[i]) < time.Second; j++ {
			n++
		}
		most = max(most, n)
	}
	return most
}

var _ = Describe("a roll-out", func() {
	release := func(version, rate uint64) weightstore.Release {
		return weightstore.Release{Model: "m", Version: version, Rate: rate}
	}

	It("keeps the store's rate and the floor", func() {
		f := newFleet(40, 4, 2*time.Second)
		planner := &weights.Planner{Policy: weights.Policy{MinServingShare: 0.75}}
		f.roll(planner, release(2, 10), time.Minute)
		Expect(f.all(2)).To(BeTrue())
		Expect(f.most()).To(BeNumerically("<=", 12)) // a second's downloads and the burst of 0.2 s
		Expect(f.least).To(BeNumerically(">=", 0.75))
	})

	It("ends on a fleet too small for its floor", func() {
		f := newFleet(1, 1, time.Second)
		f.roll(&weights.Planner{}, release(2, 1), time.Minute)
		Expect(f.all(2)).To(BeTrue())
	})

	It("tries failed loads again, each later than the last", func() {
		f := newFleet(3, 1, time.Second)
		f.broken["e0001"] = 3
		planner := &weights.Planner{}
		took := f.roll(planner, release(2, 100), time.Minute)
		Expect(f.all(2)).To(BeTrue())
		Expect(planner.Stats().Failed).To(Equal(3))
		Expect(took).To(BeNumerically(">=", 7*time.Second)) // waits of 1, 2 and 4 s
	})

	It("orders an engine again that restarted while it loaded", func() {
		f := newFleet(2, 1, time.Second)
		planner := &weights.Planner{Policy: weights.Policy{MinServingShare: -1}}
		f.turn(planner, release(2, 100))
		f.turn(planner, release(2, 100))
		f.ends = map[int]time.Time{}
		f.engines[0].Boot, f.engines[1].Boot = "1", "1"
		f.roll(planner, release(2, 100), 10*time.Second)
		Expect(f.all(2)).To(BeTrue())
		Expect(planner.Stats().Restarted).To(BeNumerically(">=", 1))
		Expect(planner.Stats().Failed).To(BeZero())
	})

	It("goes to a newer release in mid-roll without a load wasted on the old one", func() {
		f := newFleet(20, 2, time.Second)
		planner := &weights.Planner{}
		for range 10 {
			f.turn(planner, release(2, 10))
		}
		before := planner.Stats().Started
		f.roll(planner, release(3, 10), time.Minute)
		Expect(f.all(3)).To(BeTrue())
		Expect(planner.Stats().Started).To(BeNumerically("<=", before+20))
	})

	It("starts without downloads in hand after its holder was replaced", func() {
		f := newFleet(20, 2, time.Second)
		f.turn(&weights.Planner{}, release(2, 10))
		f.turn(&weights.Planner{}, release(2, 10))
		Expect(f.started).To(BeEmpty())
	})

	It("never takes an order for a swap", func() {
		f := newFleet(1, 1, time.Second)
		f.mute = true
		planner := &weights.Planner{Policy: weights.Policy{LoadTimeout: time.Second}}
		f.roll(planner, release(2, 10), 5*time.Second)
		Expect(planner.Stats().Swapped).To(BeZero())
		Expect(planner.Stats().Failed).To(BeNumerically(">=", 1))
		Expect(f.engines[0].Version).To(Equal(uint64(1)))
	})

	// The least rate follows from the target: 3,800 engines within 11 s, the
	// last of which has to start its load of 2 s, and the release to be seen.
	It("reaches 3,800 engines in 14 zones within 11 s at 500 downloads a second", func() {
		f := newFleet(3800, 14, 2*time.Second)
		planner := &weights.Planner{}
		took := f.roll(planner, release(2, 500), time.Minute)
		Expect(f.all(2)).To(BeTrue())
		Expect(took).To(BeNumerically("<=", 11*time.Second))
		Expect(f.least).To(BeNumerically(">=", weights.DefaultMinServingShare))
	})

	It("reaches them in time as well when the engines of one zone are the busiest", func() {
		f := newFleet(3800, 14, 2*time.Second)
		for i := range f.engines {
			if f.engines[i].Zone == "z0" {
				f.engines[i].Running = 8
			}
		}
		Expect(f.roll(&weights.Planner{}, release(2, 500), time.Minute)).To(BeNumerically("<=", 11*time.Second))
	})
})
