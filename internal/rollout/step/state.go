// Package step generates the samples of a training step and delivers them to its
// trainer. A Ledger keeps the state of a step and makes its decisions; an Owner runs
// the ledger on one host.
//
// A trainer opens a step with a Plan of groups of samples and pulls finished samples
// in chunks. Its state in the platform, the step object, survives the owner. The
// protocol follows these rules, to which the code refers by number:
//
//  1. A chunk names its own cursor and that of the chunk before it. A trainer accepts
//     a chunk only if the latter is its current cursor. The accepted chunks therefore
//     form a path, and no two chunks of a path share a sample.
//  2. The manifest of a chunk is committed to the platform, conditionally on the
//     version of the step object, before any byte of the chunk leaves the owner.
//  3. A pull names the current cursor of the trainer, which selects the path in
//     effect. Samples outside this path are still to be delivered.
//  4. A committed chunk that a pull doesn't acknowledge is sent again, byte for byte,
//     while its samples are fresh and its bytes are available. Otherwise another
//     chunk follows the same cursor; by rule 1 the trainer accepts only one of them.
//  5. A commit whose response was lost is repeated unchanged, or read back, until its
//     outcome is known. No other commit is prepared in the meantime.
//  6. An owner takes over a step by writing a higher epoch. Commits of the previous
//     owner then conflict; that owner stops and sends no more chunks. An owner that
//     gets a pull with an unknown cursor reads the object first, since a later owner
//     may have committed that cursor.
//  7. Freshness is checked against the newest known version, both when a chunk is
//     prepared and each time it is sent.
package step

import (
	"net/url"
	"slices"
	"strconv"

	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// KeyPrefix is the prefix of the keys of all step objects.
const KeyPrefix = "steps/"

// MaxSamples is the largest number of samples of a step. The manifests of so many
// samples fit into the largest value that the platform stores.
const MaxSamples = 16384

// ID identifies a step: the trainer of a workspace and the number of its step.
type ID struct {
	Workspace string `json:"workspace" cbor:"1,keyasint"`
	Trainer   string `json:"trainer" cbor:"2,keyasint"`
	Number    uint64 `json:"number" cbor:"3,keyasint"`
}

// Key returns the key of the step's object.
func (id ID) Key() string {
	return KeyPrefix + url.PathEscape(id.Workspace) + "/" + url.PathEscape(id.Trainer) + "/" + strconv.FormatUint(id.Number, 10)
}

// Check verifies that the workspace and the trainer are set.
func (id ID) Check() error {
	if id.Workspace == "" || id.Trainer == "" {
		return &wire.FieldError{Type: "step.ID", Field: "workspace or trainer", Reason: "is empty"}
	}
	return nil
}

// SampleRef identifies a sample of a chunk by its group and its index in the group,
// with the digest of its text.
type SampleRef struct {
	Group  int    `json:"group" cbor:"1,keyasint"`
	Index  int    `json:"index" cbor:"2,keyasint"`
	Digest []byte `json:"digest" cbor:"3,keyasint"` // SHA-256 of the text
}

// Manifest lists the samples of a committed chunk. Previous is zero for a first
// chunk. Digest is the SHA-256 of the encoded chunk.
type Manifest struct {
	Cursor     uint64      `json:"cursor" cbor:"1,keyasint"`
	Previous   uint64      `json:"previous" cbor:"2,keyasint"`
	Digest     []byte      `json:"digest" cbor:"3,keyasint"`
	SampleRefs []SampleRef `json:"marks" cbor:"4,keyasint"`
}

// State is the step object in the platform. It holds everything that a new owner
// needs to continue the step, except the plan and the texts of samples: see Copies.
type State struct {
	ID           ID         `json:"id" cbor:"1,keyasint"`
	Model        string     `json:"model" cbor:"2,keyasint"`
	MaxSampleAge uint64     `json:"bound" cbor:"3,keyasint"` // as Plan.MaxSampleAge
	GroupSizes   []int      `json:"sizes" cbor:"4,keyasint"` // samples of each group
	PlanDigest   []byte     `json:"plan" cbor:"5,keyasint"`  // SHA-256 of the encoded plan
	Owner        string     `json:"owner" cbor:"6,keyasint"`
	Copies       []string   `json:"copies,omitempty" cbor:"7,keyasint,omitempty"` // hosts that may store the copies
	Epoch        uint64     `json:"epoch" cbor:"8,keyasint"`
	Cursor       uint64     `json:"cursor" cbor:"9,keyasint"` // of the last chunk committed
	Manifests    []Manifest `json:"manifests,omitempty" cbor:"10,keyasint,omitempty"`
	Canceled     bool       `json:"canceled,omitempty" cbor:"11,keyasint,omitempty"`
}

// Check verifies the required fields, that the manifests form a tree in the order of
// their cursors, and that no path of it contains a sample twice.
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
			return &wire.FieldError{Type: "step.State", Field: "manifests", Reason: "contain a sample twice or one out of range"}
		}
		last = m.Cursor
	}
	return nil
}

// disjoint reports whether the samples of m are in range, and differ from each other
// and from those of all chunks before m on its path.
func (s State) disjoint(m Manifest) bool {
	delivered, err := s.deliveredAt(m.Previous)
	if err != nil {
		return false
	}
	for _, ref := range m.SampleRefs {
		if ref.Group < 0 || ref.Group >= len(s.GroupSizes) || ref.Index < 0 || ref.Index >= s.GroupSizes[ref.Group] {
			return false
		}
		key := sampleKey{ref.Group, ref.Index}
		if delivered[key] {
			return false
		}
		delivered[key] = true
	}
	return true
}

// total returns the sum of the group sizes.
func total(sizes []int) int {
	sum := 0
	for _, size := range sizes {
		sum += size
	}
	return sum
}
