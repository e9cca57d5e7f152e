// Package view manages the views of shards. A shard is a part of the state that
// hosts replicate, such as claims or usage. A view names the hosts that keep the
// state of a shard under an epoch: one owner and its copies. It is an object of
// the platform that is written only when it changes, so that a shard with copies
// needs no renewals and keeps working through a platform outage.
//
// The rules:
//
//  1. A view is replaced only by a conditional update of the view that it was
//     derived from. The epoch of a shard grows by one with each view.
//  2. Every member of an installed view holds the state behind every answer of
//     the earlier owners. The owner therefore brings a new copy up to date, with
//     its answers paused, before it installs the view that lists the copy.
//  3. A takeover keeps only surviving members, because only they hold the
//     state. The new owner was a copy. New copies are added by a later view.
//  4. The new owner refuses the old epoch, as a copy of the old view, before it
//     answers any request. The old owner needs the acknowledgment of every copy
//     for an answer, so that it can't continue, however long it was paused.
//  5. If no member survives, LostEpoch is set in the next view, because its owner
//     can't know the earlier answers. It is cleared only when the retention of
//     all these answers has passed and no earlier member can answer.
//  6. An owner without copies has no host that could refuse it. It renews the
//     view object itself, by conditional update, before each batch of answers.
package view

import (
	"fmt"

	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// MaxCopies is the largest number of copies in a view.
const MaxCopies = 4

// Member is one process of a host. A restarted host has a higher incarnation and
// has lost the state of the earlier process.
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

// View names the members that keep the state of a shard.
type View struct {
	Shard  string   `cbor:"1,keyasint" json:"shard"`
	Zone   string   `cbor:"2,keyasint" json:"zone"` // home availability zone
	Epoch  uint64   `cbor:"3,keyasint" json:"epoch"`
	Owner  Member   `cbor:"4,keyasint" json:"owner"`
	Copies []Member `cbor:"5,keyasint,omitempty" json:"copies,omitempty"`
	// LostEpoch is the epoch of the latest view that was made because no member
	// survived, zero if there is none or it was cleared (rule 5).
	LostEpoch uint64 `cbor:"6,keyasint,omitempty" json:"lost,omitempty"`
	// LostMembers are the members of the views before LostEpoch, which may still
	// answer.
	LostMembers []Member `cbor:"7,keyasint,omitempty" json:"gone,omitempty"`
	// Renewal counts the renewals by an owner without copies (rule 6).
	Renewal uint64 `cbor:"8,keyasint,omitempty" json:"renewal,omitempty"`
	// Version is the version of the platform object; it is not part of its value.
	Version uint64 `cbor:"9,keyasint,omitempty" json:"-"`
}

// Check implements wire.Message. It requires a shard, an epoch, and at most
// MaxCopies copies, with the name of each member's host and none twice. Zone may be
// empty.
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
	return v.checkDuplicates()
}

// checkDuplicates returns an error if two members are on the same host.
func (v View) checkDuplicates() error {
	seen := map[string]bool{}
	for _, member := range v.Members() {
		if seen[member.Host] {
			return &wire.FieldError{Type: "View", Field: "Copies", Reason: "include a host that the view already lists"}
		}
		seen[member.Host] = true
	}
	return nil
}

// Members returns the owner and the copies.
func (v View) Members() []Member {
	return append([]Member{v.Owner}, v.Copies...)
}

// HasCopy reports whether the member is a copy in the view.
func (v View) HasCopy(member Member) bool {
	for _, other := range v.Copies {
		if other == member {
			return true
		}
	}
	return false
}
