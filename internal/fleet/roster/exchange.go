package roster

import (
	"slices"
	"time"
)

// note is the newest summary of a host and the steps at which it is still to
// be sent on.
type note struct {
	HostSummary
	at      time.Time
	pending uint16
}

// zone is the newest summary of a zone. pending counts the steps within the
// own zone, onward those among the bridges.
type zone struct {
	ZoneSummary
	name    string
	bridge  string
	at      time.Time
	pending uint16
	onward  uint16
	root    int // step at which the tree in this zone is handed to another host, -1 for none
}

func (s *State) tickRings() {
	if s.leaving {
		return
	}
	places := s.places()
	if step, due := s.inZone.due(s.now, stepCount(len(places)), cycle); due {
		s.exchange(places, step)
	}
	if !s.isBridge() {
		s.bridged = 0
		return
	}
	zones := s.zoneNames()
	if step, due := s.across.due(s.now, stepCount(len(zones)), zoneCycle); due {
		s.exchangeZones(zones, step)
	}
}

// exchange takes one step within the zone. At step 0 it is the probe too.
func (s *State) exchange(places []string, step int) {
	if step == 0 {
		s.concludeProbe()
		s.probe = probe{}
		s.describe(len(places))
	}
	to := s.members[partner(places, s.self.Name, step, s.now)]
	if to == nil {
		return
	}
	packet := Packet{Kind: Exchange, Step: uint8(step)}
	if step == 0 {
		packet.Number, packet.Digest = s.startProbe(to), s.digest()
	}
	notes, zones, roots := s.pendingNotes(step), s.pendingZones(step), s.pendingRoots(step)
	for first := true; first || len(notes)+len(zones)+len(roots) > 0; first = false {
		n := min(len(notes), maxNotes)
		z := min(len(zones), maxZones)
		r := min(len(roots), maxZones-z)
		packet.Notes, packet.Zones, packet.Roots = notes[:n], zones[:z], roots[:r]
		s.send(to.Name, to.Address, packet)
		notes, zones, roots = notes[n:], zones[z:], roots[r:]
		packet = Packet{Kind: Exchange, Step: uint8(step)}
	}
}

// describe makes this host's summary of the second.
func (s *State) describe(places int) {
	s.counter++
	s.notes[ShortID(s.self.Name)] = &note{
		HostSummary: HostSummary{ID: ShortID(s.self.Name), Number: s.counter, Version: s.version, Body: s.body},
		at:          s.now,
		pending:     after(-1, stepCount(places)),
	}
	for id, n := range s.notes {
		if s.now.Sub(n.at) > noteLife {
			delete(s.notes, id)
		}
	}
}

func (s *State) pendingNotes(step int) []HostSummary {
	var pending []HostSummary
	for _, n := range s.notes {
		if n.pending&(1<<step) != 0 {
			n.pending &^= 1 << step
			pending = append(pending, n.HostSummary)
		}
	}
	slices.SortFunc(pending, func(a, b HostSummary) int { return int(int64(a.ID) - int64(b.ID)) })
	return pending
}

func (s *State) pendingZones(step int) []ZoneSummary {
	var pending []ZoneSummary
	for _, name := range s.zoneNames() {
		z := s.zones[name]
		if z != nil && z.pending&(1<<step) != 0 {
			z.pending &^= 1 << step
			pending = append(pending, z.ZoneSummary)
		}
	}
	return pending
}

// pendingRoots returns the summaries whose trees the next host starts (rule 8).
func (s *State) pendingRoots(step int) []ZoneSummary {
	var roots []ZoneSummary
	for _, name := range s.zoneNames() {
		if z := s.zones[name]; z != nil && z.root == step {
			z.root = -1
			roots = append(roots, z.ZoneSummary)
		}
	}
	return roots
}

// takeExchange takes the summaries of another host of the zone.
func (s *State) takeExchange(packet Packet) {
	steps := stepCount(len(s.names()) + 1)
	for _, received := range packet.Notes {
		s.takeNote(received, after(int(packet.Step), steps))
	}
	for _, received := range packet.Zones {
		s.takeZone(received, after(int(packet.Step), steps), 0)
	}
	for _, received := range packet.Roots {
		s.takeZone(received, after(-1, steps), 0)
	}
}

func (s *State) takeNote(received HostSummary, pending uint16) {
	known := s.notes[received.ID]
	if received.ID == ShortID(s.self.Name) {
		if newer(received.Number, s.counter) { // left behind by an earlier process
			s.counter = received.Number
		}
		return
	}
	if known == nil || newer(received.Number, known.Number) {
		s.notes[received.ID] = &note{HostSummary: received, at: s.now, pending: pending}
	}
}

// takeZone keeps a newer zone summary. What it names in full replaces what was
// known; a short one of an unknown zone is of no use.
func (s *State) takeZone(received ZoneSummary, pending, onward uint16) *zone {
	known := s.zoneByID(received)
	if known == nil && received.Zone == "" {
		return nil
	}
	if known != nil && !newer(received.Number, known.Number) && s.now.Sub(known.at) < zoneLife {
		return nil
	}
	next := &zone{ZoneSummary: received, name: received.Zone, bridge: received.Bridge, at: s.now, root: -1}
	if received.Zone == "" {
		next.name, next.bridge = known.name, known.bridge
	}
	next.pending, next.onward = pending, onward
	s.zones[next.name] = next
	return next
}

func (s *State) zoneByID(received ZoneSummary) *zone {
	if received.Zone != "" {
		return s.zones[received.Zone]
	}
	for _, z := range s.zones {
		if z.ID == received.ID {
			return z
		}
	}
	return nil
}
