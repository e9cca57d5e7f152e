package scale

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/identity"
	"github.com/hyssopwall/hyssopwall/internal/fleet/roster"
	"github.com/hyssopwall/hyssopwall/internal/fleet/spread"
)

// One-way delays between hosts.
const (
	zoneDelay   = 250 * time.Microsecond
	nearDelay   = time.Millisecond // between zones of a region
	regionDelay = 40 * time.Millisecond
	jitter      = 200 * time.Microsecond
	clockSpread = 50 * time.Millisecond // of host clocks, each way
)

// listPeriod is how often the lowest ranks read the platform's host list.
const listPeriod = 10 * time.Second

// Config is the shape of a fleet.
type Config struct {
	Hosts   int
	Zones   int
	Regions int
	Loss    float64 // share of packets
	// DocumentSize is the size of the configuration in bytes, Edit that of a change.
	DocumentSize int
	EditSize     int
	// ChangesPerDay is how many changes of configuration are accepted in a day.
	ChangesPerDay int
	Seed    uint64
}

// Host is one host of the fleet.
type Host struct {
	identity.Host
	Region  int
	Address string
	Down    bool
	Paused  bool // it runs nothing and loses what it is sent
	Cost    Cost
	Roster  *roster.State
	Spread  *spread.State

	clock    time.Duration // of the host, against virtual time
	start    int           // counts the processes of the host
	watching bool
	parked   bool
	seen     uint64 // object version up to which the platform was read
}

// Fleet is all hosts with their network and platform.
type Fleet struct {
	Scheduler
	Config  Config
	Hosts []*Host
	// Cut reports whether packets from one host to another are lost.
	Cut func(from, to *Host) bool
	// ExtraDelay, when set, returns how much longer a packet takes.
	ExtraDelay func(from, to *Host) time.Duration
	// AlterPacket, when set, may change a packet of the roster on its way.
	AlterPacket func(packet roster.Packet) roster.Packet
	// PlatformUnreachable reports whether a host can't reach the platform.
	PlatformUnreachable func(h *Host) bool
	// OnMemberChanged, when set, is told each change of status that a host sees.
	OnMemberChanged func(at *Host, m roster.Member)

	addresses map[string]*Host
	platform  platform
}

// New starts all hosts of a fleet.
func New(plan Config) *Fleet {
	f := &Fleet{Config: plan, addresses: make(map[string]*Host)}
	f.Now = time.Unix(1_800_000_000, 0)
	f.Rand = rand.New(rand.NewPCG(plan.Seed, 0))
	for i := range plan.Hosts {
		zone := i % plan.Zones
		h := &Host{
			Host:    identity.Host{Name: fmt.Sprintf("z%02d-h%02d", zone, i/plan.Zones), Zone: fmt.Sprintf("zone-%02d", zone)},
			Region:  zone % plan.Regions,
			Address: fmt.Sprintf("10.%d.0.%d:7000", zone, 10+i/plan.Zones),
			clock:   time.Duration(f.Rand.Int64N(int64(2*clockSpread))) - clockSpread,
		}
		f.Hosts = append(f.Hosts, h)
		f.addresses[h.Address] = h
	}
	for _, h := range f.Hosts {
		f.Boot(h, uint32(f.Now.Unix()))
	}
	return f
}

// Boot starts a new process on a host, which knows nothing.
func (f *Fleet) Boot(h *Host, incarnation uint32) {
	h.start++
	h.Down, h.Paused, h.watching, h.parked, h.seen = false, false, false, false, 0
	h.Roster = roster.New(roster.Config{Self: h.Host, Address: h.Address, Incarnation: incarnation, Seed: f.Rand.Uint64()})
	h.Spread = &spread.State{}
	f.list(h, h.start)
	f.After(time.Duration(f.Rand.Int64N(int64(roster.TickPeriod))), func() { f.tick(h, h.start) })
}

// Crash stops a host at once.
func (f *Fleet) Crash(h *Host) { h.Down, h.start = true, h.start+1 }

// Run lets virtual time pass.
func (f *Fleet) Run(d time.Duration) { f.RunTasks(f.Now.Add(d), nil) }

// RunUntil lets virtual time pass until done reports true, and returns how
// long it took. It reports false when that takes longer than limit.
func (f *Fleet) RunUntil(limit time.Duration, done func() bool) (time.Duration, bool) {
	begin := f.Now
	ok := f.RunTasks(begin.Add(limit), done)
	return f.Now.Sub(begin), ok
}

// ShiftClock moves the clock of a host.
func (f *Fleet) ShiftClock(h *Host, by time.Duration) { h.clock += by }

func (f *Fleet) local(h *Host) time.Time { return f.Now.Add(h.clock) }

func (f *Fleet) tick(h *Host, start int) {
	if h.start != start {
		return
	}
	f.After(roster.TickPeriod, func() { f.tick(h, start) })
	if h.Paused {
		return
	}
	now := f.local(h)
	described := roster.SummariesUpdated{Version: h.Spread.Accepted.Version, Body: summary(16), Zone: summary(16)}
	h.Roster.Step(described, now)
	f.rosterActions(h, h.Roster.Step(roster.Tick{}, now))
	f.spreadActions(h, h.Spread.Step(spread.RankChanged{Rank: h.Roster.Rank()}, now))
	f.spreadActions(h, h.Spread.Step(spread.Tick{}, now))
}

// summary is a body of the size that placement uses.
func summary(size int) []byte { return make([]byte, size) }

// list reads the platform's host list when the host's rank asks for it.
func (f *Fleet) list(h *Host, start int) {
	if h.start != start {
		return
	}
	f.After(listPeriod, func() { f.list(h, start) })
	view := h.Roster.View(f.local(h))
	if len(view.Hosts) > 1 && view.Rank > 2 || f.PlatformUnreachable != nil && f.PlatformUnreachable(h) {
		return
	}
	h.Cost.PlatformCalls++
	hints := make([]roster.Hint, 0, len(f.Hosts))
	for _, other := range f.Hosts {
		hints = append(hints, roster.Hint{Host: other.Host, Address: other.Address})
	}
	h.Roster.Step(roster.HintsUpdated{Hints: hints}, f.local(h))
}

// HostOf returns the host that a member stands for.
func (f *Fleet) HostOf(m roster.Member) *Host { return f.addresses[m.Address] }

// Zone returns the hosts of a zone.
func (f *Fleet) Zone(number int) []*Host {
	var hosts []*Host
	for i, h := range f.Hosts {
		if i%f.Config.Zones == number {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// Leave announces the planned stop of a host.
func (f *Fleet) Leave(h *Host) {
	f.rosterActions(h, h.Roster.Step(roster.Leave{}, f.local(h)))
}
