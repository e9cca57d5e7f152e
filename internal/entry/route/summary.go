package route

import (
	"math"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// Summary is what a home host tells the hosts of its availability zone each
// second about the backend servers of one pool. In all it also describes a
// zone to the others, with the zone's name as Host.
type Summary struct {
	Host    string  `cbor:"1,keyasint"`
	Zone    string  `cbor:"2,keyasint"`
	Pool    string  `cbor:"3,keyasint"` // model or service
	Slots   int     `cbor:"4,keyasint"` // requests that its backend servers run at once
	Running int     `cbor:"5,keyasint"`
	Backlog int     `cbor:"6,keyasint"` // expected tokens waiting
	Rate    float32 `cbor:"7,keyasint"` // tokens a second of all its backend servers
	Newest  uint64  `cbor:"8,keyasint,omitempty"`

	At time.Time `cbor:"-"` // when it arrived here
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
	}
	return nil
}

// Wait returns the expected wait of a new request in the home's queue. It is
// maxWait for a home without capacity.
func (s Summary) Wait() time.Duration {
	if s.Slots == 0 {
		return maxWait
	}
	if s.Backlog == 0 {
		return 0
	}
	if s.Rate <= 0 {
		return maxWait
	}
	return min(maxWait, time.Duration(float64(s.Backlog)/float64(s.Rate)*float64(time.Second)))
}

// maxWait stands for a wait without a known end.
const maxWait = time.Minute

// fill returns the part of the home's slots in use, above one when requests
// wait. extra counts requests sent there since the summary.
func (s Summary) fill(extra int) float64 {
	if s.Slots == 0 {
		return math.Inf(1)
	}
	load := float64(s.Running+extra) / float64(s.Slots)
	return load + s.Wait().Seconds()
}
