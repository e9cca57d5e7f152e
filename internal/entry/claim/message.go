package claim

import (
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// Limits of the messages.
const (
	MaxKey     = 256      // bytes of a key, a digest or the name of an attempt
	MaxAnswer  = 64 << 10 // bytes of an answer that is kept for repeated requests
	MaxRecords = 32       // records in one Copy, so that it fits wire.MaxMessage
)

// Key is a caller's idempotency key within its workspace.
type Key struct {
	Workspace string `cbor:"1,keyasint"`
	ID        string `cbor:"2,keyasint"`
}

// Check implements wire.Message.
func (k Key) Check() error {
	if k.Workspace == "" || len(k.Workspace) > MaxKey {
		return &wire.FieldError{Type: "Key", Field: "Workspace", Reason: "is empty or too long"}
	}
	if k.ID == "" || len(k.ID) > MaxKey {
		return &wire.FieldError{Type: "Key", Field: "ID", Reason: "is empty or too long"}
	}
	return nil
}

// Request asks for the permission to run a request once. Attempt is the unique
// name of the attempt that would run it, so that a repeated message of the same
// attempt gets the same reply.
type Request struct {
	Shard   string        `cbor:"1,keyasint"`
	Key     Key           `cbor:"2,keyasint"`
	Digest  string        `cbor:"3,keyasint"` // of the request's body
	Attempt string        `cbor:"4,keyasint"`
	Within  time.Duration `cbor:"5,keyasint"` // the attempt ends within this time
	// MintedEpoch is the epoch under which a host minted the key. It is zero for
	// a key that the caller chose.
	MintedEpoch uint64 `cbor:"6,keyasint,omitempty"`
}

// Check implements wire.Message.
func (r Request) Check() error {
	switch {
	case r.Shard == "":
		return &wire.FieldError{Type: "Request", Field: "Shard", Reason: "is empty"}
	case r.Digest == "" || len(r.Digest) > MaxKey:
		return &wire.FieldError{Type: "Request", Field: "Digest", Reason: "is empty or too long"}
	case r.Attempt == "" || len(r.Attempt) > MaxKey:
		return &wire.FieldError{Type: "Request", Field: "Attempt", Reason: "is empty or too long"}
	case r.Within <= 0 || r.Within > MaxWithin:
		return &wire.FieldError{Type: "Request", Field: "Within", Reason: "is out of range"}
	}
	return r.Key.Check()
}

// Status is the decision on a Request.
type Status uint8

// The replies. Only Granted allows the attempt to send the request.
const (
	Granted        Status = iota + 1 // only this attempt may run the request
	Running                          // another attempt has the claim and may be running
	Done                             // the request ran; Answer is its answer if HasAnswer is set
	Conflict                         // the key was used with another body
	OutcomeUnknown                   // the outcome is unknown: the request may have run
	Moved                            // this host doesn't own the shard; View, if set, is the view that it has
	Busy                             // nothing was decided, and the attempt must not run the request
)

// Reply answers a Request.
type Reply struct {
	Status    Status     `cbor:"1,keyasint"`
	Answer    []byte     `cbor:"2,keyasint,omitempty"`
	HasAnswer bool       `cbor:"3,keyasint,omitempty"` // Answer is the complete answer
	View      *view.View `cbor:"4,keyasint,omitempty"`
}

// Check implements wire.Message.
func (r Reply) Check() error {
	if r.Status < Granted || r.Status > Busy {
		return &wire.FieldError{Type: "Reply", Field: "Status", Reason: "is unknown"}
	}
	if len(r.Answer) > MaxAnswer {
		return &wire.FieldError{Type: "Reply", Field: "Answer", Reason: "is too long"}
	}
	if r.View != nil {
		return r.View.Check()
	}
	return nil
}

// State is the progress of a claimed request.
type State uint8

// The states of a record. A later one replaces an earlier one.
const (
	Claimed  State = iota + 1 // an attempt may be running it
	Finished                  // it ran; Answer is its answer if HasAnswer is set
)

// Record is a claim as the members of a shard keep it. Within is the time until
// the attempt has ended at the latest.
type Record struct {
	Key       Key           `cbor:"1,keyasint"`
	Digest    string        `cbor:"2,keyasint"`
	Attempt   string        `cbor:"3,keyasint"`
	State     State         `cbor:"4,keyasint"`
	Answer    []byte        `cbor:"5,keyasint,omitempty"`
	HasAnswer bool          `cbor:"6,keyasint,omitempty"`
	Within    time.Duration `cbor:"7,keyasint"`
}

// Check implements wire.Message.
func (r Record) Check() error {
	if r.State != Claimed && r.State != Finished {
		return &wire.FieldError{Type: "Record", Field: "State", Reason: "is unknown"}
	}
	if len(r.Answer) > MaxAnswer {
		return &wire.FieldError{Type: "Record", Field: "Answer", Reason: "is too long"}
	}
	return r.Key.Check()
}

// Copy carries records from the owner to a copy, or to a host that is about to
// become one.
type Copy struct {
	Shard   string   `cbor:"1,keyasint"`
	Epoch   uint64   `cbor:"2,keyasint"`
	Records []Record `cbor:"3,keyasint"`
	// View, if set, is a view installed at the platform. A copy learns from it
	// that it is a copy.
	View *view.View `cbor:"4,keyasint,omitempty"`
}

// Check implements wire.Message.
func (c Copy) Check() error {
	if c.Shard == "" {
		return &wire.FieldError{Type: "Copy", Field: "Shard", Reason: "is empty"}
	}
	if c.Epoch == 0 {
		return &wire.FieldError{Type: "Copy", Field: "Epoch", Reason: "is zero"}
	}
	if len(c.Records) > MaxRecords {
		return &wire.FieldError{Type: "Copy", Field: "Records", Reason: "are too many"}
	}
	for _, record := range c.Records {
		if err := record.Check(); err != nil {
			return err
		}
	}
	if c.View != nil {
		return c.View.Check()
	}
	return nil
}

// CopyReply acknowledges a Copy, or refuses it if Stored is false. Epoch is then
// the lowest epoch that the member still accepts.
type CopyReply struct {
	Stored bool   `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
}

// Check implements wire.Message.
func (c CopyReply) Check() error {
	if c.Epoch == 0 {
		return &wire.FieldError{Type: "CopyReply", Field: "Epoch", Reason: "is zero"}
	}
	return nil
}

// Finish reports to the owner how an attempt ended. Ran is false only if the
// request certainly did not run; its key can then be claimed again. HasAnswer
// reports that Answer is the complete answer.
type Finish struct {
	Shard     string `cbor:"1,keyasint"`
	Key       Key    `cbor:"2,keyasint"`
	Attempt   string `cbor:"3,keyasint"`
	Ran       bool   `cbor:"4,keyasint,omitempty"`
	Answer    []byte `cbor:"5,keyasint,omitempty"`
	HasAnswer bool   `cbor:"6,keyasint,omitempty"`
}

// Check implements wire.Message.
func (f Finish) Check() error {
	if f.Shard == "" {
		return &wire.FieldError{Type: "Finish", Field: "Shard", Reason: "is empty"}
	}
	if len(f.Answer) > MaxAnswer {
		return &wire.FieldError{Type: "Finish", Field: "Answer", Reason: "is too long"}
	}
	return f.Key.Check()
}
