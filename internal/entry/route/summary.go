package route

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// Summary is the load and capacity of the backend servers of one pool at one
// home host. The host sends it to the other hosts of its availability zone each
// second. The sum over a zone (see Picker.Total) is sent to the other zones,
// with the zone's name as Host.
type Summary struct {
	Host          string  `cbor:"1,keyasint"`
	Zone          string  `cbor:"2,keyasint"`
	Pool          string  `cbor:"3,keyasint"`           // model or service
	Slots         int     `cbor:"4,keyasint"`           // requests that its backend servers run at once
	Running       int     `cbor:"5,keyasint"`           // requests that run on them
	Backlog       int     `cbor:"6,keyasint"`           // expected tokens of the requests in the queue
	Rate          float32 `cbor:"7,keyasint"`           // tokens per second of all its backend servers
	NewestVersion uint64  `cbor:"8,keyasint,omitempty"` // newest weights version of its backend servers

	Waits []Wait `cbor:"9,keyasint,omitempty"` // the longest waits, at most maxWaits

	At time.Time `cbor:"-"` // time of arrival at this host, or when this host made it
}

// Wait is the expected wait of a workspace that has requests in the queue.
type Wait struct {
	_         struct{} `cbor:",toarray"`
	Workspace uint32   // workspaceHash of its name
	Units     uint16   // wait in units of waitUnit
}

// Check implements wire.Message. It returns a *wire.FieldError if the host or pool is
// empty, a number is negative or not finite, or there are more than maxWaits waits.
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
		return fail("Slots", "or Running or Backlog is negative")
	case s.Rate < 0 || math.IsNaN(float64(s.Rate)) || math.IsInf(float64(s.Rate), 0):
		return fail("Rate", "is negative or not finite")
	case len(s.Waits) > maxWaits:
		return fail("Waits", "is too long")
	}
	return nil
}

// WaitOf returns the expected wait of a new request of a workspace. It is
// maxWait when there are no slots. A workspace that is not listed has no wait,
// or, when the list is full, at most the shortest listed one, which is returned.
func (s Summary) WaitOf(workspace string) time.Duration {
	if s.Slots == 0 {
		return maxWait
	}
	if len(s.Waits) == 0 {
		return 0
	}
	hash := workspaceHash(workspace)
	shortest := maxWait
	for _, w := range s.Waits {
		if w.Workspace == hash {
			return w.duration()
		}
		shortest = min(shortest, w.duration())
	}
	if len(s.Waits) < maxWaits {
		return 0
	}
	return shortest
}

// SetWaits sets Waits to the longest of the given waits, which are by workspace.
func (s *Summary) SetWaits(waits map[string]time.Duration) {
	s.Waits = make([]Wait, 0, len(waits))
	for workspace, wait := range waits {
		units := min(wait, maxWait) / waitUnit
		s.Waits = append(s.Waits, Wait{Workspace: workspaceHash(workspace), Units: uint16(units)})
	}
	slices.SortFunc(s.Waits, func(a, b Wait) int {
		return cmp.Or(cmp.Compare(b.Units, a.Units), cmp.Compare(a.Workspace, b.Workspace))
	})
	s.Waits = s.Waits[:min(len(s.Waits), maxWaits)]
}

func (w Wait) duration() time.Duration { return time.Duration(w.Units) * waitUnit }

// workspaceHash shortens a workspace's name for summaries. Two workspaces with
// the same hash share a wait, which only makes their waits less accurate.
func workspaceHash(workspace string) uint32 { return uint32(xxhash.Sum64String(workspace)) }

const (
	// maxWait is the wait of a pool without slots, and the longest listed one.
	maxWait = time.Minute
	// waitUnit is the resolution of waits in summaries.
	waitUnit = 10 * time.Millisecond
	// maxWaits bounds the workspaces listed in a summary.
	maxWaits = 8
)
