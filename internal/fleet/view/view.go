// Package view holds the views of shards. A view names the hosts that keep the
// state of a shard: one owner and its copies, under an epoch. It is an object
// of the platform, written only when it changes, so that shards need no
// renewals and go on through a platform outage.
//
// The rules:
//
//  1. A view is replaced only by a conditional update of the view that it was
//     derived from. Epochs of a shard grow by one with each view.
//  2. Every member of an installed view holds all that any earlier owner
//     answered. The owner therefore brings a new copy up to date, with its
//     answers paused, before it installs the view that lists it.
//  3. A takeover keeps only surviving members, because only they hold the
//     state; the new owner was a copy. New copies follow in a later view.
//  4. The new owner refuses the old epoch, as a copy of the old view, before
//     it answers anything. The old owner needs the acknowledgment of every
//     copy, so that it can't go on, however long it was paused.
//  5. If no member survives, the next view is marked Lost: the owner can't
//     know what was answered before. The mark goes only when what was
//     answered has passed its retention and no earlier member can answer.
//  6. An owner without copies has nobody who could refuse it. It renews the
//     view object itself, by conditional update, before each batch of answers.
package view

import (
	"fmt"

	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// MaxCopies is the most copies that a view lists.
const MaxCopies = 4

// Member is one process of a host: a restarted host has a higher incarnation
// and has lost what the earlier one held.
type Member struct {
	Host        string `cbor:"1,keyasint" json:"host"`
	Incarnation uint64 `cbor:"2,keyasint" json:"incarnation"`
}

// Check implements wire.Message.
func (m Member) Check() error {
	if m.Host == "" {
		return &wire.FieldError{Type: "Member", Field: "Host", Reason: "is empty"}
	}
	return nil
}

func (m Member) String() string { return fmt.Sprintf("%s#%d", m.Host, m.Incarnation) }

// View says who keeps a shard.
type View struct {
	Shard  string   `cbor:"1,keyasint" json:"shard"`
	Zone   string   `cbor:"2,keyasint" json:"zone"` // home availability zone
	Epoch  uint64   `cbor:"3,keyasint" json:"epoch"`
	Owner  Member   `cbor:"4,keyasint" json:"owner"`
	Copies []Member `cbor:"5,keyasint,omitempty" json:"copies,omitempty"`
	// LostEpoch is the epoch at which no earlier member survived, zero if none.
	LostEpoch uint64 `cbor:"6,keyasint,omitempty" json:"lost,omitempty"`
	// LostMembers lists the members of lost views, which may still answer.
	LostMembers []Member `cbor:"7,keyasint,omitempty" json:"gone,omitempty"`
	// Renewal counts the confirmations of an owner without copies, rule 6.
	Renewal uint64 `cbor:"8,keyasint,omitempty" json:"renewal,omitempty"`
	// Version is the version of the object; it is not part of its value.
	Version uint64 `cbor:"9,keyasint,omitempty" json:"-"`
}

// Check implements wire.Message.
func (v View) Check() error {
	switch {
	case v.Shard == "":
		return &wire.FieldError{Type: "View", Field: "Shard", Reason: "is empty"}
	case v.Epoch == 0:
		return &wire.FieldError{Type: "View", Field: "Epoch", Reason: "is zero"}
	case len(v.Copies) > MaxCopies:
		return &wire.FieldError{Type: "View", Field: "Copies", Reason: "are too many"}
	}
	for _, member := range v.Members() {
		if err := member.Check(); err != nil {
			return err
		}
	}
	return v.checkTwice()
}

func (v View) checkTwice() error {
	seen := map[string]bool{}
	for _, member := range v.Members() {
		if seen[member.Host] {
			return &wire.FieldError{Type: "View", Field: "Copies", Reason: "name a host twice"}
		}
		seen[member.Host] = true
	}
	return nil
}

// Members returns the owner and the copies.
func (v View) Members() []Member {
	return append([]Member{v.Owner}, v.Copies...)
}

// HasCopy says whether the member is a copy in the view.
func (v View) HasCopy(member Member) bool {
	for _, other := range v.Copies {
		if other == member {
			return true
		}
	}
	return false
}
