package reclaim_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/platform/supply"
	"github.com/hyssopwall/hyssopwall/internal/rollout/reclaim"
	"github.com/hyssopwall/hyssopwall/internal/standin/cases"
)

func TestReclaim(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Reclaim Suite")
}

// script is a file of testdata/capacity: successive demands and the planned capacity after
// each. Times are in seconds. Spot and Demand are prices, Fixed is the number of servers
// for work that is not idempotent, and Running that of working on-demand servers.
type script struct {
	Rate  float64
	Slots int
	Turns []struct {
		At       float64
		Steady   float64
		Fixed    int
		Tokens   float64
		Samples  int
		Deadline float64
		Zones    []struct {
			Name         string
			Spot, Demand float64
			SpotRunning  int
			Running      int
			Reclaimed    float64
		}
		Want map[string][2]int // zone to on-demand and spot
	}
}

var epoch = time.Unix(1_800_000_000, 0)

func at(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }

var _ = Describe("the planned capacity", func() {
	all, err := cases.Load[script]("testdata/capacity/*.hujson")
	if err != nil {
		panic(err)
	}
	for _, c := range all {
		It(c.Name, func() {
			var planner reclaim.Planner
			for i, turn := range c.Data.Turns {
				demand := reclaim.Demand{SteadyRate: turn.Steady, OnDemandServers: turn.Fixed, ServerRate: c.Data.Rate, ServerSlots: c.Data.Slots}
				if turn.Tokens > 0 {
					demand.Steps = []reclaim.Step{{Tokens: turn.Tokens, Samples: turn.Samples, Deadline: at(turn.Deadline)}}
				}
				var zones []reclaim.Zone
				for _, z := range turn.Zones {
					zone := reclaim.Zone{Name: z.Name, SpotPrice: z.Spot, OnDemandPrice: z.Demand, SpotRunning: z.SpotRunning, OnDemandRunning: z.Running}
					if z.Reclaimed != 0 {
						zone.LastReclaim = at(z.Reclaimed)
					}
					zones = append(zones, zone)
				}
				got := map[string][2]int{}
				for _, want := range planner.Plan(at(turn.At), demand, zones) {
					counts := got[want.Zone]
					if want.Class == supply.Spot {
						counts[1] = want.Count
					} else {
						counts[0] = want.Count
					}
					got[want.Zone] = counts
				}
				Expect(got).To(Equal(turn.Want), "turn %d", i)
			}
		})
	}
})

var _ = Describe("a reclaim notice", func() {
	It("is reported once, and again only after the server was absent from a list", func() {
		var tracker reclaim.NoticeTracker
		leaving := []supply.Server{{Name: "s1", Zone: "a", Leaving: true, NoticeEnd: at(5)}, {Name: "s2", Zone: "a"}}
		Expect(tracker.Update(leaving)).To(Equal([]reclaim.Notice{{Server: "s1", Zone: "a", Until: at(5)}}))
		Expect(tracker.Update(leaving)).To(BeEmpty())
		Expect(tracker.Update(nil)).To(BeEmpty())
		Expect(tracker.Update(leaving)).To(HaveLen(1))
	})

	It("lets short streams finish, exports as many others as time allows and restarts the rest", func() {
		streams := []reclaim.Stream{
			{ID: "short", Tokens: 900, Remaining: time.Second, Idempotent: true},
			{ID: "long", Tokens: 1000, Remaining: time.Minute, Idempotent: true},
			{ID: "longer", Tokens: 2000, Remaining: time.Minute, Idempotent: true},
			{ID: "new", Remaining: time.Minute, Idempotent: true},
			{ID: "once", Tokens: 10, Remaining: time.Minute},
		}
		planner := reclaim.StreamPlanner{MaxExports: 1, ExportTime: time.Second, ExportTimePerToken: time.Microsecond}
		Expect(planner.Plan(at(0), at(2), streams)).To(ConsistOf(
			reclaim.Action{ID: "longer", Disposition: reclaim.Export},
			reclaim.Action{ID: "long", Disposition: reclaim.Restart},
			reclaim.Action{ID: "short", Disposition: reclaim.Finish},
			reclaim.Action{ID: "new", Disposition: reclaim.Restart},
			reclaim.Action{ID: "once", Disposition: reclaim.Finish},
		))
	})

	It("cannot affect work that is not idempotent", func() {
		Expect(reclaim.MayRun(supply.Spot, false)).To(BeFalse())
		Expect(reclaim.MayRun(supply.OnDemand, false)).To(BeTrue())
		Expect(reclaim.MayRun(supply.Spot, true)).To(BeTrue())
	})
})
