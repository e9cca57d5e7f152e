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

type script struct {
	Hosts    int
	Loss     float64
	NoRelays bool // nobody probes for others
	Silent   bool // nobody is told of suspicions
	Steps    []step
}

// step changes the network or the hosts, lets time pass, and looks.
type step struct {
	Crash, Restart []string
	Older          uint32
	Cut, Flap      [][2]string
	Deaf, Leave    string
	Pause, Resume  string
	Slow           string // every packet to and from it takes 400 ms longer
	Late           int    // milliseconds by which one packet in five is late
	Clock          string // a host whose clock steps by Step seconds
	Step           int
	Halves, Heal   bool
	Seconds        int
	See            *int
	SeeFrom        string
	False          *int
	SomeFalse      bool
}

// zone is the fleet of a script with the faults of the moment.
type zone struct {
	*scale.Fleet
	cut, flap map[[2]string]bool
	deaf      string
	slow      string
	late      time.Duration
	halves    bool
	wrong     int
}

func newZone(s script) *zone {
	z := &zone{Fleet: scale.New(scale.Plan{Hosts: s.Hosts, Zones: 1, Regions: 1, Loss: s.Loss, Seed: 1})}
	z.heal()
	z.Cut = z.lost
	z.Late = z.delayed
	z.Watch = func(_ *scale.Host, m roster.Member) {
		if h := z.Member(m); m.Status == roster.Failed && !h.Down && !h.Paused && !z.halves && z.deaf == "" {
			z.wrong++
		}
	}
	z.Alter = s.weaken
	return z
}

// weaken takes a guard of the protocol out of a packet.
func (s script) weaken(packet roster.Packet) roster.Packet {
	if s.NoRelays && packet.Kind == roster.Relay {
		packet.Target, packet.Address = "nobody", ""
	}
	if s.Silent {
		told := slices.Clone(packet.Updates)
		packet.Updates = slices.DeleteFunc(told, func(m roster.Member) bool { return m.Status == roster.Suspect })
	}
	return packet
}

// shortStep is how long a step lasts at most in a short run.
const shortStep = 45 * time.Second

func (s step) time() time.Duration {
	whole := time.Duration(s.Seconds) * time.Second
	if testing.Short() {
		return min(whole, shortStep)
	}
	return whole
}

func (z *zone) heal() {
	z.cut, z.flap, z.deaf, z.halves = map[[2]string]bool{}, map[[2]string]bool{}, "", false
	z.slow, z.late = "", 0
}

func (z *zone) lost(from, to *scale.Host) bool {
	pair := [2]string{from.Name, to.Name}
	down := z.flap[pair] && z.Now.Unix()/2%2 == 0
	apart := z.halves && (from.Name < z.Hosts[len(z.Hosts)/2].Name) != (to.Name < z.Hosts[len(z.Hosts)/2].Name)
	return z.cut[pair] || down || apart || to.Name == z.deaf
}

func (z *zone) delayed(from, to *scale.Host) time.Duration {
	wait := time.Duration(0)
	if z.slow == from.Name || z.slow == to.Name {
		wait = 400 * time.Millisecond
	}
	if z.late > 0 && z.Rand.IntN(5) == 0 {
		wait += z.late
	}
	return wait
}

func (z *zone) named(name string) *scale.Host {
	for _, h := range z.Hosts {
		if h.Name == name {
			return h
		}
	}
	Fail("no host " + name)
	return nil
}

func (z *zone) change(s step) {
	for _, name := range s.Crash {
		z.Crash(z.named(name))
	}
	for _, name := range s.Restart {
		z.Boot(z.named(name), uint32(z.Now.Unix())-s.Older)
	}
	for _, pair := range s.Cut {
		z.cut[pair] = true
	}
	for _, pair := range s.Flap {
		z.flap[pair] = true
	}
	if s.Pause != "" {
		z.named(s.Pause).Paused = true
	}
	if s.Resume != "" {
		z.named(s.Resume).Paused = false
	}
	if s.Clock != "" {
		z.Step(z.named(s.Clock), time.Duration(s.Step)*time.Second)
	}
	z.slow += s.Slow
	z.late += time.Duration(s.Late) * time.Millisecond
	if s.Leave != "" {
		z.Leave(z.named(s.Leave))
	}
	if s.Heal {
		z.heal()
	}
	if s.Deaf != "" {
		z.deaf = s.Deaf
	}
	z.halves = z.halves || s.Halves
}

func (z *zone) look(s step, at int) {
	for _, h := range z.Hosts {
		if s.See == nil || h.Down || h.Paused || s.SeeFrom != "" && s.SeeFrom != h.Name {
			continue
		}
		Expect(h.Roster.View(z.Now).Hosts).To(HaveLen(*s.See), "step %d, host %s", at, h.Name)
	}
	if s.False != nil {
		Expect(z.wrong).To(Equal(*s.False), "step %d", at)
	}
	if s.SomeFalse {
		Expect(z.wrong).To(BeNumerically(">", 0), "step %d", at)
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
				z.change(step)
				z.Run(step.time())
				z.look(step, i)
			}
		})
	}

	It("counts a host that comes and goes more and more rarely", func() {
		z := newZone(script{Hosts: 6})
		z.Run(10 * time.Second)
		flapping := z.named("z00-h03")
		seen := []int{}
		for range 5 {
			z.Crash(flapping)
			z.Run(15 * time.Second)
			z.Boot(flapping, uint32(z.Now.Unix()))
			counted := 0
			for range 20 {
				z.Run(time.Second)
				counted += len(z.Hosts[0].Roster.View(z.Now).Hosts) - 5
			}
			seen = append(seen, counted)
		}
		Expect(seen[0]).To(BeNumerically(">", 14))
		Expect(seen[4]).To(BeZero())
	})

	It("brings each host's summary to every other within 3 s, with one bridge", func() {
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
	It("hear of each other, also past a cut between two of them", func() {
		f := scale.New(scale.Plan{Hosts: 15, Zones: 5, Regions: 2, Loss: 0.01, Seed: 1})
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

	DescribeTable("of two regions that lost each other for eleven minutes hear of each other again", func(seed uint64) {
		if testing.Short() && seed > 1 {
			Skip("one seed in a short run")
		}
		f := scale.New(scale.Plan{Hosts: 12, Zones: 6, Regions: 2, Loss: 0.01, Seed: seed})
		f.Run(20 * time.Second)
		f.Cut = func(from, to *scale.Host) bool { return from.Region != to.Region }
		f.Run(11 * time.Minute) // longer than a lost zone is remembered
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
		f := scale.New(scale.Plan{Hosts: 9, Zones: 3, Regions: 1, Seed: 1})
		f.Run(20 * time.Second)
		gone := f.Hosts[6] // of the third rank in zone-00
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
