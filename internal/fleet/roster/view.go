package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/identity"
)

// View is an immutable snapshot of a host's state: the members of its zone and the
// summaries of all zones.
type View struct {
	Self identity.Host
	// Hosts are the members of the zone that are not on hold (rule 5), ordered by
	// name. This host is among them unless it is leaving.
	Hosts []HostView
	// Zones are the zones with a recent summary, the own zone included, ordered by
	// name.
	Zones []ZoneView
	// Rank is the rank of this host among Hosts by age, zero for the oldest. It is
	// -1 while the host is leaving.
	Rank int
	// Bridge reports whether this host is the bridge of its zone (rule 8).
	Bridge bool
}

// HostView is a member of the zone with its last summary.
type HostView struct {
	Member
	// Age is the time since the summary was received. Version and Body are empty
	// before the first one.
	Age     time.Duration
	Version uint64
	Body    []byte
}

// ZoneView is the last summary of a zone. Age is the time since it was received,
// Bridge the address of its bridge, Hosts the number of its members, and Lowest
// the lowest version of the configuration in force on them.
type ZoneView struct {
	Zone   string
	Age    time.Duration
	Bridge string
	Hosts  int
	Lowest uint64
	Body   []byte
}

// View returns a snapshot of the state at time now.
func (s *State) View(now time.Time) View {
	s.now = now
	view := View{Self: s.config.Self, Rank: s.rank(), Bridge: s.isBridge()}
	for _, m := range s.counted() {
		host := HostView{Member: m}
		if m.Name == s.self.Name {
			host.Version, host.Body = s.version, s.body
		} else if n := s.summaries[ShortID(m.Name)]; n != nil {
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
	for _, name := range s.liveNames() {
		if m := s.members[name]; !s.now.Before(m.hold) {
			counted = append(counted, m.Member)
		}
	}
	slices.SortFunc(counted, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return counted
}

// Rank returns the rank of this host at the time of the last step.
func (s *State) Rank() int { return s.rank() }

// bridgeRank is the rank of the bridge in a zone with enough hosts (rule 8).
const bridgeRank = 2

// isBridge reports whether this host is the bridge of its zone (rule 8).
func (s *State) isBridge() bool {
	return s.rank() == min(bridgeRank, s.derived().count-1)
}

// rank returns the rank of this host by age, or -1 while it is leaving.
func (s *State) rank() int {
	if s.leaving {
		return -1
	}
	return s.derived().rank
}
