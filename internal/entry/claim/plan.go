package claim

import (
	"slices"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
)

// Step is what a host does next about the view of a shard.
type Step uint8

// The steps. Grow first brings the new copies up to date.
const (
	NoStep Step = iota
	Create
	TakeOver
	Shrink
	Grow
	Restart
	Recover
)

// RestartAfter is how long every member of a view must have been silent before
// another host takes the shard without what they hold. A host that has just
// started has not heard of the others yet; it must not take them for lost,
// because a restart makes each key of the shard's past unknown.
const RestartAfter = 10 * time.Second

// PlanInput is what the plan of a shard depends on.
type PlanInput struct {
	Self  view.Member
	Shard string
	Zone  string
	View  view.View // zero when the platform has none
	Alive view.Alive
	// Hosts are the hosts that may keep the shard, most wanted first.
	Hosts []view.Member
	// Copies is the number of copies wanted.
	Copies int
	// Age is the time since this host knows the view, by its own clock.
	Age time.Duration
	// Silent is the time for which no member of the view has been alive, by
	// this host's own clock.
	Silent time.Duration
	// ConfirmedDead says that no member of a lost view can answer any more.
	ConfirmedDead func(view.Member) bool
}

// Plan returns the next step and the view to install. At most one host plans
// anything but Rest when all agree on who is alive; when they don't, the
// conditional update decides.
func Plan(s PlanInput) (Step, view.View) {
	if s.View.Epoch == 0 {
		return s.create()
	}
	if s.View.Owner == s.Self {
		return s.own()
	}
	if by, ok := view.Successor(s.View, s.Alive); ok && by == s.Self {
		next, _ := view.Takeover(s.View, s.Self, s.Alive)
		return TakeOver, next
	}
	return s.restart()
}

func (s PlanInput) first() bool {
	return len(s.Hosts) > 0 && s.Hosts[0] == s.Self
}

func (s PlanInput) create() (Step, view.View) {
	if !s.first() {
		return NoStep, view.View{}
	}
	return Create, view.First(s.Shard, s.Zone, s.Self)
}

func (s PlanInput) restart() (Step, view.View) {
	if !s.first() || s.Silent < RestartAfter {
		return NoStep, view.View{}
	}
	return Restart, view.Restart(s.View, s.Self)
}

func (s PlanInput) own() (Step, view.View) {
	living := slices.DeleteFunc(slices.Clone(s.View.Copies), func(m view.Member) bool { return !s.Alive(m) })
	if len(living) < len(s.View.Copies) {
		return Shrink, view.WithCopies(s.View, living)
	}
	if s.recovers() {
		return Recover, view.ClearLost(s.View)
	}
	wanted := s.add(living)
	if len(wanted) > len(living) {
		return Grow, view.WithCopies(s.View, wanted)
	}
	return NoStep, view.View{}
}

func (s PlanInput) recovers() bool {
	if s.View.LostEpoch == 0 || s.Age < Retention+MaxWithin || s.ConfirmedDead == nil {
		return false
	}
	return !slices.ContainsFunc(s.View.LostMembers, func(m view.Member) bool { return !s.ConfirmedDead(m) })
}

func (s PlanInput) add(copies []view.Member) []view.Member {
	for _, host := range s.Hosts {
		if len(copies) >= min(s.Copies, view.MaxCopies) {
			break
		}
		if host.Host == s.Self.Host || !s.Alive(host) || named(copies, host.Host) {
			continue
		}
		copies = append(copies, host)
	}
	return copies
}

func named(members []view.Member, host string) bool {
	return slices.ContainsFunc(members, func(m view.Member) bool { return m.Host == host })
}
