package roster

import (
	"math/rand/v2"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/identity"
)

// Periods and timeouts of the protocol.
const (
	// TickPeriod is the time between two Tick events.
	TickPeriod = 100 * time.Millisecond

	cycle            = time.Second            // of probes and of host summaries
	zoneCycle        = 3 * time.Second        // of zone summaries
	directTimeout    = 300 * time.Millisecond // of a probe before relays are asked
	suspicionTimeout = 3 * time.Second        // from suspect to failed (rule 2)
	reprobePeriod    = 5 * time.Second        // of probes to hosts that are not members
	tableInterval    = 2 * time.Second        // least time between two tables to one host
	tombstoneLife    = 10 * time.Minute       // after which hosts that failed or left and lost zones are removed
	firstHold        = 2 * time.Second        // of a host that returns (rule 5)
	maxHold          = time.Minute
	holdMemory       = 5 * time.Minute  // after which a failure no longer causes a hold
	summaryLife      = 10 * time.Second // after which a host summary is removed, and a zone's bridge may be another one
	zoneLife         = 30 * time.Second // after which a zone summary is not in the view any more
	orderPeriod      = 4 * time.Second  // between two orders of the ring (rule 7)
)

// Counts of the protocol.
const (
	relays       = 3 // hosts asked for an indirect probe
	maxScore     = 2 // of the host's own failing probes (rule 2)
	repeatFactor = 3 // times log2 of the members: the number of packets that carry an update
)

// Config holds the parameters of a State.
type Config struct {
	Self    identity.Host
	Address string
	// Incarnation is the start time in Unix seconds. Too low a value is
	// corrected when another host remembers a higher one.
	Incarnation uint32
	// Seed is the seed of the random choices.
	Seed uint64
}

// State is the protocol state of one host. It does no I/O: Step takes events
// and returns actions. It is not safe for concurrent use.
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
	number  uint32           // of the last probe
	relayed map[uint32]relay // by the number of the probe made here
	score   int              // rises while the host's own probes fail, up to maxScore
	updates []update
	reprobe time.Time // when hosts that are not members are probed next

	hints         []Hint
	hintZones     []string // the zones of the hints, ordered
	version       uint64   // of the configuration in force here
	summaries     map[uint32]*hostSummary
	zones         map[string]*zone
	body          []byte // of this host's summary
	zoneBody      []byte // of its zone's summary
	summaryNumber uint16 // of this host's last summary
	zoneSummaries int    // zone summaries made since this host became the bridge
	inZone        ring   // of the hosts of the zone
	across        ring   // of the zones, whose bridges take its steps
}

// member is another host of the zone, with the state that this host keeps
// about it.
type member struct {
	Member
	deadline  time.Time // of a suspicion
	failed    time.Time // when it last failed or left
	returns   int       // number of returns after that, for the hold time
	hold      time.Time // until which it does not count as a member (rule 5)
	tableSent time.Time // when the table was last sent to it
}

// probe is the probe of the current cycle.
type probe struct {
	target   string
	number   uint32
	sent     time.Time
	indirect bool // other hosts were asked to probe the target
	answered bool
}

// relay is a probe made on behalf of another host.
type relay struct {
	address string // of the host that asked
	number  uint32 // of that host's probe
	sent    time.Time
}

// New returns the state of a host with an empty membership table.
func New(config Config) *State {
	return &State{
		config:        config,
		self:          Member{Name: config.Self.Name, Address: config.Address, Incarnation: config.Incarnation},
		rand:          rand.New(rand.NewPCG(config.Seed, uint64(ShortID(config.Self.Name)))),
		members:       make(map[string]*member),
		relayed:       make(map[uint32]relay),
		summaries:     make(map[uint32]*hostSummary),
		zones:         make(map[string]*zone),
		summaryNumber: uint16(config.Incarnation),
	}
}

// Event is an input of Step.
type Event interface{ event() }

// Tick reports that time has passed. It is due every TickPeriod.
type Tick struct{}

// Received reports a packet from an authenticated host.
type Received struct {
	From    identity.Host
	Address string
	Packet  Packet
}

// HintsUpdated replaces the hosts that the platform and the settings name.
type HintsUpdated struct {
	Hints []Hint
}

// SummariesUpdated sets the summaries that this host sends: Body about itself
// and Zone about its zone, which is sent only while this host is the bridge.
// Version is the version of the configuration in force here.
type SummariesUpdated struct {
	Version uint64
	Body    []byte
	Zone    []byte
}

// Leave announces a planned stop to the other hosts of the zone. This host keeps
// its state and continues to answer probes, but sends no summaries any more.
type Leave struct{}

func (Tick) event()             {}
func (Received) event()         {}
func (HintsUpdated) event()     {}
func (SummariesUpdated) event() {}
func (Leave) event()            {}

// Action is an output of Step, to be carried out by the caller.
type Action interface{ action() }

// Send asks for a packet to be sent. Its delivery need not be reliable.
type Send struct {
	Address string
	Packet  Packet
}

// MemberChanged reports that a host of the zone joined, failed or left. Its new
// status is in Member.
type MemberChanged struct {
	Member Member
}

// VersionSeen reports the version of the configuration that a peer has in force. It
// is emitted for each received packet, also if the version is known already.
type VersionSeen struct {
	Address string
	Version uint64
}

func (Send) action()          {}
func (MemberChanged) action() {}
func (VersionSeen) action()   {}

// Step processes one event at time now and returns the actions that follow.
func (s *State) Step(e Event, now time.Time) []Action {
	s.now, s.actions = now, nil
	switch e := e.(type) {
	case Tick:
		s.tick()
	case Received:
		s.receive(e)
	case HintsUpdated:
		s.setHints(e.Hints)
	case SummariesUpdated:
		s.version, s.body, s.zoneBody = e.Version, e.Body, e.Zone
	case Leave:
		s.leave()
	}
	return s.actions
}

// emit adds an action to the result of the current Step.
func (s *State) emit(action Action) { s.actions = append(s.actions, action) }

// tick does all periodic work that is due.
func (s *State) tick() {
	s.checkProbe()
	s.expireSuspects()
	s.probeNonMembers()
	s.tickRings()
}

// send sends a packet to a host of the zone. It sets the version of the
// configuration and, except in an Exchange that is no probe, the incarnation, and
// adds queued updates.
func (s *State) send(name, address string, packet Packet) {
	if packet.Kind != Exchange || packet.Number != 0 {
		packet.Incarnation = s.self.Incarnation
	}
	packet.Version = s.version
	packet.Updates = append(packet.Updates, s.nextUpdates(name)...)
	s.emit(Send{Address: address, Packet: packet})
}

// receive processes a packet from another host. Hosts of other zones only
// exchange zone summaries.
func (s *State) receive(e Received) {
	if e.From == s.config.Self {
		return
	}
	s.emit(VersionSeen{Address: e.Address, Version: e.Packet.Version})
	if e.From.Zone != s.config.Self.Zone {
		s.receiveZones(e)
		return
	}
	s.mergeSender(e)
	for _, update := range e.Packet.Updates {
		s.merge(update)
	}
	s.syncTable(e)
	switch e.Packet.Kind {
	case Probe:
		s.send(e.From.Name, e.Address, Packet{Kind: Ack, Number: e.Packet.Number, Digest: s.digest()})
	case Ack:
		s.receiveAck(e)
	case Relay:
		s.relay(e)
	case Exchange:
		if e.Packet.Number != 0 {
			s.send(e.From.Name, e.Address, Packet{Kind: Ack, Number: e.Packet.Number, Digest: s.digest()})
		}
		s.receiveExchange(e.Packet)
	case Table:
	}
}
