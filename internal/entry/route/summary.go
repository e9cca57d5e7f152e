package route

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// Summary is what a home host tells the hosts of its availability zone each
// second about the backend servers of one pool. In all it also describes a
// zone to the others, with the zone's name as Host.
type Summary struct {
	Host          string  `cbor:"1,keyasint"`
	Zone          string  `cbor:"2,keyasint"`
	Pool          string  `cbor:"3,keyasint"` // model or service
	Slots         int     `cbor:"4,keyasint"` // requests that its backend servers run at once
	Running       int     `cbor:"5,keyasint"`
	Backlog       int     `cbor:"6,keyasint"` // expected tokens waiting
	Rate          float32 `cbor:"7,keyasint"` // tokens a second of all its backend servers
	NewestVersion uint64  `cbor:"8,keyasint,omitempty"`

	Waits []Wait `cbor:"9,keyasint,omitempty"` // the longest, longest first

	At time.Time `cbor:"-"` // when it arrived here
}

// Wait is the expected wait of a workspace that has requests waiting.
type Wait struct {
	_         struct{} `cbor:",toarray"`
	Workspace uint32
	Units     uint16 // of waitUnit
}

// Check implements wire.Message.
func (s Summary) Check() error {
	fail := func(field, reason string) error {
		return &wire.FieldError{Type: "route.Summary", Field: field, Reason: reason}
	}
	switch {
	case s.Host == "":
		return fail("Host", "is empty")
	case s.Pool == "":
		return fail("Pool", "is empty")
	case s.Slots < 0 || s.Running < 0 || s.Backlog < 0:
		return fail("Slots", "or a count is negative")
	case s.Rate < 0 || math.IsNaN(float64(s.Rate)) || math.IsInf(float64(s.Rate), 0):
		return fail("Rate", "is not a rate")
	case len(s.Waits) > maxWaits:
		return fail("Waits", "is too long")
	}
	return nil
}

// WaitOf returns the expected wait of a new request of a workspace. It is
// maxWait for a home without capacity. A workspace that is not listed waits for
// nobody, or less than the listed ones when the list is full.
func (s Summary) WaitOf(workspace string) time.Duration {
	if s.Slots == 0 {
		return maxWait
	}
	if len(s.Waits) == 0 {
		return 0
	}
	hash := hashOf(workspace)
	least := maxWait
	for _, w := range s.Waits {
		if w.Workspace == hash {
			return w.duration()
		}
		least = min(least, w.duration())
	}
	if len(s.Waits) < maxWaits {
		return 0
	}
	return least
}

// SetWaits lists the longest waits.
func (s *Summary) SetWaits(waits map[string]time.Duration) {
	s.Waits = make([]Wait, 0, len(waits))
	for workspace, wait := range waits {
		units := min(wait, maxWait) / waitUnit
		s.Waits = append(s.Waits, Wait{Workspace: hashOf(workspace), Units: uint16(units)})
	}
	slices.SortFunc(s.Waits, func(a, b Wait) int {
		return cmp.Or(cmp.Compare(b.Units, a.Units), cmp.Compare(a.Workspace, b.Workspace))
	})
	s.Waits = s.Waits[:min(len(s.Waits), maxWaits)]
}

func (w Wait) duration() time.Duration { return time.Duration(w.Units) * waitUnit }

// hashOf shortens a workspace's name for summaries. Two workspaces that share a
// hash share a wait, which costs accuracy only.
func hashOf(workspace string) uint32 { return uint32(xxhash.Sum64String(workspace)) }

const (
	// maxWait stands for a wait without a known end.
	maxWait = time.Minute
	// waitUnit is the resolution of waits in summaries.
	waitUnit = 10 * time.Millisecond
	// maxWaits bounds the workspaces listed in a summary.
	maxWaits = 8
)
