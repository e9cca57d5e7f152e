// Package spread brings the accepted configuration document to every host.
//
// An operator's document is accepted by one conditional write to the platform.
// A few hosts of each availability zone watch the platform; every host
// compares versions with its peers and fetches what it lacks, as deltas where
// it can. A host applies a higher accepted version only, whatever it reads
// later.
//
// Rules:
//
//  1. A version that is not higher than the one in force changes nothing.
//  2. Each host has at most one fetch under way; it asks the first peer that
//     showed a higher version, and forgets what a peer showed when a fetch
//     from it brings nothing.
//  3. The hosts of the lowest ranks of a zone watch the platform.
//  4. A delta that does not lead to the digest it names is not applied; the
//     whole document is fetched instead.
//  5. A host that knows no accepted document is not ready.
package spread

import (
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
)

// Key is the platform object that holds the accepted document.
const Key = "document/accepted"

// MaxBody is the largest document in bytes. It leaves room for the other
// fields in a value of the platform.
const MaxBody = object.MaxValue - 4<<10

// Accepted is a document that was accepted. Version grows by one with each.
// ID is unique to the submission, so that an operator whose answer was lost
// can tell the own document from an equal one.
type Accepted struct {
	Version uint64    `json:"version" cbor:"1,keyasint"`
	By      string    `json:"by" cbor:"2,keyasint"`
	At      time.Time `json:"at" cbor:"3,keyasint"`
	ID      string    `json:"id" cbor:"4,keyasint"`
	Body    []byte    `json:"body" cbor:"5,keyasint"`
}

// Check implements wire.Message.
func (a Accepted) Check() error {
	if a.Version == 0 {
		return &wire.FieldError{Type: "Accepted", Field: "Version", Reason: "is zero"}
	}
	if len(a.Body) > MaxBody {
		return &wire.FieldError{Type: "Accepted", Field: "Body", Reason: "is too long"}
	}
	return nil
}
