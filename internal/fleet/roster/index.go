package roster

import "slices"

// index holds what is derived from the table of members and used on every
// packet. It is made anew after a change.
type index struct {
	all    []string // every other host that is remembered, ordered
	up     []string // those of them that are alive or suspect
	places []string // the in-zone ring: up and this host, ordered
	digest uint32
}

func (s *State) derive() *index {
	if s.index != nil {
		return s.index
	}
	made := &index{digest: s.self.digest()}
	for name, m := range s.members {
		made.all = append(made.all, name)
		if m.Status <= Suspect {
			made.up = append(made.up, name)
			made.digest ^= m.digest()
		}
	}
	slices.Sort(made.all)
	slices.Sort(made.up)
	made.places = append(slices.Clone(made.up), s.self.Name)
	slices.Sort(made.places)
	s.index = made
	return made
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
