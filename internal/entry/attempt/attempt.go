// Package attempt implements the state machine of one request: whether it may be
// retried or hedged, how it ends, and whether it is correct to report that it did
// not run. The state machine is a pure function, Next. Budget limits the retries
// and hedges of a route, HedgeDelay tells when a hedge is due.
//
// Rules of the state machine:
//
//  1. A request goes from queued to claimed to sending to sent, and ends as
//     answered, failed or unknown. An end is final. When its last running attempt
//     ends without an answer, a request that is sent again goes back to claimed.
//  2. From the moment that sending starts, a byte may have left. Only a report
//     that no byte left, or a refusal before any work, takes this back.
//  3. An attempt is one send to one backend server. The request records whether
//     an ended attempt may have run.
//  4. A request that may have run and is not idempotent is never sent again. It
//     ends as answered or unknown.
//  5. Other requests are sent again while attempts and budget last.
//  6. A second attempt beside a running one (a hedge) is for idempotent requests
//     only. The first complete answer wins and the other attempt is canceled.
//  7. "Not run" is reported only for a request of which no attempt may have run.
package attempt

// Phase is the progress of a request or of an attempt.
type Phase string

// The phases. The last three are final.
const (
	Queued   Phase = "queued"   // nothing may be sent yet
	Claimed  Phase = "claimed"  // ready to send; no attempt is in flight
	Sending  Phase = "sending"  // an attempt started; no byte is known to have left
	Sent     Phase = "sent"     // a byte of an attempt in flight left
	Answered Phase = "answered" // a complete answer arrived
	Failed   Phase = "failed"   // no answer; idempotent or certainly not run
	Unknown  Phase = "unknown"  // no answer; not idempotent, and may have run
)

// Ran tells callers whether a request ran.
type Ran string

// The values of Ran.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
	RanYes     Ran = "yes"
)

// State is the state of one request. The zero value with Phase Queued is a new
// request that is not idempotent.
type State struct {
	Phase       Phase
	Idempotent  bool
	MaxAttempts int       // limit of Attempts; zero means DefaultMaxAttempts
	Attempts    int       // attempts started, hedges included
	MayHaveRun  bool      // an ended attempt may have run
	InFlight    []Attempt // attempts that have not ended
}

// DefaultMaxAttempts is the limit of attempts for a request that sets none.
const DefaultMaxAttempts = 3

// Attempt is one send to one backend server that has not ended.
type Attempt struct {
	ID    int
	Phase Phase // Sending or Sent
}

// EventKind is the kind of an Event.
type EventKind string

// The kinds of events.
const (
	EventClaim   EventKind = "claim"   // the request is claimed, or needs no claim
	EventSend    EventKind = "send"    // an attempt starts sending
	EventByte    EventKind = "byte"    // the first byte of an attempt left
	EventAnswer  EventKind = "answer"  // the complete answer to an attempt arrived
	EventRefused EventKind = "refused" // the backend server refused an attempt before any work
	EventBroken  EventKind = "broken"  // an attempt ended without a complete answer
	EventSlow    EventKind = "slow"    // the hedge delay has passed
	EventExpire  EventKind = "expire"  // the deadline passed, or the queue shed the request
	EventCancel  EventKind = "cancel"  // the caller disconnected or its key was withdrawn
)

// Event is something that happened to a request.
type Event struct {
	Kind EventKind
	// AttemptID names the attempt that a send, byte, answer, refused or broken
	// event is about.
	AttemptID int
	// Unsent reports for a broken event that no byte of the request left.
	Unsent bool
	// BudgetAllows reports whether the budget of the route allows one more send
	// now. Refused, broken and slow events read it. Next takes nothing from the
	// budget; see Decision.SpendBudget.
	BudgetAllows bool
}

// Action is the step that the host has to take after an event.
type Action string

// The actions of a Decision.
const (
	DoNothing Action = ""
	DoSend    Action = "send"   // choose a backend server and send
	DoHedge   Action = "hedge"  // choose another backend server and send there too
	DoFinish  Action = "finish" // report the outcome to the caller
)

// Decision is the result of applying an event.
type Decision struct {
	Do          Action
	Cancel      []int // IDs of attempts to cancel
	Ran         Ran   // set with DoFinish
	SpendBudget bool  // the action uses one send of the budget; if unset, one taken for BudgetAllows may be returned
}

// IsFinal reports whether the request has ended.
func (s State) IsFinal() bool {
	return s.Phase == Answered || s.Phase == Failed || s.Phase == Unknown
}

// Ran returns whether the request ran, as far as it may be reported now (rule 7). While
// an attempt is in flight, even one that has sent no byte yet, it is RanUnknown.
func (s State) Ran() Ran {
	switch {
	case s.Phase == Answered:
		return RanYes
	case s.MayHaveRun || len(s.InFlight) > 0:
		return RanUnknown
	}
	return RanNo
}

func (s State) maxAttempts() int {
	if s.MaxAttempts > 0 {
		return s.MaxAttempts
	}
	return DefaultMaxAttempts
}
