package roster_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/fleet/roster"
	"github.com/hyssopwall/hyssopwall/internal/fleet/scale"
	"github.com/hyssopwall/hyssopwall/internal/standin/cases"
)

func TestRoster(t *testing.T) {
	RegisterFailHandler(Fail)
	EnforceDefaultTimeoutsWhenUsingContexts()
	SetDefaultEventuallyTimeout(30 * time.Second)
	RunSpecs(t, "Roster Suite")
}

// script is a test case: a zone and the steps that it goes through.
type script struct {
	Hosts        int
	Loss         float64 // share of the packets that are lost
	NoRelays     bool    // Relay packets are made useless
	NoSuspicions bool    // suspicions are removed from all packets
	Steps        []step
}

// step injects or heals faults, runs the zone for a while, and then checks it.
type step struct {
	Crash, Restart    []string
	Older             uint32      // by how much the incarnation of restarted hosts lags behind the clock
	Cut, Flap         [][2]string // links, one way; a flapping one is down every other two seconds
	Deaf, Leave       string      // hosts; a deaf host receives no packets
	Pause, Resume     string
	Slow              string // every packet from and to this host takes 400 ms longer
	Late              int    // milliseconds by which one packet in five is late
	Clock             string // a host whose clock steps by Step seconds
	Step              int
	Halves, Heal      bool // cuts the zone in two; heals all faults of links
	Seconds           int
	Members           *int   // number of members that each host counts
	MembersAt         string // the only host that Members applies to
	FalseFailures     *int
	SomeFalseFailures bool
}

// zone is the fleet of a script with its current faults.
type zone struct {
	*scale.Fleet
	cut, flap     map[[2]string]bool
	deaf          string
	slow          string
	late          time.Duration
	halves        bool
	falseFailures int
}

// newZone returns a zone without faults, with the safeguards that the script removes.
func newZone(s script) *zone {
	z := &zone{Fleet: scale.New(scale.Config{Hosts: s.Hosts, Zones: 1, Regions: 1, Loss: s.Loss, Seed: 1})}
	z.heal()
	z.Cut = z.isLost
	z.ExtraDelay = z.delay
	z.OnMemberChanged = func(_ *scale.Host, m roster.Member) {
		if h := z.HostOf(m); m.Status == roster.Failed && !h.Down && !h.Paused && !z.halves && z.deaf == "" {
			z.falseFailures++
		}
	}
	z.AlterPacket = s.alter
	return z
}

// alter removes a safeguard of the protocol from a packet.
func (s script) alter(packet roster.Packet) roster.Packet {
	if s.NoRelays && packet.Kind == roster.Relay {
		packet.Target, packet.Address = "nobody", ""
	}
	if s.NoSuspicions {
		updates := slices.Clone(packet.Updates)
		packet.Updates = slices.DeleteFunc(updates, func(m roster.Member) bool { return m.Status == roster.Suspect })
	}
	return packet
}

// shortStep is the longest duration of a step in a short run.
const shortStep = 45 * time.Second

// duration returns the time for which the zone runs in the step.
func (s step) duration() time.Duration {
	full := time.Duration(s.Seconds) * time.Second
	if testing.Short() {
		return min(full, shortStep)
	}
	return full
}

// heal ends the faults of the network.
func (z *zone) heal() {
	z.cut, z.flap, z.deaf, z.halves = map[[2]string]bool{}, map[[2]string]bool{}, "", false
	z.slow, z.late = "", 0
}

// isLost reports whether a packet is lost to a fault.
func (z *zone) isLost(from, to *scale.Host) bool {
	pair := [2]string{from.Name, to.Name}
	down := z.flap[pair] && z.Now.Unix()/2%2 == 0
	apart := z.halves && (from.Name < z.Hosts[len(z.Hosts)/2].Name) != (to.Name < z.Hosts[len(z.Hosts)/2].Name)
	return z.cut[pair] || down || apart || to.Name == z.deaf
}

// delay returns the time that faults add to the delivery of a packet.
func (z *zone) delay(from, to *scale.Host) time.Duration {
	extra := time.Duration(0)
	if z.slow == from.Name || z.slow == to.Name {
		extra = 400 * time.Millisecond
	}
	if z.late > 0 && z.Rand.IntN(5) == 0 {
		extra += z.late
	}
	return extra
}

// host returns the host with a name.
func (z *zone) host(name string) *scale.Host {
	for _, h := range z.Hosts {
		if h.Name == name {
			return h
		}
	}
	Fail("no host " + name)
	return nil
}

// apply injects or heals the faults of a step.
func (z *zone) apply(s step) {
	for _, name := range s.Crash {
		z.Crash(z.host(name))
	}
	for _, name := range s.Restart {
		z.Boot(z.host(name), uint32(z.Now.Unix())-s.Older)
	}
	for _, pair := range s.Cut {
		z.cut[pair] = true
	}
	for _, pair := range s.Flap {
		z.flap[pair] = true
	}
	if s.Pause != "" {
		z.host(s.Pause).Paused = true
	}
	if s.Resume != "" {
		z.host(s.Resume).Paused = false
	}
	if s.Clock != "" {
		z.ShiftClock(z.host(s.Clock), time.Duration(s.Step)*time.Second)
	}
	z.slow += s.Slow
	z.late += time.Duration(s.Late) * time.Millisecond
	if s.Leave != "" {
		z.Leave(z.host(s.Leave))
	}
	if s.Heal {
		z.heal()
	}
	if s.Deaf != "" {
		z.deaf = s.Deaf
	}
	z.halves = z.halves || s.Halves
}

// check checks the expectations of a step.
func (z *zone) check(s step, at int) {
	for _, h := range z.Hosts {
		if s.Members == nil || h.Down || h.Paused || s.MembersAt != "" && s.MembersAt != h.Name {
			continue
		}
		Expect(h.Roster.View(z.Now).Hosts).To(HaveLen(*s.Members), "step %d, host %s", at, h.Name)
	}
	if s.FalseFailures != nil {
		Expect(z.falseFailures).To(Equal(*s.FalseFailures), "step %d", at)
	}
	if s.SomeFalseFailures {
		Expect(z.falseFailures).To(BeNumerically(">", 0), "step %d", at)
	}
}

var _ = Describe("a zone", func() {
	all, err := cases.Load[map[string]script]("testdata/zone.hujson")
	if err != nil {
		panic(err)
	}
	for name, s := range all[0].Data {
		It(name, func() {
			z := newZone(s)
			for i, step := range s.Steps {
				z.apply(step)
				z.Run(step.duration())
				z.check(step, i)
			}
		})
	}

	It("counts a flapping host as a member later after each return", func() {
		z := newZone(script{Hosts: 6})
		z.Run(10 * time.Second)
		flapping := z.host("z00-h03")
		secondsAsMember := []int{}
		for range 5 {
			z.Crash(flapping)
			z.Run(15 * time.Second)
			z.Boot(flapping, uint32(z.Now.Unix()))
			counted := 0
			for range 20 {
				z.Run(time.Second)
				counted += len(z.Hosts[0].Roster.View(z.Now).Hosts) - 5
			}
			secondsAsMember = append(secondsAsMember, counted)
		}
		Expect(secondsAsMember[0]).To(BeNumerically(">", 14))
		Expect(secondsAsMember[4]).To(BeZero())
	})

	It("delivers each host's summary to every other host within 3 s and has one bridge", func() {
		z := newZone(script{Hosts: 28})
		z.Run(30 * time.Second)
		bridges := 0
		for _, h := range z.Hosts {
			view := h.Roster.View(z.Now)
			if view.Bridge {
				bridges++
			}
			for _, other := range view.Hosts {
				Expect(other.Age).To(BeNumerically("<=", 3*time.Second))
				Expect(other.Body).NotTo(BeEmpty())
			}
		}
		Expect(bridges).To(Equal(1))
	})
})

var _ = Describe("zones", func() {
	It("receive summaries of each other although the link between two of them is cut", func() {
		f := scale.New(scale.Config{Hosts: 15, Zones: 5, Regions: 2, Loss: 0.01, Seed: 1})
		f.Run(20 * time.Second)
		f.Cut = func(from, to *scale.Host) bool {
			return from.Zone == "zone-01" && to.Zone == "zone-03" || from.Zone == "zone-03" && to.Zone == "zone-01"
		}
		f.Run(time.Minute)
		for _, h := range f.Hosts {
			view := h.Roster.View(f.Now)
			Expect(view.Zones).To(HaveLen(5), h.Name)
			for _, zone := range view.Zones {
				Expect(zone.Hosts).To(Equal(3))
			}
		}
	})

	DescribeTable("receive summaries of each other again after two regions were cut off for eleven minutes", func(seed uint64) {
		if testing.Short() && seed > 1 {
			Skip("one seed in a short run")
		}
		f := scale.New(scale.Config{Hosts: 12, Zones: 6, Regions: 2, Loss: 0.01, Seed: seed})
		f.Run(20 * time.Second)
		f.Cut = func(from, to *scale.Host) bool { return from.Region != to.Region }
		f.Run(11 * time.Minute) // until the summaries of lost zones have been removed
		for _, h := range f.Hosts {
			Expect(h.Roster.View(f.Now).Zones).To(HaveLen(3))
		}
		f.Cut = nil
		f.Run(30 * time.Second)
		for _, h := range f.Hosts {
			Expect(h.Roster.View(f.Now).Zones).To(HaveLen(6))
		}
	}, Entry(nil, uint64(1)), Entry(nil, uint64(2)), Entry(nil, uint64(3)))

	It("find the new bridge of a zone whose bridge crashed", func() {
		f := scale.New(scale.Config{Hosts: 9, Zones: 3, Regions: 1, Seed: 1})
		f.Run(20 * time.Second)
		gone := f.Hosts[6] // the bridge of zone-00, of rank 2
		f.Crash(gone)
		f.Run(30 * time.Second)
		for _, h := range f.Hosts {
			if h == gone {
				continue
			}
			view := h.Roster.View(f.Now)
			Expect(view.Zones).To(HaveLen(3))
			Expect(view.Zones[0].Bridge).NotTo(Equal(gone.Address))
			Expect(view.Zones[0].Hosts).To(Equal(2))
		}
	})
})
