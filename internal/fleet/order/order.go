// Package order sends orders to the platform's ordering interface and to
// engines, on behalf of the host that holds a duty. It compares the desired
// commands with the confirmed ones; each difference becomes an intent that is
// stored before it is sent.
//
// The rules:
//
//  1. All intents of a duty are stored in one journal object under the holder's
//     epoch. A new holder first writes the journal under its own epoch, which
//     makes every later write of the previous holder fail.
//  2. An intent has an ID and is sent only when the journal is confirmed to
//     hold it. One write of the journal stores all new intents.
//  3. An order without a clear response is sent again under the same ID, by this
//     holder or by the next, before any other order to the same target. The
//     receiver therefore already knows the ID of any order that arrives late.
//     A refused order may be replaced by another once no earlier copy of it can
//     be in flight.
//  4. The lease is checked immediately before each order is sent, and the send
//     is canceled when the lease ends. Orders carry the epoch for receivers that
//     check it. Epochs of different duties can't be compared, so a receiver
//     accepts orders of one duty only.
//  5. Receivers that ignore the epoch are safe because package lease grants a
//     duty only after the validity of the previous grant and the longest time
//     that an order may be in flight have passed. The remaining risk is a process
//     that is paused between the last check and the write of the order for longer
//     than that wait, and resumes before its connection is reset; only a receiver
//     that checks the epoch can refuse that order.
package order

import (
	"fmt"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/commit"
)

// JournalPrefix is the prefix of the keys of journals.
const JournalPrefix = "journal/"

// MaxOpenIntents is the maximum number of intents that are open at once. It keeps
// a journal well under the platform's largest value. Further changes wait.
const MaxOpenIntents = 4096

// Intent is an order that is stored in the journal and not yet completed.
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

// Outcome is the known result of sending an order.
type Outcome uint8

// The outcomes of a send.
const (
	Accepted       Outcome = iota + 1
	Refused                // the send had no effect; the order may be dropped if no longer desired
	OutcomeUnknown         // the send may have had an effect
	Fenced                 // the receiver has seen a higher epoch
)

type phase uint8

const (
	loading phase = iota // the journal has to be read
	writing              // a write of the journal is unresolved
	ready                // the journal is stored under this epoch
	stopped              // another holder has the duty, or the journal can't be encoded or decoded
)

// State holds the orders of one holder of a duty under one epoch. It reads no
// clock and performs no I/O. Make it with New. It isn't safe for concurrent use.
type State[C comparable] struct {
	Duty  string
	Epoch uint64
	// OrderTimeout is the longest time that an order may be in flight.
	OrderTimeout time.Duration
	phase        phase
	version      uint64          // of the journal's object, which the next write replaces
	journal      Journal[C]      // as last confirmed to be stored
	next         Journal[C]      // being written
	desired      map[string]C    // by target
	confirmed    map[string]C    // last accepted or observed command by target
	completed    map[string]bool // IDs of journaled intents that need no further send
	refused      map[string]bool // by ID; true when no earlier send can take effect any more
	// mayTakeEffectUntil holds, by ID, the time until which a send with unknown
	// outcome may still have an effect.
	mayTakeEffectUntil map[string]time.Duration
	update             commit.Update
}

// New returns the state of a holder that has not read the journal yet.
func New[C comparable](duty string, epoch uint64, orderTimeout time.Duration) *State[C] {
	return &State[C]{
		OrderTimeout:       orderTimeout,
		Duty:               duty,
		Epoch:              epoch,
		desired:            map[string]C{},
		confirmed:          map[string]C{},
		completed:          map[string]bool{},
		refused:            map[string]bool{},
		mayTakeEffectUntil: map[string]time.Duration{},
	}
}

// intentID returns the ID of the intent with a sequence number under this epoch.
func (s *State[C]) intentID(sequence uint64) string {
	return fmt.Sprintf("%s-%d-%d", s.Duty, s.Epoch, sequence)
}
