package roster

import "slices"

// tickProbe asks others once a probe has gone without an answer (rule 1).
func (s *State) tickProbe() {
	waited := s.now.Sub(s.probe.sent)
	if s.probe.target != "" && !s.probe.answered && !s.probe.indirect && waited >= directTimeout {
		s.askRelays()
	}
}

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
		doubt := target.Member
		doubt.Status = Suspect
		s.merge(doubt)
	}
}

// startProbe returns the number under which a packet to the host is a probe.
func (s *State) startProbe(target *member) uint32 {
	s.number++
	s.probe = probe{target: target.Name, number: s.number, sent: s.now}
	return s.number
}

func (s *State) askRelays() {
	s.probe.indirect = true
	target := s.members[s.probe.target]
	if target == nil {
		return
	}
	helpers := slices.Clone(s.names())
	s.rand.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	asked := 0
	for _, name := range helpers {
		if name == target.Name || asked == relays {
			continue
		}
		asked++
		request := Packet{Kind: Relay, Number: s.probe.number, Target: target.Name, Address: target.Address}
		s.send(name, s.members[name].Address, request)
	}
}

// relay probes a host for another one.
func (s *State) relay(e Received) {
	s.number++
	s.relayed[s.number] = relay{address: e.Address, number: e.Packet.Number, sent: s.now}
	s.send(e.Packet.Target, e.Packet.Address, Packet{Kind: Probe, Number: s.number, Digest: s.digest()})
}

// acked takes the answer to an own probe, or passes one on. A passed-on Ack
// names its Target.
func (s *State) acked(e Received) {
	passedOn := e.Packet.Target != ""
	name := e.From.Name
	if passedOn {
		name = e.Packet.Target
	}
	if name == s.probe.target && e.Packet.Number == s.probe.number {
		s.probe.answered = true
		return
	}
	request, ok := s.relayed[e.Packet.Number]
	if passedOn || !ok {
		return
	}
	delete(s.relayed, e.Packet.Number)
	s.send("", request.address, Packet{Kind: Ack, Number: request.number, Target: name})
}

// tickRevive looks from time to time for a host that failed, or that was named
// to this host but never answered (rule 6).
func (s *State) tickRevive() {
	if s.now.Before(s.revive) {
		return
	}
	s.revive = s.now.Add(revivePeriod)
	if len(s.names()) == 0 {
		s.revive = s.now.Add(cycle)
	}
	s.bury()
	lost := s.lost()
	if len(lost) == 0 {
		return
	}
	pick := lost[s.rand.IntN(len(lost))]
	s.number++
	s.send(pick.Host.Name, pick.Address, Packet{Kind: Probe, Number: s.number, Digest: s.digest()})
}

// lost returns the hosts of the zone that are worth a probe though they are
// not members.
func (s *State) lost() []Hint {
	var lost []Hint
	for _, name := range s.sortedNames() {
		if m := s.members[name]; m.Status == Failed {
			lost = append(lost, Hint{Host: s.config.Self, Address: m.Address})
			lost[len(lost)-1].Host.Name = name
		}
	}
	for _, hint := range s.hints {
		own := hint.Host == s.config.Self || hint.Address == s.self.Address
		if hint.Host.Zone == s.config.Self.Zone && !own && s.members[hint.Host.Name] == nil {
			lost = append(lost, hint)
		}
	}
	return lost
}

// bury forgets hosts that failed long ago and probes passed on in vain.
func (s *State) bury() {
	for name, m := range s.members {
		if m.Status > Suspect && s.now.Sub(m.failed) > tombstone {
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
