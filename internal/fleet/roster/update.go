package roster

import (
	"encoding/binary"
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"
)

// update is a membership update that is still to be piggybacked on packets.
type update struct {
	Member
	remaining int // number of packets that still carry it
}

// mergeSender records the sender of a packet as alive under the packet's
// incarnation, if that is new. A sender that is still recorded as suspect, failed
// or left gets a packet with its entry, so that it can refute it.
func (s *State) mergeSender(e Received) {
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
	if known.Status > Alive && s.now.Sub(known.tableSent) >= tableInterval {
		known.tableSent = s.now
		s.send(known.Name, e.Address, Packet{Kind: Table}) // nextUpdates adds its entry
	}
}

// merge applies an update by rule 3 and passes it on.
func (s *State) merge(m Member) {
	if m.Name == s.self.Name {
		s.refute(m)
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
	s.enqueueUpdate(m)
	s.statusChanged(known, before)
}

// supersedes reports whether an update replaces the known entry (rule 3).
func supersedes(next, known Member) bool {
	if next.Incarnation != known.Incarnation {
		return next.Incarnation > known.Incarnation
	}
	return next.Status > known.Status
}

// statusChanged sets the timers of a member and reports joins and failures,
// after an update replaced its entry.
func (s *State) statusChanged(m *member, before Status) {
	switch m.Status {
	case Alive:
		m.deadline = time.Time{}
		if before > Suspect {
			s.admit(m)
		}
	case Suspect:
		m.deadline = s.now.Add(suspicionTimeout * time.Duration(1+s.score))
		if before > Suspect {
			s.admit(m)
		}
	case Failed, Left:
		m.failed = s.now
		if before <= Suspect {
			s.emit(MemberChanged{Member: m.Member})
		}
	}
}

// admit makes a host a member, on hold first if it failed recently (rule 5).
func (s *State) admit(m *member) {
	if m.failed.IsZero() || s.now.Sub(m.failed) > holdMemory {
		m.returns = 0
	} else {
		m.returns++
		s.index = nil
		m.hold = s.now.Add(min(firstHold<<min(m.returns-1, 10), maxHold))
	}
	s.emit(MemberChanged{Member: m.Member})
}

// refute answers an untrue update about this host with a higher incarnation. It
// also overtakes a higher incarnation that an earlier process of this host used.
func (s *State) refute(m Member) {
	untrue := m.Status != s.self.Status && m.Incarnation >= s.self.Incarnation
	moved := m.Address != s.self.Address && m.Incarnation >= s.self.Incarnation
	if !untrue && !moved && m.Incarnation <= s.self.Incarnation {
		return
	}
	s.self.Incarnation = m.Incarnation + 1
	s.index = nil
	s.enqueueUpdate(s.self)
}

// leave announces to every member that this host stops as planned.
func (s *State) leave() {
	s.self.Status, s.leaving = Left, true
	s.self.Incarnation++
	s.index = nil
	s.enqueueUpdate(s.self)
	for _, name := range s.liveNames() {
		s.send(name, s.members[name].Address, Packet{Kind: Table, Updates: []Member{s.self}})
	}
}

// expireSuspects declares suspects failed whose suspicion timeout has passed
// (rule 2).
func (s *State) expireSuspects() {
	if !s.derived().hasSuspects {
		return
	}
	for _, name := range s.knownNames() {
		m := s.members[name]
		if m.Status == Suspect && !s.now.Before(m.deadline) {
			failed := m.Member
			failed.Status = Failed
			s.merge(failed)
		}
	}
}

// enqueueUpdate schedules an update for sending. It replaces an older update
// about the same host.
func (s *State) enqueueUpdate(m Member) {
	repeats := repeatFactor * bits.Len(uint(len(s.members)+1))
	for i := range s.updates {
		if s.updates[i].Name == m.Name {
			s.updates[i] = update{Member: m, remaining: repeats}
			return
		}
	}
	s.updates = append(s.updates, update{Member: m, remaining: repeats})
}

// nextUpdates returns the updates to piggyback on a packet to a host. If that
// host itself is not recorded as alive, its own entry is always among them, so
// that it can refute it.
func (s *State) nextUpdates(to string) []Member {
	var selected []Member
	if m := s.members[to]; m != nil && m.Status != Alive {
		selected = append(selected, m.Member)
	}
	kept := s.updates[:0]
	for _, u := range s.updates {
		if len(selected) < maxUpdates {
			selected = append(selected, u.Member)
			u.remaining--
		}
		if u.remaining > 0 {
			kept = append(kept, u)
		}
	}
	s.updates = kept
	return selected
}

// digest returns the hash of a live member that enters the digest of the table.
func (m Member) digest() uint32 {
	data := binary.BigEndian.AppendUint32([]byte(m.Name), m.Incarnation)
	return uint32(xxhash.Sum64(data))
}

// syncTable sends this host and all live members to a host whose digest differs, once no
// update is queued here any more (rule 4). The first table for a host does not
// wait for the queue.
func (s *State) syncTable(e Received) {
	known := s.members[e.From.Name]
	same := e.Packet.Digest == 0 || e.Packet.Digest == s.digest()
	if same || known == nil || s.now.Sub(known.tableSent) < tableInterval {
		return
	}
	if len(s.updates) > 0 && !known.tableSent.IsZero() {
		return
	}
	known.tableSent = s.now
	table := []Member{s.self}
	for _, name := range s.liveNames() {
		table = append(table, s.members[name].Member)
	}
	for len(table) > 0 {
		n := min(len(table), maxTable)
		s.send(known.Name, e.Address, Packet{Kind: Table, Updates: table[:n:n]})
		table = table[n:]
	}
}
