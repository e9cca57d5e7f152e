package view

import "slices"

// Alive says whether a member is believed to answer. It may be wrong; only
// speed depends on it.
type Alive func(Member) bool

// First returns the first view of a shard that never had one.
func First(shard, zone string, owner Member) View {
	return View{Shard: shard, Zone: zone, Epoch: 1, Owner: owner}
}

// Successor returns the member that takes over when the owner has failed: the
// first copy that lives. It returns false while the owner lives or when no
// copy does.
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

// Takeover returns the next view, owned by a copy of this one. Rule 3.
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

// Handover returns the next view, in which the first copy that lives owns the
// shard and the owner, which is about to stop, is no member. It returns false
// when no copy lives.
func Handover(v View, alive Alive) (View, bool) {
	for _, member := range v.Copies {
		if alive(member) {
			return Takeover(v, member, alive)
		}
	}
	return View{}, false
}

// WithCopies returns the next view of an owner that sets its copies. Every copy
// must live or be up to date, rule 2.
func WithCopies(v View, copies []Member) View {
	next := v.next()
	next.Copies = slices.Clone(copies)
	return next
}

// Restart returns the view of a shard of which no member survives. Rule 5.
func Restart(v View, owner Member) View {
	next := v.next()
	next.LostMembers = append(slices.Clone(v.LostMembers), v.Members()...)
	next.Owner = owner
	next.Copies = nil
	next.LostEpoch = next.Epoch
	return next
}

// ClearLost returns the view without the mark Lost. The caller makes sure that
// the retention has passed and that no member in Gone can answer.
func ClearLost(v View) View {
	next := v.next()
	next.LostEpoch = 0
	next.LostMembers = nil
	return next
}

// Renew returns the same view with one more confirmation. Rule 6.
func Renew(v View) View {
	v.Renewal++
	return v
}

func (v View) next() View {
	v.Epoch++
	v.Renewal = 0
	v.Copies = slices.Clone(v.Copies)
	return v
}
