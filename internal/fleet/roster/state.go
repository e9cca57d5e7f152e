package roster

import (
	"math/rand/v2"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/identity"
)

// Times of the protocol.
const (
	// TickPeriod is how often Step wants a Tick.
	TickPeriod = 100 * time.Millisecond

	cycle         = time.Second     // of probes and of summaries of hosts
	zoneCycle     = 3 * time.Second // of summaries of zones
	directTimeout = 300 * time.Millisecond
	suspicion     = 3 * time.Second
	revivePeriod  = 5 * time.Second
	tablePause    = 2 * time.Second
	tombstone     = 10 * time.Minute
	firstHold     = 2 * time.Second
	maxHold       = time.Minute
	holdMemory    = 5 * time.Minute
	noteLife      = 10 * time.Second
	zoneLife      = 30 * time.Second
	turnPeriod    = 4 * time.Second
)

// Counts of the protocol.
const (
	relays       = 3 // hosts asked for an indirect probe
	maxScore     = 2 // of the host's own failing probes (rule 2)
	repeatFactor = 3 // times log2 of the members: how often an update is sent
)

// Config is what a host knows of itself at the start.
type Config struct {
	Self    identity.Host
	Address string
	// Incarnation is the start time in Unix seconds. Too low a value is
	// corrected when another host remembers a higher one.
	Incarnation uint32
	Seed        uint64
}

// State is the roster of one host. It belongs to one goroutine.
type State struct {
	config  Config
	self    Member
	leaving bool
	rand    *rand.Rand
	now     time.Time
	actions []Action

	members map[string]*member
	index   *index // nil after a change of members
	probe   probe
	number  uint32
	relayed map[uint32]relay
	score   int
	updates []update
	revive  time.Time

	hints   []Hint
	named   []string // the zones of the hints, ordered
	version uint64
	notes   map[uint32]*note
	zones   map[string]*zone
	body    []byte
	summary []byte
	counter uint16
	bridged int // zone summaries made since this host became the bridge
	inZone  ring
	across  ring
}

// member is another host of the zone and what this host remembers of it.
type member struct {
	Member
	deadline time.Time // of a suspicion
	failed   time.Time // the last failure
	returns  int
	hold     time.Time // not counted before (rule 5)
	tabled   time.Time // the whole table was sent
}

type probe struct {
	target   string
	number   uint32
	sent     time.Time
	indirect bool
	answered bool
}

// relay is a probe made for another host.
type relay struct {
	address string
	number  uint32
	sent    time.Time
}

// New returns the roster of a host that knows nobody yet.
func New(config Config) *State {
	return &State{
		config:  config,
		self:    Member{Name: config.Self.Name, Address: config.Address, Incarnation: config.Incarnation},
		rand:    rand.New(rand.NewPCG(config.Seed, uint64(ShortID(config.Self.Name)))),
		members: make(map[string]*member),
		relayed: make(map[uint32]relay),
		notes:   make(map[uint32]*note),
		zones:   make(map[string]*zone),
		counter: uint16(config.Incarnation),
	}
}

// Event is something that happens to the roster.
type Event interface{ event() }

// Tick passes time; it comes every TickPeriod.
type Tick struct{}

// Received is a packet from a proven host.
type Received struct {
	From    identity.Host
	Address string
	Packet  Packet
}

// HintsUpdated brings the hosts that the platform and the settings name.
type HintsUpdated struct {
	Hints []Hint
}

// SummariesUpdated sets the summaries that this host sends: its own and, for the
// case that it is the bridge, that of its zone. Version is the version of the
// configuration in force here.
type SummariesUpdated struct {
	Version uint64
	Body    []byte
	Zone    []byte
}

// Leave announces a planned stop. The host stays a member for itself.
type Leave struct{}

func (Tick) event()             {}
func (Received) event()         {}
func (HintsUpdated) event()     {}
func (SummariesUpdated) event() {}
func (Leave) event()            {}

// Action is what the host has to do next.
type Action interface{ action() }

// Send sends a packet without a promise that it arrives.
type Send struct {
	Address string
	Packet  Packet
}

// MemberChanged says that a host of the zone changed to Member.Status, Alive,
// Failed or Left.
type MemberChanged struct {
	Member Member
}

// VersionSeen says which version of the configuration a peer has in force.
type VersionSeen struct {
	Address string
	Version uint64
}

func (Send) action()          {}
func (MemberChanged) action() {}
func (VersionSeen) action()   {}

// Step takes one event and returns what to do.
func (s *State) Step(e Event, now time.Time) []Action {
	s.now, s.actions = now, nil
	switch e := e.(type) {
	case Tick:
		s.tick()
	case Received:
		s.receive(e)
	case HintsUpdated:
		s.listed(e.Hints)
	case SummariesUpdated:
		s.version, s.body, s.summary = e.Version, e.Body, e.Zone
	case Leave:
		s.leave()
	}
	return s.actions
}

func (s *State) do(action Action) { s.actions = append(s.actions, action) }

func (s *State) tick() {
	s.tickProbe()
	s.tickSuspects()
	s.tickRevive()
	s.tickRings()
}

// send completes a packet to a member of the zone and sends it.
func (s *State) send(name, address string, packet Packet) {
	if packet.Kind != Exchange || packet.Number != 0 {
		packet.Incarnation = s.self.Incarnation
	}
	packet.Version = s.version
	packet.Updates = append(packet.Updates, s.takeUpdates(name)...)
	s.do(Send{Address: address, Packet: packet})
}

func (s *State) receive(e Received) {
	if e.From == s.config.Self {
		return
	}
	s.do(VersionSeen{Address: e.Address, Version: e.Packet.Version})
	if e.From.Zone != s.config.Self.Zone {
		s.receiveZones(e)
		return
	}
	s.meet(e)
	for _, update := range e.Packet.Updates {
		s.merge(update)
	}
	s.compare(e)
	switch e.Packet.Kind {
	case Probe:
		s.send(e.From.Name, e.Address, Packet{Kind: Ack, Number: e.Packet.Number, Digest: s.digest()})
	case Ack:
		s.acked(e)
	case Relay:
		s.relay(e)
	case Exchange:
		if e.Packet.Number != 0 {
			s.send(e.From.Name, e.Address, Packet{Kind: Ack, Number: e.Packet.Number, Digest: s.digest()})
		}
		s.takeExchange(e.Packet)
	case Table:
	}
}
