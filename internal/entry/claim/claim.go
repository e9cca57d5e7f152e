// Package claim lets a request that may not be repeated run at most once,
// whichever hosts its caller tries. Claims live in shards; package view says
// which hosts keep a shard and how that changes.
//
// The rules:
//
//  1. The owner replies New only after every copy in its view has stored the
//     claim. An owner without copies renews its view at the platform instead.
//  2. A copy refuses an epoch lower than the highest that it has seen. An
//     owner that took over raises its own floor before it replies.
//  3. Members keep the union of what they are told, so that a late or repeated
//     message can't take a claim away.
//  4. One attempt gets New, however often it repeats its message.
//  5. A claim whose attempt has run out of time without a report is Outcome,
//     never New. It becomes Done if the report arrives late.
//  6. An owner in a lost view replies Outcome for each key that it doesn't
//     know, or that it knows from before, unless a host minted the key under the lost epoch or a later one.
//     An owner replies Moved for a key minted under a later epoch than its own.
//  7. A record is kept for Retention after its end. Callers may repeat a key
//     for that long. A full table replies Busy and forgets nothing early.
//  8. An owner that could not have a claim stored everywhere takes it back if it
//     opened the claim itself and never granted it. What copies keep of it
//     gives way to the next claim; a copy that takes over replies Outcome.
//  9. While a host is being brought up to date, each New also needs its
//     acknowledgment, and this lasts until the outcome of installing the view
//     that lists it is certain. Such a host holds every claim when it becomes
//     a copy, and replies don't stop meanwhile.
package claim

import (
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
)

// Bounds of a shard's table.
const (
	// Retention is how long a record is kept after its attempt ended.
	Retention = time.Hour
	// MaxWithin is the longest time that an attempt may take.
	MaxWithin = time.Hour
	// MaxRows is the most records in one shard.
	MaxRows = 20_000
)

type row struct {
	record Record
	ends   time.Duration // when the attempt has ended, by the member's clock
	stored map[view.Member]bool
	epoch  uint64 // under which the claim was made or copied
	own    bool   // this owner opened it and has not granted it
}

// Table is one member's state of one shard. It has no clock: now is the time
// since an arbitrary start, by a clock that never goes back. It isn't safe for
// concurrent use.
type Table struct {
	Self  view.Member
	Shard string
	// MaxRows is the most records, MaxRows when zero.
	MaxRows int
	current view.View
	floor   uint64        // lowest epoch accepted, rule 2
	joining []view.Member // hosts being brought up to date, rule 9
	rows    map[Key]*row
}

// Pending says what the owner needs before it can reply New: each member in To
// stores Copy. Renew asks for a renewal of the view at the platform.
type Pending struct {
	Copy  Copy
	To    []view.Member
	Renew bool
}

// Any says whether anything is asked.
func (a Pending) Any() bool { return a.Renew || len(a.To) > 0 }
