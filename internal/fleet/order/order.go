// Package order gives orders to the platform's ordering interface and to
// engines, for the holder of a duty. What is wanted is compared with what was
// ordered; each change becomes an intent that is stored before it is sent.
//
// The rules:
//
//  1. All intents of a duty stand in one journal object under the holder's
//     epoch. A new holder first writes the journal under its own epoch, which
//     makes every later write of the one before fail.
//  2. An intent has an ID and is sent only when the journal certainly holds
//     it. One write of the journal stores all intents that are new.
//  3. An order without a clear answer is sent again under the same ID, by this
//     holder or by the next, and no other order to the same target before it.
//     An order that arrives late is thus always known already. An order that
//     is refused gives way to another once no earlier copy can be in flight.
//  4. The lease is checked at the last moment before each order, and the order
//     ends with the lease. Orders carry the epoch for receivers that honor it;
//     a receiver therefore takes orders of one duty only.
//  5. Receivers that ignore the epoch are safe because package lease grants a
//     duty only after the belief of the one before and the longest order in
//     flight have ended. What remains is a process that is stopped between the
//     last check and the write of the order for longer than that wait, and
//     goes on before its connection is reset; only a receiver that honors the
//     epoch can refuse it.
package order

import (
	"fmt"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/commit"
)

// JournalPrefix is the prefix of the keys of journals.
const JournalPrefix = "journal/"

// MaxOpen is the most intents that are open at once, so that a journal stays
// well under the platform's largest value. Others wait.
const MaxOpen = 4096

// Intent is one order that is to be given.
type Intent[C comparable] struct {
	ID      string `json:"id"`
	Target  string `json:"target"`
	Command C      `json:"command"`
}

// Journal is the value of a duty's journal object.
type Journal[C comparable] struct {
	Duty     string      `json:"duty"`
	Epoch    uint64      `json:"epoch"`
	Sequence uint64      `json:"sequence"` // of the last intent under the epoch
	Write    uint64      `json:"write"`    // counts the writes under the epoch
	Open     []Intent[C] `json:"open,omitempty"`
}

// Outcome is what is known about an order that was sent.
type Outcome uint8

// The outcomes of a send.
const (
	Accepted Outcome = iota + 1
	Refused          // it had no effect and may be wanted no longer
	Unclear          // it may have had an effect
	Fenced           // the receiver has seen a higher epoch
)

type phase uint8

const (
	loading phase = iota
	writing
	ready
	over
)

// Desk is the state of one holder's orders under one epoch, without clock or
// I/O. Make it with New. It isn't safe for concurrent use.
type Desk[C comparable] struct {
	Duty  string
	Epoch uint64
	// Flight is the longest time that an order may be in flight.
	Flight  time.Duration
	phase   phase
	version uint64
	journal Journal[C]      // as it certainly stands
	next    Journal[C]      // being written
	wanted  map[string]C    // by target
	settled map[string]C    // last accepted command by target
	closed  map[string]bool // IDs of journaled intents that are done with
	refused map[string]bool // IDs of intents that certainly had no effect so far
	// doubt holds, by ID, until when an unclear send may still have an effect.
	doubt  map[string]time.Duration
	update commit.Update
}

// New returns the desk of a holder.
func New[C comparable](duty string, epoch uint64, flight time.Duration) *Desk[C] {
	return &Desk[C]{
		Flight:  flight,
		Duty:    duty,
		Epoch:   epoch,
		wanted:  map[string]C{},
		settled: map[string]C{},
		closed:  map[string]bool{},
		refused: map[string]bool{},
		doubt:   map[string]time.Duration{},
	}
}

func (d *Desk[C]) id(sequence uint64) string {
	return fmt.Sprintf("%s-%d-%d", d.Duty, d.Epoch, sequence)
}
