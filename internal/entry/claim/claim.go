// Package claim lets a request that must not be repeated run at most once,
// whichever hosts its caller tries. Claims are kept in shards; package view
// defines which hosts keep a shard and how that changes.
//
// The rules:
//
//  1. The owner replies Granted only after every copy in its view has stored the
//     claim. An owner without copies renews its view at the platform instead.
//  2. A copy refuses an epoch lower than the highest that it has seen. An owner
//     that took over raises its own minimum epoch before it replies.
//  3. Members keep the union of the records that they receive, so that a late or
//     repeated message can't remove a claim.
//  4. One attempt gets Granted, however often it repeats its message.
//  5. A claim whose attempt has run out of time without a report of its end is
//     OutcomeUnknown, never Granted. It becomes Done if the report arrives late.
//  6. An owner whose view has a LostEpoch took the shard over without the
//     records of its earlier members. It replies OutcomeUnknown for each key
//     without a record, and drops the claims that were made before LostEpoch.
//     Keys that a host minted under LostEpoch or a later epoch are exempt. An
//     owner replies Moved for a key minted under a later epoch than its own.
//  7. A record is kept for Retention after its end. Callers may repeat a key for
//     that long. A full table replies Busy and drops no record early.
//  8. An owner that could not get a claim stored by every member withdraws it if
//     it opened the claim itself and never granted it. The records of it that
//     copies hold are replaced by the next claim. A copy that takes over before
//     then replies Running to other attempts, and OutcomeUnknown once the time of
//     the withdrawn attempt has passed.
//  9. While a host is being brought up to date, each Granted also needs its
//     acknowledgment. This lasts until the outcome of installing the view that
//     lists the host is certain. Such a host therefore holds every claim when it
//     becomes a copy, and replies continue meanwhile.
package claim

import (
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
)

// Limits of a shard's table.
const (
	// Retention is how long a record is kept after its attempt ended.
	Retention = time.Hour
	// MaxWithin is the longest time that an attempt may take.
	MaxWithin = time.Hour
	// DefaultMaxRows is the default of Table.MaxRows.
	DefaultMaxRows = 20_000
)

// row is a record in a Table, with the state that is not sent to other members.
type row struct {
	record    Record
	endsAt    time.Duration        // when the attempt has ended at the latest, by the member's clock
	stored    map[view.Member]bool // set by MarkStored
	epoch     uint64               // under which the claim was made or copied
	ungranted bool                 // this owner opened the claim and has not granted it
}

// Table is the state of one shard at one of its members. It has no clock: the
// parameter now of its methods is the time since an arbitrary start, by a clock
// that never goes back. A Table isn't safe for concurrent use.
type Table struct {
	Self  view.Member
	Shard string
	// MaxRows is the most records in the shard; zero means DefaultMaxRows.
	MaxRows     int
	currentView view.View
	minEpoch    uint64        // lowest epoch accepted, rule 2
	joining     []view.Member // hosts being brought up to date, rule 9
	rows        map[Key]*row
}

// Pending lists the steps that must complete before the owner can reply Granted.
type Pending struct {
	Copy  Copy          // the message to store
	To    []view.Member // members that must store Copy
	Renew bool          // the view must be renewed at the platform
}

// Any reports whether anything must complete.
func (p Pending) Any() bool { return p.Renew || len(p.To) > 0 }
