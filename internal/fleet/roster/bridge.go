package roster

import "slices"

// zoneNames returns all zones that this host knows or was told of, ordered.
func (s *State) zoneNames() []string {
	names := []string{s.config.Self.Zone}
	for name := range s.zones {
		names = append(names, name)
	}
	names = append(names, s.named...)
	slices.Sort(names)
	return slices.Compact(names)
}

// listed takes the hosts that the platform and the settings name.
func (s *State) listed(hints []Hint) {
	s.hints, s.named = hints, nil
	for _, hint := range hints {
		s.named = append(s.named, hint.Host.Zone)
	}
	slices.Sort(s.named)
	s.named = slices.Compact(s.named)
}

// exchangeZones takes one step among the bridges (rule 8).
func (s *State) exchangeZones(zones []string, step int) {
	if step == 0 {
		s.describeZone(len(zones))
	}
	to := partner(zones, s.config.Self.Zone, step, s.now)
	address := s.bridgeOf(to)
	if address == "" {
		return
	}
	stranger := !s.hears(to)
	var pending []ZoneSummary
	for _, name := range zones {
		z := s.zones[name]
		if z != nil && z.onward&(1<<step) != 0 {
			z.onward &^= 1 << step
			if stranger {
				pending = append(pending, z.inFull())
			} else {
				pending = append(pending, z.ZoneSummary)
			}
		}
	}
	s.sendZones(address, step, pending)
}

func (s *State) sendZones(address string, step int, zones []ZoneSummary) {
	for first := true; first || len(zones) > 0; first = false {
		n := min(len(zones), maxZones)
		s.do(Send{Address: address, Packet: Packet{
			Kind:    Exchange,
			Version: s.version,
			Step:    uint8(step),
			Zones:   zones[:n],
		}})
		zones = zones[n:]
	}
}

// describeZone makes the summary of the own zone.
func (s *State) describeZone(zones int) {
	number := uint16(s.now.Unix())
	if own := s.zones[s.config.Self.Zone]; own != nil && !newer(number, own.Number) {
		number = own.Number + 1
	}
	lowest, hosts := s.lowest()
	own := &zone{
		ZoneSummary: ZoneSummary{
			ID:     ShortID(s.config.Self.Zone),
			Number: number,
			Hosts:  uint16(hosts),
			Lowest: lowest,
			Body:   s.summary,
		},
		name:   s.config.Self.Zone,
		bridge: s.self.Address,
		at:     s.now,
		onward: after(-1, stepCount(zones)),
	}
	s.bridged++
	if s.bridged <= fullEvery || number%fullEvery == 0 {
		own.Zone, own.Bridge = own.name, own.bridge
	}
	s.plant(own)
	s.zones[own.name] = own
	for name, z := range s.zones {
		if s.now.Sub(z.at) > tombstone {
			delete(s.zones, name)
		}
	}
}

// fullEvery is how often a zone summary names its zone and bridge (rule 9).
const fullEvery = 4

// plant gives the tree of a zone summary within this zone to another host, a
// different one for each zone. In a small zone this host starts it.
func (s *State) plant(z *zone) {
	steps := stepCount(len(s.names()) + 1)
	z.root = -1
	if steps < 3 {
		z.pending = after(-1, steps)
		return
	}
	z.root = (int(z.ID) + int(z.Number)) % steps
}

// lowest returns the lowest version of the configuration that the members have
// in force, and how many members there are. A member without a summary counts
// as version zero.
func (s *State) lowest() (uint64, int) {
	lowest, hosts := s.version, 1
	for _, name := range s.names() {
		hosts++
		shown := s.notes[ShortID(name)]
		if shown == nil || s.now.Sub(shown.at) > noteLife {
			lowest = 0
			continue
		}
		lowest = min(lowest, shown.Version)
	}
	return lowest, hosts
}

// bridgeOf returns an address in a zone: that of its bridge, or one of the
// named hosts in turn while no bridge is heard.
func (s *State) bridgeOf(name string) string {
	if name == "" {
		return ""
	}
	known := s.zones[name]
	if s.hears(name) {
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

// hears reports whether a zone was heard lately.
func (s *State) hears(name string) bool {
	known := s.zones[name]
	return known != nil && s.now.Sub(known.at) < noteLife
}

// inFull returns the summary with its names, for a receiver that may not know
// them (rule 9).
func (z *zone) inFull() ZoneSummary {
	full := z.ZoneSummary
	full.Zone, full.Bridge = z.name, z.bridge
	return full
}

// receiveZones takes the summaries that another zone's host brings. A host
// that is not the bridge says who is.
func (s *State) receiveZones(e Received) {
	if e.Packet.Kind != Exchange {
		return
	}
	onward := after(int(e.Packet.Step), stepCount(len(s.zoneNames())))
	for _, received := range e.Packet.Zones {
		if received.ID == ShortID(s.config.Self.Zone) {
			continue
		}
		if z := s.takeZone(received, 0, onward); z != nil {
			s.plant(z)
		}
	}
	own := s.zones[s.config.Self.Zone]
	if !s.isBridge() && own != nil && e.Packet.Step != lastStep {
		s.sendZones(e.Address, int(lastStep), []ZoneSummary{own.inFull()})
	}
}

// lastStep marks a zone summary that is neither sent on nor answered.
const lastStep uint8 = 15
