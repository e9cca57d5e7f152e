package claim

import (
	"slices"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
)

// Step is the next change of a shard's view by this host.
type Step uint8

// The steps.
const (
	NoStep    Step = iota
	Create         // install the first view
	TakeOver       // become the owner in place of a failed one, as a copy
	Shrink         // remove failed copies
	Grow           // bring new copies up to date, then add them
	Restart        // become the owner of a shard that has lost every member
	ClearLost      // remove LostEpoch, which a Restart set, and thereby end the effect of rule 6
)

// RestartAfter is how long every member of a view must have been silent before
// another host takes the shard over without the records that they hold. A host
// that has just started has had no contact with the others yet and must not take
// them for failed, because after a Restart step the outcome of every earlier key
// is unknown.
const RestartAfter = 10 * time.Second

// PlanInput is the information from which Plan decides on a shard.
type PlanInput struct {
	Self  view.Member
	Shard string
	Zone  string    // of this host; a first view gets it
	View  view.View // zero when the platform has none
	Alive view.Alive
	// Hosts are the hosts that may keep the shard, most preferred first.
	Hosts []view.Member
	// Copies is the number of copies wanted besides the owner, at most
	// view.MaxCopies.
	Copies int
	// Age is the time since this host first saw the epoch of the view, by its own
	// clock.
	Age time.Duration
	// Silent is the time since a member of the view was last alive, by this
	// host's own clock. It is at most Age: before that, this host knows nothing
	// of the members.
	Silent time.Duration
	// ConfirmedDead reports whether the process of a member has certainly ended, so
	// that it can't answer any more. It is asked about View.LostMembers. Without it,
	// Plan never returns ClearLost.
	ConfirmedDead func(view.Member) bool
}

// Plan returns the next step and the view to install. If all hosts agree on the
// view, on Hosts and on which members are alive, at most one of them gets a step
// other than NoStep. If they don't, the conditional update of the view decides.
// With NoStep, the returned view is zero.
func Plan(in PlanInput) (Step, view.View) {
	if in.View.Epoch == 0 {
		return in.create()
	}
	if in.View.Owner == in.Self {
		return in.planOwned()
	}
	if by, ok := view.Successor(in.View, in.Alive); ok && by == in.Self {
		next, _ := view.Takeover(in.View, in.Self, in.Alive)
		return TakeOver, next
	}
	return in.restart()
}

// isPreferred reports whether this host is the most preferred one for the shard.
func (in PlanInput) isPreferred() bool {
	return len(in.Hosts) > 0 && in.Hosts[0] == in.Self
}

// create plans the first view of a shard, at the preferred host.
func (in PlanInput) create() (Step, view.View) {
	if !in.isPreferred() {
		return NoStep, view.View{}
	}
	return Create, view.First(in.Shard, in.Zone, in.Self)
}

// restart plans for a shard whose view has no member that can take it over: after
// RestartAfter without a living member, the preferred host restarts it.
func (in PlanInput) restart() (Step, view.View) {
	if !in.isPreferred() || in.Silent < RestartAfter {
		return NoStep, view.View{}
	}
	return Restart, view.Restart(in.View, in.Self)
}

// planOwned plans for a shard that this host owns.
func (in PlanInput) planOwned() (Step, view.View) {
	living := slices.DeleteFunc(slices.Clone(in.View.Copies), func(m view.Member) bool { return !in.Alive(m) })
	if len(living) < len(in.View.Copies) {
		return Shrink, view.WithCopies(in.View, living)
	}
	if in.canClearLost() {
		return ClearLost, view.ClearLost(in.View)
	}
	wanted := in.addCopies(living)
	if len(wanted) > len(living) {
		return Grow, view.WithCopies(in.View, wanted)
	}
	return NoStep, view.View{}
}

// canClearLost reports whether every record of the views before LostEpoch has
// expired and none of their members can answer any more.
func (in PlanInput) canClearLost() bool {
	if in.View.LostEpoch == 0 || in.Age < Retention+MaxWithin || in.ConfirmedDead == nil {
		return false
	}
	return !slices.ContainsFunc(in.View.LostMembers, func(m view.Member) bool { return !in.ConfirmedDead(m) })
}

// addCopies appends living hosts to copies, up to the wanted number.
func (in PlanInput) addCopies(copies []view.Member) []view.Member {
	for _, host := range in.Hosts {
		if len(copies) >= min(in.Copies, view.MaxCopies) {
			break
		}
		if host.Host == in.Self.Host || !in.Alive(host) || containsHost(copies, host.Host) {
			continue
		}
		copies = append(copies, host)
	}
	return copies
}

func containsHost(members []view.Member, host string) bool {
	return slices.ContainsFunc(members, func(m view.Member) bool { return m.Host == host })
}
