package roster

import "slices"

// checkProbe asks relays to probe the target once a probe has had no answer for
// directTimeout (rule 1).
func (s *State) checkProbe() {
	waited := s.now.Sub(s.probe.sent)
	if s.probe.target != "" && !s.probe.answered && !s.probe.indirect && waited >= directTimeout {
		s.askRelays()
	}
}

// concludeProbe suspects the target of the last cycle's probe if neither it nor
// a relay answered, and updates the score (rule 2).
func (s *State) concludeProbe() {
	target := s.members[s.probe.target]
	if target == nil {
		return
	}
	if s.probe.answered {
		s.score = max(s.score-1, 0)
		return
	}
	s.score = min(s.score+1, maxScore)
	if target.Status == Alive {
		suspect := target.Member
		suspect.Status = Suspect
		s.merge(suspect)
	}
}

// startProbe records the probe of a cycle. It returns the number to put into the
// packet to the target, which the target repeats in its Ack.
func (s *State) startProbe(target *member) uint32 {
	s.number++
	s.probe = probe{target: target.Name, number: s.number, sent: s.now}
	return s.number
}

// askRelays asks a few random members to probe the target.
func (s *State) askRelays() {
	s.probe.indirect = true
	target := s.members[s.probe.target]
	if target == nil {
		return
	}
	candidates := slices.Clone(s.liveNames())
	s.rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	asked := 0
	for _, name := range candidates {
		if name == target.Name || asked == relays {
			continue
		}
		asked++
		request := Packet{Kind: Relay, Number: s.probe.number, Target: target.Name, Address: target.Address}
		s.send(name, s.members[name].Address, request)
	}
}

// relay probes a host on behalf of the sender of a Relay.
func (s *State) relay(e Received) {
	s.number++
	s.relayed[s.number] = relay{address: e.Address, number: e.Packet.Number, sent: s.now}
	s.send(e.Packet.Target, e.Packet.Address, Packet{Kind: Probe, Number: s.number, Digest: s.digest()})
}

// receiveAck records the answer to this host's own probe, or forwards one to the
// host that asked for it. A forwarded Ack names the host that answered as Target.
func (s *State) receiveAck(e Received) {
	forwarded := e.Packet.Target != ""
	name := e.From.Name
	if forwarded {
		name = e.Packet.Target
	}
	if name == s.probe.target && e.Packet.Number == s.probe.number {
		s.probe.answered = true
		return
	}
	request, ok := s.relayed[e.Packet.Number]
	if forwarded || !ok {
		return
	}
	delete(s.relayed, e.Packet.Number)
	s.send("", request.address, Packet{Kind: Ack, Number: request.number, Target: name})
}

// probeNonMembers probes, once per reprobePeriod, a host that failed or a hint
// that has not answered yet (rule 6). While no other member is alive it does so
// every cycle.
func (s *State) probeNonMembers() {
	if s.now.Before(s.reprobe) {
		return
	}
	s.reprobe = s.now.Add(reprobePeriod)
	if len(s.liveNames()) == 0 {
		s.reprobe = s.now.Add(cycle)
	}
	s.removeExpired()
	candidates := s.candidates()
	if len(candidates) == 0 {
		return
	}
	pick := candidates[s.rand.IntN(len(candidates))]
	s.number++
	s.send(pick.Host.Name, pick.Address, Packet{Kind: Probe, Number: s.number, Digest: s.digest()})
}

// candidates returns the hosts of the zone that may become members: failed ones,
// and hints that are not in the table.
func (s *State) candidates() []Hint {
	var candidates []Hint
	for _, name := range s.knownNames() {
		if m := s.members[name]; m.Status == Failed {
			candidates = append(candidates, Hint{Host: s.config.Self, Address: m.Address})
			candidates[len(candidates)-1].Host.Name = name
		}
	}
	for _, hint := range s.hints {
		own := hint.Host == s.config.Self || hint.Address == s.self.Address
		if hint.Host.Zone == s.config.Self.Zone && !own && s.members[hint.Host.Name] == nil {
			candidates = append(candidates, hint)
		}
	}
	return candidates
}

// removeExpired removes hosts that failed or left longer than tombstoneLife ago,
// and relayed probes without an answer.
func (s *State) removeExpired() {
	for name, m := range s.members {
		if m.Status > Suspect && s.now.Sub(m.failed) > tombstoneLife {
			delete(s.members, name)
			s.index = nil
		}
	}
	for number, request := range s.relayed {
		if s.now.Sub(request.sent) > cycle {
			delete(s.relayed, number)
		}
	}
}
