// Package attempt decides how one request proceeds through its attempts: what
// may be retried or hedged, how it ends, and whether it is true to say that it
// did not run. The machine is a pure function; Budget bounds retries per route.
//
// Rules of the machine:
//
//  1. A request goes from queued to claimed to sending to sent, and ends as
//     answered, failed or unknown. An end is final.
//  2. From the moment that sending starts, a byte may have left. Only a report
//     that none did, or a refusal before any work, takes this back.
//  3. A leg is one try on one backend server. Legs that may have run mark the
//     request as touched.
//  4. A touched request that is not idempotent is never sent again. It ends as
//     answered or unknown.
//  5. Other requests are sent again while tries and budget last.
//  6. A second leg beside a running one (a hedge) is for idempotent requests
//     only. The first whole answer wins and the other leg is canceled.
//  7. "Not run" is said only of a request that no leg has touched.
package attempt

// Phase is where a request stands.
type Phase string

// The phases. The last three are final.
const (
	Queued   Phase = "queued"
	Claimed  Phase = "claimed"
	Sending  Phase = "sending"
	Sent     Phase = "sent"
	Answered Phase = "answered"
	Failed   Phase = "failed"
	Unknown  Phase = "unknown"
)

// Ran says whether a request ran, as callers are told.
type Ran string

// The values of Ran.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
	RanYes     Ran = "yes"
)

// State is one request. The zero value with Phase Queued is a new request that
// is not idempotent.
type State struct {
	Phase       Phase
	Idempotent  bool
	MaxAttempts int // sends in all, hedges included; zero means DefaultTries
	Attempts    int
	MayHaveRun  bool // an ended leg may have run
	InFlight    []Attempt
}

// DefaultMaxAttempts is the number of times that a request is sent at most.
const DefaultMaxAttempts = 3

// Attempt is one try under way.
type Attempt struct {
	ID    int
	Phase Phase // Sending or Sent
}

// EventKind names what happened.
type EventKind string

// The kinds of events.
const (
	EventClaim   EventKind = "claim"   // the request is claimed, or needs no claim
	EventSend    EventKind = "send"    // a leg starts sending
	EventByte    EventKind = "byte"    // a leg's first byte left
	EventAnswer  EventKind = "answer"  // a leg's whole answer arrived
	EventRefused EventKind = "refused" // a leg's backend server refused before any work
	EventBroken  EventKind = "broken"  // a leg ended without a whole answer
	EventSlow    EventKind = "slow"    // the time for a hedge has passed
	EventExpire  EventKind = "expire"  // the deadline passed, or the queue gave it up
	EventCancel  EventKind = "cancel"  // the caller went away or lost its key
)

// Event is something that happened to a request. Budget says whether the
// route's budget allows one more send now; it is read for refused, broken and
// slow.
type Event struct {
	Kind         EventKind
	AttemptID    int
	Unsent       bool // of broken: no byte of the request left
	BudgetAllows bool
}

// Action names what the host has to do.
type Action string

// The verbs of a Decision.
const (
	DoNothing Action = ""
	DoSend    Action = "send"   // choose a backend server and send
	DoHedge   Action = "hedge"  // choose another backend server and send there too
	DoFinish  Action = "finish" // tell the caller the outcome
)

// Decision is what follows from an event. Cancel lists legs to cancel. Ran is
// set with DoFinish. Spend says that one send was taken from the budget.
type Decision struct {
	Do          Action
	Cancel      []int
	Ran         Ran
	SpendBudget bool
}

// IsFinal says whether the request has ended.
func (s State) IsFinal() bool {
	return s.Phase == Answered || s.Phase == Failed || s.Phase == Unknown
}

// Ran says what may be told of the request now (rule 7).
func (s State) Ran() Ran {
	switch {
	case s.Phase == Answered:
		return RanYes
	case s.MayHaveRun || len(s.InFlight) > 0:
		return RanUnknown
	}
	return RanNo
}

func (s State) maxTries() int {
	if s.MaxAttempts > 0 {
		return s.MaxAttempts
	}
	return DefaultMaxAttempts
}
