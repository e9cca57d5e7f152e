package scale

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/identity"
	"github.com/hyssopwall/hyssopwall/internal/fleet/roster"
	"github.com/hyssopwall/hyssopwall/internal/fleet/spread"
)

// One-way delays between hosts, and the error of their clocks.
const (
	zoneDelay     = 250 * time.Microsecond // within a zone
	nearDelay     = time.Millisecond       // between zones of a region
	regionDelay   = 40 * time.Millisecond  // between regions
	jitter        = 200 * time.Microsecond // maximum random addition to a delay
	maxClockError = 50 * time.Millisecond  // of host clocks, in either direction
)

// hostListInterval is how often the hosts of the lowest ranks read the platform's host
// list.
const hostListInterval = 10 * time.Second

// Config describes a fleet and its load.
type Config struct {
	Hosts   int
	Zones   int
	Regions int
	Loss    float64 // fraction of packets lost
	// DocumentSize is the size of the configuration in bytes, EditSize that of a change.
	DocumentSize int
	EditSize     int
	// ChangesPerDay is the number of configuration changes that are accepted in a day.
	ChangesPerDay int
	Seed          uint64
}

// Host is a simulated host of the fleet.
type Host struct {
	identity.Host
	Region  int
	Address string
	Down    bool
	// Paused suspends the host's ticks and loses the packets sent to it. Its calls to the
	// platform and the answers to calls that it has made are not suspended.
	Paused bool
	Cost   Cost
	Roster *roster.State
	Spread *spread.State

	clockOffset time.Duration // of the host's clock from virtual time
	process     int           // number of the host's current process
	watching    bool          // the host watches the platform for a new document
	waiting     bool          // a watch call waits at the platform for a change
	readVersion uint64        // of the document that was last read from the platform
}

// Fleet simulates hosts with their network and the platform. Make it with New.
type Fleet struct {
	Scheduler
	Config Config
	Hosts  []*Host
	// Cut, when set, reports whether all packets from one host to another are lost.
	Cut func(from, to *Host) bool
	// ExtraDelay, when set, returns a time that is added to the delay of a packet.
	ExtraDelay func(from, to *Host) time.Duration
	// AlterPacket, when set, returns the packet of the roster to deliver instead of the
	// one that was sent.
	AlterPacket func(packet roster.Packet) roster.Packet
	// PlatformUnreachable, when set, reports whether a host can't reach the platform.
	PlatformUnreachable func(h *Host) bool
	// OnMemberChanged, when set, is called for each change of a member in the roster of
	// the host at.
	OnMemberChanged func(at *Host, m roster.Member)

	addresses map[string]*Host
	platform  platform
}

// New returns a fleet and starts all its hosts.
func New(config Config) *Fleet {
	f := &Fleet{Config: config, addresses: make(map[string]*Host)}
	f.Now = time.Unix(1_800_000_000, 0)
	f.Rand = rand.New(rand.NewPCG(config.Seed, 0))
	for i := range config.Hosts {
		zone := i % config.Zones
		h := &Host{
			Host:        identity.Host{Name: fmt.Sprintf("z%02d-h%02d", zone, i/config.Zones), Zone: fmt.Sprintf("zone-%02d", zone)},
			Region:      zone % config.Regions,
			Address:     fmt.Sprintf("10.%d.0.%d:7000", zone, 10+i/config.Zones),
			clockOffset: time.Duration(f.Rand.Int64N(int64(2*maxClockError))) - maxClockError,
		}
		f.Hosts = append(f.Hosts, h)
		f.addresses[h.Address] = h
	}
	for _, h := range f.Hosts {
		f.Boot(h, uint32(f.Now.Unix()))
	}
	return f
}

// Boot starts a new process on a host, without any state of an earlier process. The
// incarnation is the start time in Unix seconds; see roster.Config.
func (f *Fleet) Boot(h *Host, incarnation uint32) {
	h.process++
	h.Down, h.Paused, h.watching, h.waiting, h.readVersion = false, false, false, false, 0
	h.Roster = roster.New(roster.Config{Self: h.Host, Address: h.Address, Incarnation: incarnation, Seed: f.Rand.Uint64()})
	h.Spread = &spread.State{}
	f.readHostList(h, h.process)
	f.After(time.Duration(f.Rand.Int64N(int64(roster.TickPeriod))), func() { f.tick(h, h.process) })
}

// Crash stops a host without notice to the others.
func (f *Fleet) Crash(h *Host) { h.Down, h.process = true, h.process+1 }

// Run advances virtual time by d.
func (f *Fleet) Run(d time.Duration) { f.RunTasks(f.Now.Add(d), nil) }

// RunUntil advances virtual time until done reports true, or by the limit. It returns the
// time that passed and whether done reported true.
func (f *Fleet) RunUntil(limit time.Duration, done func() bool) (time.Duration, bool) {
	begin := f.Now
	ok := f.RunTasks(begin.Add(limit), done)
	return f.Now.Sub(begin), ok
}

// ShiftClock moves the clock of a host forward, or back by a negative duration.
func (f *Fleet) ShiftClock(h *Host, by time.Duration) { h.clockOffset += by }

// localTime returns the time of the host's clock.
func (f *Fleet) localTime(h *Host) time.Time { return f.Now.Add(h.clockOffset) }

// tick runs the periodic steps of a host's process until the process ends.
func (f *Fleet) tick(h *Host, process int) {
	if h.process != process {
		return
	}
	f.After(roster.TickPeriod, func() { f.tick(h, process) })
	if h.Paused {
		return
	}
	now := f.localTime(h)
	summaries := roster.SummariesUpdated{Version: h.Spread.Accepted.Version, Body: summary(16), Zone: summary(16)}
	h.Roster.Step(summaries, now)
	f.rosterActions(h, h.Roster.Step(roster.Tick{}, now))
	f.spreadActions(h, h.Spread.Step(spread.RankChanged{Rank: h.Roster.Rank()}, now))
	f.spreadActions(h, h.Spread.Step(spread.Tick{}, now))
}

// summary returns zero bytes in place of the summary of a host or zone. Only their number
// matters here; callers pass an assumed size, half of roster.MaxBody.
func summary(size int) []byte { return make([]byte, size) }

// readHostList reads the platform's host list periodically while the host has one of
// the three lowest ranks or no other member.
func (f *Fleet) readHostList(h *Host, process int) {
	if h.process != process {
		return
	}
	f.After(hostListInterval, func() { f.readHostList(h, process) })
	view := h.Roster.View(f.localTime(h))
	if len(view.Hosts) > 1 && view.Rank > 2 || f.PlatformUnreachable != nil && f.PlatformUnreachable(h) {
		return
	}
	h.Cost.PlatformCalls++
	hints := make([]roster.Hint, 0, len(f.Hosts))
	for _, other := range f.Hosts {
		hints = append(hints, roster.Hint{Host: other.Host, Address: other.Address})
	}
	h.Roster.Step(roster.HintsUpdated{Hints: hints}, f.localTime(h))
}

// HostOf returns the host with the member's address, nil if there is none.
func (f *Fleet) HostOf(m roster.Member) *Host { return f.addresses[m.Address] }

// Zone returns the hosts of the zone with a number, counted from 0.
func (f *Fleet) Zone(number int) []*Host {
	var hosts []*Host
	for i, h := range f.Hosts {
		if i%f.Config.Zones == number {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// Leave makes a host announce its planned stop. The host keeps running.
func (f *Fleet) Leave(h *Host) {
	f.rosterActions(h, h.Roster.Step(roster.Leave{}, f.localTime(h)))
}
