// Package forward carries a request from the host that a caller reached to the
// host that is home to the chosen backend server, over one QUIC stream per
// request. The answer ends with a terminal record of its length and digest;
// an answer without it is a failed attempt, never a short answer.
package forward

import (
	"fmt"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/backend/service"
	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// Kind is the stream kind of forwarded requests.
const Kind = "forward"

// Task is one attempt at a request. Left is the time until its deadline.
// Least is the lowest weight version that may serve it, zero for any. Solo
// asks for a backend server without other work. Exactly one of Engine and
// Service is set.
type Task struct {
	ID         string           `cbor:"1,keyasint"`
	Workspace  string           `cbor:"2,keyasint"`
	Pool       string           `cbor:"3,keyasint"`
	Route      string           `cbor:"4,keyasint,omitempty"`
	TimeLeft   time.Duration    `cbor:"5,keyasint"`
	Priority   int              `cbor:"6,keyasint,omitempty"`
	Idempotent bool             `cbor:"7,keyasint,omitempty"`
	Solo       bool             `cbor:"8,keyasint,omitempty"`
	MinVersion uint64           `cbor:"9,keyasint,omitempty"`
	Engine     *engine.Request  `cbor:"10,keyasint,omitempty"`
	Service    *service.Request `cbor:"11,keyasint,omitempty"`
	Avoid      []string         `cbor:"12,keyasint,omitempty"` // backend servers that failed it before
	Relay      bool             `cbor:"13,keyasint,omitempty"` // the receiver chooses a home in its zone
}

// Check returns a *wire.FieldError for the first field that is wrong.
func (t Task) Check() error {
	switch {
	case t.ID == "":
		return t.wrong("ID", "is empty")
	case t.Pool == "":
		return t.wrong("Pool", "is empty")
	case t.TimeLeft <= 0:
		return t.wrong("Left", "is not positive")
	case (t.Engine == nil) == (t.Service == nil):
		return t.wrong("Engine", "and Service are not exactly one")
	case t.Engine != nil && t.Engine.ID != t.ID:
		return t.wrong("Engine.ID", "differs from ID")
	case t.Service != nil && t.Service.ID != t.ID:
		return t.wrong("Service.ID", "differs from ID")
	}
	return nil
}

func (t Task) wrong(field, reason string) error {
	return &wire.FieldError{Type: "Task", Field: field, Reason: reason}
}

// Item is one element of the answer. Exactly one field is set.
type Item struct {
	Event   *engine.Event   `cbor:"1,keyasint,omitempty"`
	Answer  *service.Answer `cbor:"2,keyasint,omitempty"`
	Failure *Error          `cbor:"3,keyasint,omitempty"`
	End     *End            `cbor:"4,keyasint,omitempty"`
}

// Check returns a *wire.FieldError unless exactly one field is set.
func (i Item) Check() error {
	set := 0
	for _, present := range []bool{i.Event != nil, i.Answer != nil, i.Failure != nil, i.End != nil} {
		if present {
			set++
		}
	}
	if set != 1 {
		return &wire.FieldError{Type: "Item", Field: "all", Reason: fmt.Sprintf("%d are set, not 1", set)}
	}
	return nil
}

// End closes a whole answer: the number of items before it, and the SHA-256 of
// their texts and bodies.
type End struct {
	ID     string `cbor:"1,keyasint"`
	Items  int    `cbor:"2,keyasint"`
	Digest []byte `cbor:"3,keyasint"`
}

// Error says how an attempt failed. Ran is "no", "unknown" or "yes". Server
// names the backend server that worked on it, if any, and Crashed whether that
// server stopped while it did.
type Error struct {
	Code       string        `cbor:"1,keyasint"`
	Message    string        `cbor:"2,keyasint"`
	Ran        string        `cbor:"3,keyasint"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	Server     string        `cbor:"5,keyasint,omitempty"`
	Crashed    bool          `cbor:"6,keyasint,omitempty"`
	Alone      bool          `cbor:"7,keyasint,omitempty"` // no other request ran on Server
	Tainted    bool          `cbor:"8,keyasint,omitempty"` // the answer so far can't be trusted
}

func (f *Error) Error() string {
	return fmt.Sprintf("%s: %s (ran: %s)", f.Code, f.Message, f.Ran)
}

// The codes of an Error.
const (
	CodeBusy     = "busy"     // queue full or deadline out of reach
	CodeNoServer = "none"     // no backend server fits
	CodeDraining = "draining" // the home host stops
	CodeRefused  = "refused"  // the backend server refused before any work
	CodeBroken   = "broken"   // no whole answer arrived
	CodeCanceled = "canceled" // the caller gave up
	CodeLink     = "link"     // the home host could not be reached or broke off
)
