// Package forward sends a request from the host that a caller reached to the home host of
// its backend server, over one QUIC stream per attempt. A complete answer ends with a
// record of its length and digest, so that an answer that was cut off is treated as a
// failed attempt and never as a short answer.
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

// Task is one attempt at a request. ID is unique to the attempt. Pool and Route name the
// pool and the route of the request. TimeLeft is the time until the deadline. Tasks with a
// higher Priority run first, unlike those of routes in package policy. An Idempotent task
// may run more than once. MinVersion is the lowest weights version that may serve the task,
// zero for any. Solo requests a backend server that runs nothing else at the time.
// Exactly one of Engine and Service is set.
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
	Avoid      []string         `cbor:"12,keyasint,omitempty"` // backend servers at which earlier attempts failed
	Relay      bool             `cbor:"13,keyasint,omitempty"` // the receiver forwards it to a home in its zone
}

// Check returns a *wire.FieldError for the first invalid field. The error calls TimeLeft
// Left.
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

// wrong returns the error for an invalid field.
func (t Task) wrong(field, reason string) error {
	return &wire.FieldError{Type: "Task", Field: field, Reason: reason}
}

// Item is one element of the answer to a Task: an event of a generation, the answer of a
// plain service, a failure, or the end of a complete answer. Exactly one field is set.
type Item struct {
	Event   *engine.Event     `cbor:"1,keyasint,omitempty"`
	Answer  *service.Response `cbor:"2,keyasint,omitempty"`
	Failure *Error            `cbor:"3,keyasint,omitempty"`
	End     *End              `cbor:"4,keyasint,omitempty"`
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

// End ends a complete answer. Items is the number of items before it, and Digest the
// SHA-256 of their texts and bodies. ID is that of the task.
type End struct {
	ID     string `cbor:"1,keyasint"`
	Items  int    `cbor:"2,keyasint"`
	Digest []byte `cbor:"3,keyasint"`
}

// Error describes a failed attempt. Ran reports whether a backend server ran the request:
// "no", "unknown" or "yes". RetryAfter is the time to wait before a retry, zero for no
// advice. Server names the backend server of the attempt, if any, and Crashed reports
// whether that server crashed while it ran the request.
type Error struct {
	Code       string        `cbor:"1,keyasint"`
	Message    string        `cbor:"2,keyasint"`
	Ran        string        `cbor:"3,keyasint"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	Server     string        `cbor:"5,keyasint,omitempty"`
	Crashed    bool          `cbor:"6,keyasint,omitempty"`
	Alone      bool          `cbor:"7,keyasint,omitempty"` // the task was Solo, and no other request ran on Server
	Tainted    bool          `cbor:"8,keyasint,omitempty"` // the items received so far can't be trusted
}

func (f *Error) Error() string {
	return fmt.Sprintf("%s: %s (ran: %s)", f.Code, f.Message, f.Ran)
}

// The values of Error.Code.
const (
	CodeBusy     = "busy"     // the queue is full, or the deadline can't be met
	CodeNoServer = "none"     // no suitable backend server
	CodeDraining = "draining" // the home host is stopping
	CodeRefused  = "refused"  // the backend server refused before any work
	CodeBroken   = "broken"   // the answer is incomplete or invalid
	CodeCanceled = "canceled" // the caller canceled the request, or its context ended
	CodeLink     = "link"     // the link to the home host could not be opened, or failed
)
