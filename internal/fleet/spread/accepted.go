// Package spread distributes the accepted configuration document to every host.
//
// An operator's document is accepted by one conditional write to the platform.
// A few hosts of each availability zone watch the platform. Every host compares
// its version with those of its peers and fetches what it lacks, as deltas if
// possible. A host applies only a higher accepted version than the one in force,
// so that a stale read never reverts its configuration.
//
// Rules:
//
//  1. A version that is not higher than the one in force changes nothing.
//  2. Each host has at most one fetch in flight, from the first peer that
//     reported a higher version. It drops the version that a peer reported if a
//     fetch from that peer yields nothing new.
//  3. The hosts with the lowest ranks of a zone watch the platform.
//  4. A delta whose result does not match its digest is not applied; the whole
//     document is fetched instead.
//  5. A host without an accepted document is not ready.
package spread

import (
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
)

// Key is the key of the platform object that holds the Record of the accepted
// document.
const Key = "document/accepted"

// MaxBody is the largest size of a document in bytes. It leaves space for the
// other fields of a platform object's value.
const MaxBody = object.MaxValue - 4<<10

// Accepted is a document that was accepted. Version grows by one with each. By
// is the operator who submitted it at the time At. ID is unique to the submission,
// so that an operator whose answer was lost can distinguish it from another
// submission of an equal document.
type Accepted struct {
	Version uint64    `json:"version" cbor:"1,keyasint"`
	By      string    `json:"by" cbor:"2,keyasint"`
	At      time.Time `json:"at" cbor:"3,keyasint"`
	ID      string    `json:"id" cbor:"4,keyasint"`
	Body    []byte    `json:"body" cbor:"5,keyasint"`
}

// Check returns a *wire.FieldError if Version is zero or Body longer than MaxBody.
func (a Accepted) Check() error {
	if a.Version == 0 {
		return &wire.FieldError{Type: "Accepted", Field: "Version", Reason: "is zero"}
	}
	if len(a.Body) > MaxBody {
		return &wire.FieldError{Type: "Accepted", Field: "Body", Reason: "is too long"}
	}
	return nil
}
