package roster

import (
	"cmp"
	"slices"
	"time"
)

// index caches values that are derived from the membership table and needed for
// every packet. It is rebuilt after a change of the table or the end of a hold.
type index struct {
	known       []string  // every other host in the table, ordered
	live        []string  // those of them that are alive or suspect
	places      []string  // the ring within the zone: live and this host, ordered
	digest      uint32    // of this host and live, see State.digest
	hasSuspects bool      // one of live is suspect
	rank        int       // of this host among the members that are not on hold
	count       int       // of the members that are not on hold, this host included
	until       time.Time // end of the first hold, zero for none
}

// derived returns the index, rebuilt if it is out of date.
func (s *State) derived() *index {
	if s.index != nil && (s.index.until.IsZero() || s.now.Before(s.index.until)) {
		return s.index
	}
	made := &index{digest: s.self.digest(), count: 1}
	for name, m := range s.members {
		made.known = append(made.known, name)
		if m.Status <= Suspect {
			made.live = append(made.live, name)
			made.digest ^= m.digest()
			made.hasSuspects = made.hasSuspects || m.Status == Suspect
			made.rankMember(s, m)
		}
	}
	slices.Sort(made.known)
	slices.Sort(made.live)
	made.places = append(slices.Clone(made.live), s.self.Name)
	slices.Sort(made.places)
	s.index = made
	return made
}

// rankMember includes a member that is not on hold (rule 5) in the count and in
// the rank of this host. Ranks go by age, the oldest first, so that a new host
// does not displace the bridge.
func (i *index) rankMember(s *State, m *member) {
	if s.now.Before(m.hold) {
		if i.until.IsZero() || m.hold.Before(i.until) {
			i.until = m.hold
		}
		return
	}
	i.count++
	if cmp.Or(cmp.Compare(m.Incarnation, s.self.Incarnation), cmp.Compare(m.Name, s.self.Name)) < 0 {
		i.rank++
	}
}

// liveNames returns the other members that are alive or suspect, ordered. The
// caller must not change the result.
func (s *State) liveNames() []string { return s.derived().live }

// knownNames returns every other host in the table, ordered. The caller must
// not change the result.
func (s *State) knownNames() []string { return s.derived().known }

// places returns the hosts of the ring within the zone, ordered by name. The
// caller must not change the result.
func (s *State) places() []string { return s.derived().places }

// digest returns a hash of the names and incarnations of this host and the members
// that are alive or suspect. Hosts compare it to detect that their tables differ.
func (s *State) digest() uint32 { return s.derived().digest }
