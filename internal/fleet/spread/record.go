package spread

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
)

// bodyPrefix is the prefix of the keys of the objects that hold large documents.
const bodyPrefix = "document/body/"

// Limits in bytes of the document and of the change that a record contains.
// Watchers read every record, so it stays small whatever the size of the document.
const (
	maxInline = 4 << 10
	maxChange = 8 << 10
)

// BodyKey returns the key of the object that holds a large document.
func BodyKey(id string) string { return bodyPrefix + id }

// Record is the value of the object Key. It contains a small document itself. A
// large document has an object of its own, which is written before the record;
// the record then contains the change from the previous version, if that is
// known and small.
type Record struct {
	Version uint64    `cbor:"1,keyasint"`
	By      string    `cbor:"2,keyasint"`
	At      time.Time `cbor:"3,keyasint"`
	ID      string    `cbor:"4,keyasint"`
	Body    []byte    `cbor:"5,keyasint,omitempty"`
	Digest  uint64    `cbor:"6,keyasint"` // of the document
	Change  *Delta    `cbor:"7,keyasint,omitempty"`
	// PreviousID is the ID of the previous version if its document has an object
	// of its own, which may be deleted once the next version is accepted.
	PreviousID string `cbor:"8,keyasint,omitempty"`
}

// Check implements wire.Message.
func (r Record) Check() error {
	if r.Version == 0 {
		return &wire.FieldError{Type: "Record", Field: "Version", Reason: "is zero"}
	}
	if len(r.Body) > object.MaxValue {
		return &wire.FieldError{Type: "Record", Field: "Body", Reason: "is too long"}
	}
	return nil
}

// NewRecord returns the record of the document next. previous is the document of
// the previous version, or the zero value if the caller does not have it.
func NewRecord(next, previous Accepted) Record {
	r := Record{
		Version: next.Version,
		By:      next.By,
		At:      next.At,
		ID:      next.ID,
		Digest:  xxhash.Sum64(next.Body),
	}
	if len(next.Body) <= maxInline {
		r.Body = next.Body
		return r
	}
	if previous.Version > 0 && previous.Version+1 == next.Version {
		change := diff(previous, next)
		if len(change.Middle) <= maxChange {
			r.Change = &change
		}
	}
	return r
}

// Resolve returns the document from the record alone, or by applying its change
// to the document that the caller has. It returns false if the document has to
// be read from its own object.
func (r Record) Resolve(have Accepted) (Accepted, bool) {
	if r.Change != nil {
		if next, ok := r.Change.apply(have); ok {
			return next, true
		}
	}
	return r.with(r.Body)
}

// with returns the document with the given body, and whether the body matches
// the record's digest.
func (r Record) with(body []byte) (Accepted, bool) {
	accepted := Accepted{Version: r.Version, By: r.By, At: r.At, ID: r.ID, Body: body}
	return accepted, xxhash.Sum64(body) == r.Digest
}

// large reports whether the document has an object of its own.
func (r Record) large() bool { return xxhash.Sum64(r.Body) != r.Digest }
