package roster

import "slices"

// zoneNames returns the zones that this host has summaries or hints of, its own
// included, ordered.
func (s *State) zoneNames() []string {
	names := []string{s.config.Self.Zone}
	for name := range s.zones {
		names = append(names, name)
	}
	names = append(names, s.hintZones...)
	slices.Sort(names)
	return slices.Compact(names)
}

// setHints replaces the hosts that the platform and the settings name.
func (s *State) setHints(hints []Hint) {
	s.hints, s.hintZones = hints, nil
	for _, hint := range hints {
		s.hintZones = append(s.hintZones, hint.Host.Zone)
	}
	slices.Sort(s.hintZones)
	s.hintZones = slices.Compact(s.hintZones)
}

// exchangeZones sends the zone summaries of one step to another zone's bridge
// (rule 8).
func (s *State) exchangeZones(zones []string, step int) {
	if step == 0 {
		s.makeZoneSummary(len(zones))
	}
	to := partner(zones, s.config.Self.Zone, step, s.now)
	address := s.bridgeAddress(to)
	if address == "" {
		return
	}
	full := !s.hasRecent(to)
	var pending []ZoneSummary
	for _, name := range zones {
		z := s.zones[name]
		if z != nil && z.pendingAcross&(1<<step) != 0 {
			z.pendingAcross &^= 1 << step
			if full {
				pending = append(pending, z.withNames())
			} else {
				pending = append(pending, z.ZoneSummary)
			}
		}
	}
	s.sendZones(address, step, pending)
}

// sendZones sends zone summaries to a host of another zone. It sends at least
// one packet, even without summaries.
func (s *State) sendZones(address string, step int, zones []ZoneSummary) {
	for first := true; first || len(zones) > 0; first = false {
		n := min(len(zones), maxZones)
		s.emit(Send{Address: address, Packet: Packet{
			Kind:    Exchange,
			Version: s.version,
			Step:    uint8(step),
			Zones:   zones[:n],
		}})
		zones = zones[n:]
	}
}

// makeZoneSummary makes the next summary of this host's zone, to be sent to the
// bridges of zoneCount zones, its own included. It removes zones without a
// summary for longer than tombstoneLife.
func (s *State) makeZoneSummary(zoneCount int) {
	number := uint16(s.now.Unix())
	if own := s.zones[s.config.Self.Zone]; own != nil && !newer(number, own.Number) {
		number = own.Number + 1
	}
	lowest, hosts := s.lowestVersion()
	own := &zone{
		ZoneSummary: ZoneSummary{
			ID:     ShortID(s.config.Self.Zone),
			Number: number,
			Hosts:  uint16(hosts),
			Lowest: lowest,
			Body:   s.zoneBody,
		},
		name:          s.config.Self.Zone,
		bridge:        s.self.Address,
		at:            s.now,
		pendingAcross: stepsAfter(-1, stepCount(zoneCount)),
	}
	s.zoneSummaries++
	if s.zoneSummaries <= fullEvery || number%fullEvery == 0 {
		own.Zone, own.Bridge = own.name, own.bridge
	}
	s.chooseRoot(own)
	s.zones[own.name] = own
	for name, z := range s.zones {
		if s.now.Sub(z.at) > tombstoneLife {
			delete(s.zones, name)
		}
	}
}

// fullEvery is how often a zone summary contains the names of its zone and
// bridge: the first fullEvery of a new bridge do, then every fullEvery-th
// (rule 9).
const fullEvery = 4

// chooseRoot chooses the step at which the tree of a zone summary within this
// zone is handed to another host. The step depends on the zone and the number of
// the summary, which spreads the trees over several roots. In a zone of up to four
// hosts this host is the root itself.
func (s *State) chooseRoot(z *zone) {
	steps := stepCount(len(s.liveNames()) + 1)
	z.rootStep = -1
	if steps < 3 {
		z.pending = stepsAfter(-1, steps)
		return
	}
	z.rootStep = (int(z.ID) + int(z.Number)) % steps
}

// lowestVersion returns the lowest version of the configuration that the members
// have in force, and the number of members. A member without a recent summary
// counts as version zero.
func (s *State) lowestVersion() (uint64, int) {
	lowest, hosts := s.version, 1
	for _, name := range s.liveNames() {
		hosts++
		known := s.summaries[ShortID(name)]
		if known == nil || s.now.Sub(known.at) > summaryLife {
			lowest = 0
			continue
		}
		lowest = min(lowest, known.Version)
	}
	return lowest, hosts
}

// bridgeAddress returns the address of a zone's bridge. Without a recent summary
// of the zone it alternates between its last known bridge and the hints.
func (s *State) bridgeAddress(name string) string {
	if name == "" {
		return ""
	}
	known := s.zones[name]
	if s.hasRecent(name) {
		return known.bridge
	}
	var candidates []string
	if known != nil {
		candidates = append(candidates, known.bridge)
	}
	for _, hint := range s.hints {
		if hint.Host.Zone == name {
			candidates = append(candidates, hint.Address)
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[int(s.now.Unix())%len(candidates)]
}

// hasRecent reports whether a zone's summary is no older than summaryLife.
func (s *State) hasRecent(name string) bool {
	known := s.zones[name]
	return known != nil && s.now.Sub(known.at) < summaryLife
}

// withNames returns the summary with the names of its zone and bridge, for a
// receiver that may not know them (rule 9).
func (z *zone) withNames() ZoneSummary {
	full := z.ZoneSummary
	full.Zone, full.Bridge = z.name, z.bridge
	return full
}

// receiveZones applies the summaries that a host of another zone sent. If this
// host is not the bridge, it answers with the address of the bridge.
func (s *State) receiveZones(e Received) {
	if e.Packet.Kind != Exchange {
		return
	}
	pendingAcross := stepsAfter(int(e.Packet.Step), stepCount(len(s.zoneNames())))
	for _, received := range e.Packet.Zones {
		if received.ID == ShortID(s.config.Self.Zone) {
			continue
		}
		if z := s.applyZoneSummary(received, 0, pendingAcross); z != nil {
			s.chooseRoot(z)
		}
	}
	own := s.zones[s.config.Self.Zone]
	if !s.isBridge() && own != nil && e.Packet.Step != replyStep {
		s.sendZones(e.Address, int(replyStep), []ZoneSummary{own.withNames()})
	}
}

// replyStep is the step of a packet that answers a zone exchange, after all real
// steps: its zone summaries are neither sent on to other zones nor answered.
const replyStep uint8 = 15
