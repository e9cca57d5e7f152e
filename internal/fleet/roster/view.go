package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/identity"
)

// View is what a host knows of the fleet at one moment. It is not changed
// after it was made.
type View struct {
	Self identity.Host
	// Hosts are the members of the zone that count, this host included unless
	// it leaves, ordered by name.
	Hosts []HostView
	// Zones are all zones heard of lately, the own one included, by name.
	Zones []ZoneView
	// Rank is the place of this host among the members by age, zero for the
	// oldest. It is -1 while the host leaves.
	Rank int
	// Bridge reports whether this host is the bridge of its zone.
	Bridge bool
}

// HostView is a member of the zone with its last summary.
type HostView struct {
	Member
	// Age is how long ago the summary was heard; Version and Body are empty
	// before the first.
	Age     time.Duration
	Version uint64
	Body    []byte
}

// ZoneView is the last summary of a zone.
type ZoneView struct {
	Zone   string
	Age    time.Duration
	Bridge string
	Hosts  int
	Lowest uint64
	Body   []byte
}

// View returns what the host knows now.
func (s *State) View(now time.Time) View {
	s.now = now
	view := View{Self: s.config.Self, Rank: s.rank(), Bridge: s.isBridge()}
	for _, m := range s.counted() {
		host := HostView{Member: m}
		if m.Name == s.self.Name {
			host.Version, host.Body = s.version, s.body
		} else if n := s.notes[ShortID(m.Name)]; n != nil {
			host.Age, host.Version, host.Body = now.Sub(n.at), n.Version, n.Body
		}
		view.Hosts = append(view.Hosts, host)
	}
	for _, name := range s.zoneNames() {
		z := s.zones[name]
		if z == nil || now.Sub(z.at) > zoneLife {
			continue
		}
		view.Zones = append(view.Zones, ZoneView{
			Zone:   name,
			Age:    now.Sub(z.at),
			Bridge: z.bridge,
			Hosts:  int(z.Hosts),
			Lowest: z.Lowest,
			Body:   z.Body,
		})
	}
	return view
}

// counted returns the members that are not on hold (rule 5), ordered by name.
func (s *State) counted() []Member {
	var counted []Member
	if !s.leaving {
		counted = append(counted, s.self)
	}
	for _, name := range s.names() {
		if m := s.members[name]; !s.now.Before(m.hold) {
			counted = append(counted, m.Member)
		}
	}
	slices.SortFunc(counted, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return counted
}

// Rank returns the rank that View would show at the last step.
func (s *State) Rank() int { return s.rank() }

// bridgeRank is the rank of the bridge in a zone that has so many hosts.
const bridgeRank = 2

func (s *State) isBridge() bool {
	return s.rank() == min(bridgeRank, s.derive().count-1)
}

// rank is -1 while the host leaves.
func (s *State) rank() int {
	if s.leaving {
		return -1
	}
	return s.derive().rank
}
