// Package step holds the ledger of a training step and the owner that runs it.
//
// A trainer opens a step of groups of samples and pulls finished samples in
// chunks. The rules, to which the code refers by number:
//
//  1. A chunk names its cursor and the cursor of the chunk before it. A trainer
//     takes a chunk only if that is the cursor it holds. The chunks that a
//     trainer holds are therefore a path, and no two chunks of a path share a
//     sample.
//  2. The manifest of a chunk is committed to the platform, conditionally on
//     the step object's version, before any byte of the chunk leaves the owner.
//  3. A pull names the cursor that the trainer holds, and so decides which path
//     is in force. Everything outside the path is to be delivered.
//  4. A committed chunk that the pull does not acknowledge is served again,
//     byte by byte, while its samples are fresh and its bytes are known. If
//     not, another chunk follows the same cursor, and rule 1 keeps the two
//     apart.
//  5. A commit whose answer was lost is repeated unchanged, or read back, until
//     its outcome is known. No other commit is prepared meanwhile.
//  6. An owner takes a step over by writing a higher epoch. The commit of an
//     earlier owner then conflicts; that owner stops and hands nothing out. An
//     owner that is asked for a cursor it does not know reads the object first,
//     since a later owner may have committed it.
//  7. Freshness is checked when a chunk is prepared and again when it is handed
//     over, against the newest version known at that moment.
package step

import (
	"net/url"
	"slices"
	"strconv"

	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// KeyPrefix is the common prefix of the keys of step objects.
const KeyPrefix = "steps/"

// MaxSamples is the largest number of samples of a step; the manifests of that
// many fit the platform's largest value.
const MaxSamples = 16384

// ID names a step.
type ID struct {
	Workspace string `json:"workspace" cbor:"1,keyasint"`
	Trainer   string `json:"trainer" cbor:"2,keyasint"`
	Number    uint64 `json:"number" cbor:"3,keyasint"`
}

// Key returns the key of the step's object.
func (id ID) Key() string {
	return KeyPrefix + url.PathEscape(id.Workspace) + "/" + url.PathEscape(id.Trainer) + "/" + strconv.FormatUint(id.Number, 10)
}

// Check verifies that every part is given.
func (id ID) Check() error {
	if id.Workspace == "" || id.Trainer == "" {
		return &wire.FieldError{Type: "step.ID", Field: "workspace or trainer", Reason: "is empty"}
	}
	return nil
}

// SampleRef says that a chunk holds the sample of a group and index.
type SampleRef struct {
	Group  int    `json:"group" cbor:"1,keyasint"`
	Index  int    `json:"index" cbor:"2,keyasint"`
	Digest []byte `json:"digest" cbor:"3,keyasint"` // SHA-256 of the text
}

// Manifest says what a committed chunk holds. Previous is zero for a first
// chunk. Digest is the SHA-256 of the encoded chunk.
type Manifest struct {
	Cursor     uint64      `json:"cursor" cbor:"1,keyasint"`
	Previous   uint64      `json:"previous" cbor:"2,keyasint"`
	Digest     []byte      `json:"digest" cbor:"3,keyasint"`
	SampleRefs []SampleRef `json:"marks" cbor:"4,keyasint"`
}

// State is the step's object in the platform: what must outlive the owner.
type State struct {
	ID         ID         `json:"id" cbor:"1,keyasint"`
	Model      string     `json:"model" cbor:"2,keyasint"`
	Bound      uint64     `json:"bound" cbor:"3,keyasint"` // versions
	GroupSizes []int      `json:"sizes" cbor:"4,keyasint"` // samples of each group
	Plan       []byte     `json:"plan" cbor:"5,keyasint"`  // SHA-256 of the encoded plan
	Owner      string     `json:"owner" cbor:"6,keyasint"`
	Copies     []string   `json:"copies,omitempty" cbor:"7,keyasint,omitempty"`
	Epoch      uint64     `json:"epoch" cbor:"8,keyasint"`
	Cursor     uint64     `json:"cursor" cbor:"9,keyasint"` // of the last chunk committed
	Manifests  []Manifest `json:"manifests,omitempty" cbor:"10,keyasint,omitempty"`
	Canceled   bool       `json:"canceled,omitempty" cbor:"11,keyasint,omitempty"`
}

// Check verifies that manifests form a tree and that no path names a sample
// twice.
func (s State) Check() error {
	if err := s.ID.Check(); err != nil {
		return err
	}
	if s.Epoch == 0 || s.Owner == "" {
		return &wire.FieldError{Type: "step.State", Field: "owner or epoch", Reason: "is empty"}
	}
	if total(s.GroupSizes) == 0 || total(s.GroupSizes) > MaxSamples || slices.Min(s.GroupSizes) < 0 {
		return &wire.FieldError{Type: "step.State", Field: "sizes", Reason: "out of range"}
	}
	last := uint64(0)
	for _, m := range s.Manifests {
		if m.Cursor <= last || m.Previous >= m.Cursor || m.Cursor > s.Cursor {
			return &wire.FieldError{Type: "step.State", Field: "manifests", Reason: "out of order"}
		}
		if !s.disjoint(m) {
			return &wire.FieldError{Type: "step.State", Field: "manifests", Reason: "name a sample twice or one out of range"}
		}
		last = m.Cursor
	}
	return nil
}

// disjoint reports whether the marks of m are in range and differ from each
// other and from those of the chunks before it.
func (s State) disjoint(m Manifest) bool {
	delivered, err := s.deliveredAt(m.Previous)
	if err != nil {
		return false
	}
	for _, mark := range m.SampleRefs {
		if mark.Group < 0 || mark.Group >= len(s.GroupSizes) || mark.Index < 0 || mark.Index >= s.GroupSizes[mark.Group] {
			return false
		}
		at := sampleKey{mark.Group, mark.Index}
		if delivered[at] {
			return false
		}
		delivered[at] = true
	}
	return true
}

func total(sizes []int) int {
	sum := 0
	for _, size := range sizes {
		sum += size
	}
	return sum
}
