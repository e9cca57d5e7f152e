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
	Phase      Phase
	Idempotent bool
	MaxTries   int // sends in all, hedges included; zero means DefaultTries
	Tries      int
	Touched    bool // an ended leg may have run
	Legs       []Leg
}

// DefaultTries is the number of times that a request is sent at most.
const DefaultTries = 3

// Leg is one try under way.
type Leg struct {
	ID    int
	Phase Phase // Sending or Sent
}

// Kind names what happened.
type Kind string

// The kinds of events.
const (
	EventClaim   Kind = "claim"   // the request is claimed, or needs no claim
	EventSend    Kind = "send"    // a leg starts sending
	EventByte    Kind = "byte"    // a leg's first byte left
	EventAnswer  Kind = "answer"  // a leg's whole answer arrived
	EventRefused Kind = "refused" // a leg's backend server refused before any work
	EventBroken  Kind = "broken"  // a leg ended without a whole answer
	EventSlow    Kind = "slow"    // the time for a hedge has passed
	EventExpire  Kind = "expire"  // the deadline passed, or the queue gave it up
	EventCancel  Kind = "cancel"  // the caller went away or lost its key
)

// Event is something that happened to a request. Budget says whether the
// route's budget allows one more send now; it is read for refused, broken and
// slow.
type Event struct {
	Kind   Kind
	Leg    int
	Unsent bool // of broken: no byte of the request left
	Budget bool
}

// Verb names what the host has to do.
type Verb string

// The verbs of a Decision.
const (
	DoNothing Verb = ""
	DoSend    Verb = "send"   // choose a backend server and send
	DoHedge   Verb = "hedge"  // choose another backend server and send there too
	DoFinish  Verb = "finish" // tell the caller the outcome
)

// Decision is what follows from an event. Cancel lists legs to cancel. Ran is
// set with DoFinish. Spend says that one send was taken from the budget.
type Decision struct {
	Do     Verb
	Cancel []int
	Ran    Ran
	Spend  bool
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
	case s.Touched || len(s.Legs) > 0:
		return RanUnknown
	}
	return RanNo
}

func (s State) maxTries() int {
	if s.MaxTries > 0 {
		return s.MaxTries
	}
	return DefaultTries
}
