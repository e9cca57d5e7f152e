package roster

import (
	"encoding/binary"
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"
)

// update is a statement on its way to the zone.
type update struct {
	Member
	left int // how often it is still sent
}

// meet takes what a packet tells of its sender: that it is there, under its
// incarnation.
func (s *State) meet(e Received) {
	sender := Member{Name: e.From.Name, Address: e.Address, Incarnation: e.Packet.Incarnation}
	known := s.members[sender.Name]
	if sender.Incarnation == 0 {
		return
	}
	if known == nil {
		s.merge(sender)
		return
	}
	if sender.Incarnation > known.Incarnation {
		s.merge(sender)
	}
	if known.Status > Alive && s.now.Sub(known.tabled) >= tablePause {
		known.tabled = s.now
		s.send(known.Name, e.Address, Packet{Kind: Table}) // brings it what is held against it
	}
}

// merge applies rule 3.
func (s *State) merge(m Member) {
	if m.Name == s.self.Name {
		s.object(m)
		return
	}
	known := s.members[m.Name]
	if known == nil {
		known = &member{Member: Member{Name: m.Name, Status: Left}}
		s.members[m.Name] = known
	} else if !supersedes(m, known.Member) {
		return
	}
	before := known.Status
	known.Member = m
	s.index = nil
	s.queue(m)
	s.settle(known, before)
}

func supersedes(next, known Member) bool {
	if next.Incarnation != known.Incarnation {
		return next.Incarnation > known.Incarnation
	}
	return next.Status > known.Status
}

// settle draws the consequences of a changed status.
func (s *State) settle(m *member, before Status) {
	switch m.Status {
	case Alive:
		m.deadline = time.Time{}
		if before > Suspect {
			s.welcome(m)
		}
	case Suspect:
		m.deadline = s.now.Add(suspicion * time.Duration(1+s.score))
		if before > Suspect {
			s.welcome(m)
		}
	case Failed, Left:
		m.failed = s.now
		if before <= Suspect {
			s.do(MemberChanged{Member: m.Member})
		}
	}
}

// welcome counts a host as a member, after a hold if it failed lately (rule 5).
func (s *State) welcome(m *member) {
	if m.failed.IsZero() || s.now.Sub(m.failed) > holdMemory {
		m.returns = 0
	} else {
		m.returns++
		s.index = nil
		m.hold = s.now.Add(min(firstHold<<min(m.returns-1, 10), maxHold))
	}
	s.do(MemberChanged{Member: m.Member})
}

// object answers an untrue statement on this host, and one under a higher
// incarnation, which an earlier process of this host has left behind.
func (s *State) object(m Member) {
	untrue := m.Status != s.self.Status && m.Incarnation >= s.self.Incarnation
	moved := m.Address != s.self.Address && m.Incarnation >= s.self.Incarnation
	if !untrue && !moved && m.Incarnation <= s.self.Incarnation {
		return
	}
	s.self.Incarnation = m.Incarnation + 1
	s.index = nil
	s.queue(s.self)
}

func (s *State) leave() {
	s.self.Status, s.leaving = Left, true
	s.self.Incarnation++
	s.index = nil
	s.queue(s.self)
	for _, name := range s.names() {
		s.send(name, s.members[name].Address, Packet{Kind: Table, Updates: []Member{s.self}})
	}
}

// tickSuspects runs rule 2.
func (s *State) tickSuspects() {
	if !s.derive().doubt {
		return
	}
	for _, name := range s.sortedNames() {
		m := s.members[name]
		if m.Status == Suspect && !s.now.Before(m.deadline) {
			failed := m.Member
			failed.Status = Failed
			s.merge(failed)
		}
	}
}

// queue puts a statement on its way, in place of an older one on the host.
func (s *State) queue(m Member) {
	repeats := repeatFactor * bits.Len(uint(len(s.members)+1))
	for i := range s.updates {
		if s.updates[i].Name == m.Name {
			s.updates[i] = update{Member: m, left: repeats}
			return
		}
	}
	s.updates = append(s.updates, update{Member: m, left: repeats})
}

// takeUpdates returns the statements that ride on a packet to a host. What is
// held against the host itself always does, so that it can object.
func (s *State) takeUpdates(to string) []Member {
	var taken []Member
	if m := s.members[to]; m != nil && m.Status != Alive {
		taken = append(taken, m.Member)
	}
	kept := s.updates[:0]
	for _, u := range s.updates {
		if len(taken) < maxUpdates {
			taken = append(taken, u.Member)
			u.left--
		}
		if u.left > 0 {
			kept = append(kept, u)
		}
	}
	s.updates = kept
	return taken
}

func (m Member) digest() uint32 {
	data := binary.BigEndian.AppendUint32([]byte(m.Name), m.Incarnation)
	return uint32(xxhash.Sum64(data))
}

// compare sends the whole table to a host whose table differs once no
// statement is under way here any more (rule 4).
func (s *State) compare(e Received) {
	known := s.members[e.From.Name]
	same := e.Packet.Digest == 0 || e.Packet.Digest == s.digest()
	if same || known == nil || s.now.Sub(known.tabled) < tablePause {
		return
	}
	if len(s.updates) > 0 && !known.tabled.IsZero() {
		return
	}
	known.tabled = s.now
	table := []Member{s.self}
	for _, name := range s.names() {
		table = append(table, s.members[name].Member)
	}
	for len(table) > 0 {
		n := min(len(table), maxTable)
		s.send(known.Name, e.Address, Packet{Kind: Table, Updates: table[:n:n]})
		table = table[n:]
	}
}
