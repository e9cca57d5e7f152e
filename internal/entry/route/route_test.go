package route_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/entry/route"
	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
	"github.com/hyssopwall/hyssopwall/internal/standin/cases"
)

func TestRoute(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Route Suite")
}

// report is an engine's report about itself. Lag is its age in milliseconds.
type report struct {
	Name           string
	Version        uint64
	Running, Slots int
	Boot           string
	Lag            int
}

// step is one call on the backend servers of a home and its expected result.
type step struct {
	At      int // milliseconds
	Reserve string
	Need    route.Need
	Want    string // server chosen, empty for none
	Cached  int    // prefixes expected in its cache

	Release string // request whose slot is freed
	On      string // server of Release, Cache and Alone
	Outcome route.Outcome

	Report *report
	Cache  []engine.CacheEvent
	Gap    bool   // whether Cache must show that events were lost
	Leave  string // server that starts to leave
	Hold   string // server that is closed to new work
	Unhold string // server that is opened again
	Alone  string // request that must be alone on On
	Note   string // printed on failure
}

// script is the content of one file of cases.
type script struct {
	Servers []route.Server
	Steps   []step
}

// play performs one step and checks its result.
func play(ss *route.Servers, s step) {
	now := time.UnixMilli(int64(s.At))
	switch {
	case s.Reserve != "":
		s.Need.ID, s.Need.Pool = s.Reserve, "m"
		choice, _ := ss.Reserve(now, s.Need)
		Expect(choice.Server).To(Equal(s.Want), s.Note)
		Expect(choice.CachedPrefixes).To(Equal(s.Cached), s.Note)
	case s.Release != "":
		ss.Release(now, s.On, s.Release, s.Outcome)
	case s.Report != nil:
		r := s.Report
		ss.ApplyState(now, engine.State{
			Name: r.Name, Version: r.Version, Running: r.Running, Slots: r.Slots, Boot: r.Boot,
			At: now.Add(-time.Duration(r.Lag) * time.Millisecond),
		})
	case s.Cache != nil:
		_, gap := ss.ApplyCacheEvents(s.On, s.Cache)
		Expect(gap).To(Equal(s.Gap), s.Note)
	case s.Alone != "":
		Expect(ss.IsAlone(now, s.On, s.Alone)).To(BeTrue(), s.Note)
	}
	if s.Leave != "" {
		ss.SetLeaving(s.Leave, true)
	}
	if s.Hold+s.Unhold != "" {
		ss.SetHeld(s.Hold+s.Unhold, s.Hold != "")
	}
}

var _ = Describe("the backend servers of a home", func() {
	all, err := cases.Load[script]("testdata/engines/*.hujson")
	It("has cases", func() { Expect(err).NotTo(HaveOccurred()) })
	for _, c := range all {
		It(c.Name, func() {
			var ss route.Servers
			for i := range c.Data.Servers {
				c.Data.Servers[i].Pool = "m"
			}
			ss.SetServers(c.Data.Servers)
			for i, s := range c.Data.Steps {
				s.Note = fmt.Sprintf("step %d: %s", i, s.Note)
				play(&ss, s)
			}
		})
	}
})

// homeCase gives the summaries of a pool's homes and how many picks each gets.
type homeCase struct {
	Homes  []route.Summary
	Waits  map[string]map[string]int // milliseconds by home and workspace
	Age    map[string]int            // milliseconds since a home's summary
	Prefix uint64
	Avoid  []string
	Picks  int
	Least  map[string]int // minimum of picks by home
	Most   map[string]int // maximum of picks by home
	Spill  *struct {
		Own   string
		Hops  map[string]int // cost in milliseconds by zone, whose totals are in Homes
		Wants string         // zone, empty to stay
	}
	Note string
}

var _ = Describe("the choice of a home", func() {
	now := time.UnixMilli(100000)
	all, err := cases.Load[homeCase]("testdata/homes/*.hujson")
	It("has cases", func() { Expect(err).NotTo(HaveOccurred()) })
	for _, c := range all {
		It(c.Name, func() {
			var p route.Picker
			for _, s := range c.Data.Homes {
				s.Pool = "m"
				s.SetWaits(c.Data.waits(s.Host))
				p.Update(now.Add(-time.Duration(c.Data.Age[s.Host])*time.Millisecond), s)
			}
			got := map[string]int{}
			for i := range c.Data.Picks {
				prefix := c.Data.Prefix
				if prefix == 0 {
					prefix = uint64(i)*0x9e3779b97f4a7c15 + 1
				}
				home, _ := p.Pick(now, "m", "w", prefix, c.Data.Avoid...)
				got[home]++
			}
			for home, least := range c.Data.Least {
				Expect(got[home]).To(BeNumerically(">=", least), "%s of %v", home, got)
			}
			for home, most := range c.Data.Most {
				Expect(got[home]).To(BeNumerically("<=", most), "%s of %v", home, got)
			}
			spill(now, c.Data)
		})
	}

	It("sends a prompt from all zones to one while the hop costs less than the prompt", func() {
		zones := []route.Summary{
			{Host: "z1", Zone: "z1", Slots: 8, At: now}, {Host: "z2", Zone: "z2", Slots: 8, At: now}, {Host: "z3", Zone: "z3", Slots: 8, At: now},
		}
		zoneOf := func(own int, prompt route.Prompt, cost time.Duration, at time.Time) string {
			var hops []route.Hop
			for i, zone := range zones {
				if i != own {
					hops = append(hops, route.Hop{Total: zone, Cost: cost})
				}
			}
			if to := route.SpilloverZoneForPrompt(at, "w", prompt, zones[own], hops); to != "" {
				return to
			}
			return zones[own].Zone
		}
		got := map[string]int{}
		for i := range 300 {
			prompt := route.Prompt{Prefix: uint64(i+1) * 0x9e3779b97f4a7c15, PrefillTime: time.Second}
			zone := zoneOf(0, prompt, time.Millisecond, now)
			got[zone]++
			Expect(zoneOf(1, prompt, time.Millisecond, now)).To(Equal(zone))
			Expect(zoneOf(2, prompt, time.Millisecond, now)).To(Equal(zone))
			Expect(zoneOf(1, prompt, 2*time.Second, now)).To(Equal("z2"), "the hop costs more than the prompt")
			Expect(zoneOf(1, prompt, time.Millisecond, now.Add(time.Minute))).To(Equal("z2"), "without fresh summaries of other zones")
			busy := zones[0]
			zones[0].SetWaits(map[string]time.Duration{"w": 3 * time.Second})
			Expect(zoneOf(1, prompt, time.Millisecond, now)).NotTo(Equal("z1"), "the wait is longer than the prompt takes to compute")
			zones[0] = busy
		}
		Expect(got).To(HaveLen(3))
	})

	It("moves only the backend servers of a host that leaves", func() {
		hosts := []string{"h1", "h2", "h3", "h4"}
		before, after := route.NewHomes(hosts), route.NewHomes(hosts[:3])
		count := map[string]int{}
		for i := range 400 {
			server := fmt.Sprintf("e%d", i)
			count[before.HomeOf(server)]++
			if before.HomeOf(server) != "h4" {
				Expect(after.HomeOf(server)).To(Equal(before.HomeOf(server)))
			}
		}
		for _, host := range hosts {
			Expect(count[host]).To(BeNumerically("~", 100, 40))
		}
		Expect(route.NewHomes(nil).HomeOf("e1")).To(BeEmpty())
		Expect(route.NewHomes([]string{"h2", "h1", "h2"}).HomeOf("e1")).To(Equal(route.NewHomes([]string{"h1", "h2"}).HomeOf("e1")))
	})

	It("rejects invalid summaries from other hosts", func() {
		good := route.Summary{Host: "h", Pool: "m", Slots: 4, Rate: 10}
		data, err := wire.Encode(good)
		Expect(err).NotTo(HaveOccurred())
		Expect(wire.Decode[route.Summary](data)).To(Equal(good))
		for _, bad := range []route.Summary{{Pool: "m"}, {Host: "h"}, {Host: "h", Pool: "m", Slots: -1}, {Host: "h", Pool: "m", Rate: -1}} {
			Expect(bad.Check()).To(HaveOccurred())
		}
	})

	It("hashes whole blocks only", func() {
		long := route.PrefixHashes("abcdefghij", 4)
		Expect(long).To(HaveLen(2))
		Expect(route.PrefixHashes("abcdefgh", 4)).To(Equal(long))
		Expect(route.PrefixHashes("abcdXfgh", 4)[0]).To(Equal(long[0]))
		Expect(route.PrefixHashes("abcdXfgh", 4)[1]).NotTo(Equal(long[1]))
	})
})

// waits returns the waits at a home by workspace.
func (c homeCase) waits(home string) map[string]time.Duration {
	waits := map[string]time.Duration{}
	for workspace, wait := range c.Waits[home] {
		waits[workspace] = time.Duration(wait) * time.Millisecond
	}
	return waits
}

// spill checks the zone that a request spills over to, if the case has one.
func spill(now time.Time, c homeCase) {
	if c.Spill == nil {
		return
	}
	var own route.Summary
	var hops []route.Hop
	for _, s := range c.Homes {
		s.At = now.Add(-time.Duration(c.Age[s.Host]) * time.Millisecond)
		s.SetWaits(c.waits(s.Host))
		if s.Zone == c.Spill.Own {
			own = s
			continue
		}
		hops = append(hops, route.Hop{Total: s, Cost: time.Duration(c.Spill.Hops[s.Zone]) * time.Millisecond})
	}
	Expect(route.SpilloverZone(now, "w", own, hops)).To(Equal(c.Spill.Wants), c.Note)
}
