package roster

import (
	"cmp"
	"slices"
	"time"
)

// index holds what is derived from the table of members and used on every
// packet. It is made anew after a change.
type index struct {
	all    []string // every other host that is remembered, ordered
	up     []string // those of them that are alive or suspect
	places []string // the in-zone ring: up and this host, ordered
	digest uint32
	doubt  bool      // one of up is suspect
	rank   int       // of this host among those that count
	count  int       // of the hosts that count, this one included
	until  time.Time // end of the first hold, zero for none
}

func (s *State) derive() *index {
	if s.index != nil && (s.index.until.IsZero() || s.now.Before(s.index.until)) {
		return s.index
	}
	made := &index{digest: s.self.digest(), count: 1}
	for name, m := range s.members {
		made.all = append(made.all, name)
		if m.Status <= Suspect {
			made.up = append(made.up, name)
			made.digest ^= m.digest()
			made.doubt = made.doubt || m.Status == Suspect
			made.weigh(s, m)
		}
	}
	slices.Sort(made.all)
	slices.Sort(made.up)
	made.places = append(slices.Clone(made.up), s.self.Name)
	slices.Sort(made.places)
	s.index = made
	return made
}

// weigh counts a member that is not on hold (rule 5) and ranks this host by
// age, the oldest first, so that a new host does not displace the bridge.
func (i *index) weigh(s *State, m *member) {
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

// names returns the other members that are alive or suspect, ordered. The
// caller must not change it.
func (s *State) names() []string { return s.derive().up }

// sortedNames returns every other host that is remembered, under the same rule.
func (s *State) sortedNames() []string { return s.derive().all }

// places returns the hosts of the in-zone ring, under the same rule.
func (s *State) places() []string { return s.derive().places }

// digest sums up the table of members, so that two hosts see a difference.
func (s *State) digest() uint32 { return s.derive().digest }
