package view

import "slices"

// Alive reports whether a member is assumed to be up. It may be wrong: only the
// time to a takeover depends on it, not correctness.
type Alive func(Member) bool

// First returns the first view of a shard that has never had one.
func First(shard, zone string, owner Member) View {
	return View{Shard: shard, Zone: zone, Epoch: 1, Owner: owner}
}

// Successor returns the member that takes over after a failure of the owner: the
// first copy that is alive. It returns false if the owner is alive or no copy is.
func Successor(v View, alive Alive) (Member, bool) {
	if alive(v.Owner) {
		return Member{}, false
	}
	for _, member := range v.Copies {
		if alive(member) {
			return member, true
		}
	}
	return Member{}, false
}

// Takeover returns the next view, in which by is the owner and the other copies
// that are alive remain (rule 3). It returns false if by is not a copy.
func Takeover(v View, by Member, alive Alive) (View, bool) {
	if !v.HasCopy(by) {
		return View{}, false
	}
	next := v.next()
	next.Owner = by
	next.Copies = nil
	for _, member := range v.Copies {
		if member != by && alive(member) {
			next.Copies = append(next.Copies, member)
		}
	}
	return next, true
}

// Handover returns the next view for an owner that is about to stop: the first
// copy that is alive becomes the owner, and the old owner is no member. It
// returns false if no copy is alive.
func Handover(v View, alive Alive) (View, bool) {
	for _, member := range v.Copies {
		if alive(member) {
			return Takeover(v, member, alive)
		}
	}
	return View{}, false
}

// WithCopies returns the next view of the same owner, with the given copies.
// Each of them must be a copy in v already or have been brought up to date
// (rule 2).
func WithCopies(v View, copies []Member) View {
	next := v.next()
	next.Copies = slices.Clone(copies)
	return next
}

// Restart returns the next view of a shard of which no member survives (rule 5).
func Restart(v View, owner Member) View {
	next := v.next()
	next.LostMembers = append(slices.Clone(v.LostMembers), v.Members()...)
	next.Owner = owner
	next.Copies = nil
	next.LostEpoch = next.Epoch
	return next
}

// ClearLost returns the next view, without LostEpoch and LostMembers. The caller
// makes sure that the retention has passed and that no lost member can answer
// (rule 5).
func ClearLost(v View) View {
	next := v.next()
	next.LostEpoch = 0
	next.LostMembers = nil
	return next
}

// Renew returns the same view with one more renewal (rule 6).
func Renew(v View) View {
	v.Renewal++
	return v
}

// next returns a copy of the view under the next epoch, without renewals.
func (v View) next() View {
	v.Epoch++
	v.Renewal = 0
	v.Copies = slices.Clone(v.Copies)
	return v
}
