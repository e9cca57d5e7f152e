package roster

import (
	"slices"
	"time"
)

// hostSummary is the newest summary of a host, with the steps at which it is
// still to be sent on.
type hostSummary struct {
	HostSummary
	at      time.Time // received, or made if it is this host's own
	pending uint16    // steps, one bit per step
}

// zone is the newest summary of a zone, with the steps at which it is still to
// be sent on.
type zone struct {
	ZoneSummary
	name          string
	bridge        string // address of the bridge
	at            time.Time
	pending       uint16 // steps within the own zone, one bit per step
	pendingAcross uint16 // steps among the bridges
	rootStep      int    // step at which its tree in this zone is handed to another host, -1 for none
}

// tickRings takes the steps that are due, within the zone and among the bridges.
func (s *State) tickRings() {
	if s.leaving {
		return
	}
	places := s.places()
	if step, due := s.inZone.due(s.now, stepCount(len(places)), cycle); due {
		s.exchange(places, step)
	}
	if !s.isBridge() {
		s.zoneSummaries = 0
		return
	}
	zones := s.zoneNames()
	if step, due := s.across.due(s.now, stepCount(len(zones)), zoneCycle); due {
		s.exchangeZones(zones, step)
	}
}

// exchange sends the summaries of one step within the zone, whose ring consists of
// the named places. The first packet of step 0 is also the probe of the cycle
// (rule 1).
func (s *State) exchange(places []string, step int) {
	if step == 0 {
		s.concludeProbe()
		s.probe = probe{}
		s.makeSummary(len(places))
	}
	to := s.members[partner(places, s.self.Name, step, s.now)]
	if to == nil {
		return
	}
	packet := Packet{Kind: Exchange, Step: uint8(step)}
	if step == 0 {
		packet.Number, packet.Digest = s.startProbe(to), s.digest()
	}
	hosts, zones, roots := s.pendingSummaries(step), s.pendingZones(step), s.pendingRoots(step)
	for first := true; first || len(hosts)+len(zones)+len(roots) > 0; first = false {
		n := min(len(hosts), maxSummaries)
		z := min(len(zones), maxZones)
		r := min(len(roots), maxZones-z)
		packet.Notes, packet.Zones, packet.Roots = hosts[:n], zones[:z], roots[:r]
		s.send(to.Name, to.Address, packet)
		hosts, zones, roots = hosts[n:], zones[z:], roots[r:]
		packet = Packet{Kind: Exchange, Step: uint8(step)}
	}
}

// makeSummary makes this host's summary for the cycle, to be sent in a zone of
// hostCount hosts, its own included. It removes expired summaries.
func (s *State) makeSummary(hostCount int) {
	s.summaryNumber++
	s.summaries[ShortID(s.self.Name)] = &hostSummary{
		HostSummary: HostSummary{ID: ShortID(s.self.Name), Number: s.summaryNumber, Version: s.version, Body: s.body},
		at:          s.now,
		pending:     stepsAfter(-1, stepCount(hostCount)),
	}
	for id, n := range s.summaries {
		if s.now.Sub(n.at) > summaryLife {
			delete(s.summaries, id)
		}
	}
}

// pendingSummaries returns the host summaries to send at a step, and marks them
// as sent.
func (s *State) pendingSummaries(step int) []HostSummary {
	var pending []HostSummary
	for _, n := range s.summaries {
		if n.pending&(1<<step) != 0 {
			n.pending &^= 1 << step
			pending = append(pending, n.HostSummary)
		}
	}
	slices.SortFunc(pending, func(a, b HostSummary) int { return int(int64(a.ID) - int64(b.ID)) })
	return pending
}

// pendingZones returns the zone summaries to send at a step, and marks them as
// sent.
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

// pendingRoots returns the zone summaries whose trees the receiver of this step
// starts (rule 8).
func (s *State) pendingRoots(step int) []ZoneSummary {
	var roots []ZoneSummary
	for _, name := range s.zoneNames() {
		if z := s.zones[name]; z != nil && z.rootStep == step {
			z.rootStep = -1
			roots = append(roots, z.ZoneSummary)
		}
	}
	return roots
}

// receiveExchange applies the summaries that another host of the zone sent.
func (s *State) receiveExchange(packet Packet) {
	steps := stepCount(len(s.liveNames()) + 1)
	for _, received := range packet.Notes {
		s.applySummary(received, stepsAfter(int(packet.Step), steps))
	}
	for _, received := range packet.Zones {
		s.applyZoneSummary(received, stepsAfter(int(packet.Step), steps), 0)
	}
	for _, received := range packet.Roots {
		s.applyZoneSummary(received, stepsAfter(-1, steps), 0)
	}
}

// applySummary keeps a host summary that is newer than the known one. A newer
// number of this host itself is from an earlier process and is overtaken.
func (s *State) applySummary(received HostSummary, pending uint16) {
	known := s.summaries[received.ID]
	if received.ID == ShortID(s.self.Name) {
		if newer(received.Number, s.summaryNumber) {
			s.summaryNumber = received.Number
		}
		return
	}
	if known == nil || newer(received.Number, known.Number) {
		s.summaries[received.ID] = &hostSummary{HostSummary: received, at: s.now, pending: pending}
	}
}

// applyZoneSummary keeps a zone summary that is newer than the known one, or
// that follows an expired one, and returns its new entry, or nil if it is not
// kept. A summary without names takes them from the known one, and is ignored if
// there is none.
func (s *State) applyZoneSummary(received ZoneSummary, pending, pendingAcross uint16) *zone {
	known := s.zoneByID(received)
	if known == nil && received.Zone == "" {
		return nil
	}
	if known != nil && !newer(received.Number, known.Number) && s.now.Sub(known.at) < zoneLife {
		return nil
	}
	next := &zone{ZoneSummary: received, name: received.Zone, bridge: received.Bridge, at: s.now, rootStep: -1}
	if received.Zone == "" {
		next.name, next.bridge = known.name, known.bridge
	}
	next.pending, next.pendingAcross = pending, pendingAcross
	s.zones[next.name] = next
	return next
}

// zoneByID returns the known summary of the same zone, nil if there is none.
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
