package spread

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// Delta is the change from the document of the previous version to that of
// Version: it keeps Prefix bytes at the start and Suffix bytes at the end, and
// puts Middle between them. Digest is the xxhash of the resulting document.
type Delta struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	By      string
	At      time.Time
	ID      string
	Prefix  uint64
	Suffix  uint64
	Middle  []byte
	Digest  uint64
}

// diff returns the delta from one accepted document to the next.
func diff(from, to Accepted) Delta {
	prefix := commonPrefix(from.Body, to.Body)
	suffix := commonSuffix(from.Body[prefix:], to.Body[prefix:])
	return Delta{
		Version: to.Version,
		By:      to.By,
		At:      to.At,
		ID:      to.ID,
		Prefix:  uint64(prefix),
		Suffix:  uint64(suffix),
		Middle:  slices.Clone(to.Body[prefix : len(to.Body)-suffix]),
		Digest:  xxhash.Sum64(to.Body),
	}
}

func commonPrefix(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

func commonSuffix(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[len(a)-1-n] == b[len(b)-1-n] {
		n++
	}
	return n
}

// apply returns the document that results from applying the delta to from. It
// returns false if from is not the previous version or the result does not match
// the digest (rule 4).
func (d Delta) apply(from Accepted) (Accepted, bool) {
	size := uint64(len(from.Body))
	if d.Version != from.Version+1 || d.Prefix > size || d.Suffix > size-d.Prefix {
		return Accepted{}, false
	}
	body := slices.Concat(from.Body[:d.Prefix], d.Middle, from.Body[size-d.Suffix:])
	if xxhash.Sum64(body) != d.Digest {
		return Accepted{}, false
	}
	return Accepted{Version: d.Version, By: d.By, At: d.At, ID: d.ID, Body: body}, true
}

// Request asks a peer for the versions after Have. With Have zero it asks for the
// whole document.
type Request struct {
	Have uint64 `cbor:"1,keyasint"`
}

// Check implements wire.Message.
func (Request) Check() error { return nil }

// Reply contains either the deltas after the requested version or the whole
// document. It is empty if the peer has no newer version.
type Reply struct {
	Deltas []Delta   `cbor:"1,keyasint,omitempty"`
	Whole  *Accepted `cbor:"2,keyasint,omitempty"`
}

// Check implements wire.Message.
func (r Reply) Check() error {
	if r.Whole == nil {
		return nil
	}
	if len(r.Deltas) > 0 {
		return &wire.FieldError{Type: "Reply", Field: "Whole", Reason: "comes with deltas"}
	}
	return r.Whole.Check()
}
