// Package poison finds requests that crash the backend servers that run them,
// and never convicts a request that only ran beside one.
//
// Ledger is for hosts that can run a suspect alone on a backend server; Breaks, whose
// rules stand there, for those that can't. Rules of the Ledger:
//
//  1. A crash marks the requests that ran on the backend server as suspects,
//     by the fingerprint of their workspace and body.
//  2. A suspect runs only alone on a backend server. A whole answer clears it.
//  3. A crash with a suspect that ran alone convicts it. No other crash does:
//     beside other work, anyone may be the cause.
//  4. A planned stop, a reclaim or a lost connection is no crash. The host
//     reports a crash only when the backend server came back with a new boot
//     identifier or the platform reports it as failed.
//  5. Suspicions and convictions spread to other hosts and expire. A clearance
//     is not spread: it would free a request that another host convicts.
//
// Every method of Ledger and of Breaks is safe for concurrent use.
package poison

import (
	"crypto/sha256"
	"fmt"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// Fingerprint identifies a request by its workspace, route and body, so that a
// repeat by the same caller is recognized whatever its identifier.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request. Parts are separated by their
// lengths, so that no two different triples share one input.
func FingerprintOf(workspace, route string, body []byte) Fingerprint {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%d:%s%d:%s", len(workspace), workspace, len(route), route)
	_, _ = h.Write(body)
	return Fingerprint(h.Sum(nil)[:16])
}

// The times after which a mark expires unless it is renewed.
const (
	SuspectTTL    = 5 * time.Minute
	ConvictionTTL = 15 * time.Minute
)

// maxMarks bounds the ledger; at the bound the mark nearest to its end goes.
const maxMarks = 4096

// Mark is what hosts tell each other about a fingerprint. Left is the time in
// milliseconds until it expires; a duration needs no common clock.
type Mark struct {
	Request   Fingerprint `cbor:"1,keyasint"`
	Convicted bool        `cbor:"2,keyasint,omitempty"`
	TTLMillis uint32      `cbor:"3,keyasint"`
}

// Marks is the message that spreads marks. A host sends fresh marks at once and
// all of them to a host that joins.
type Marks struct {
	List []Mark `cbor:"1,keyasint"`
}

// Check implements wire.Message.
func (m Marks) Check() error {
	if len(m.List) > maxMarks {
		return &wire.FieldError{Type: "poison.Marks", Field: "List", Reason: "is too long"}
	}
	for _, mark := range m.List {
		if mark.Request == (Fingerprint{}) {
			return &wire.FieldError{Type: "poison.Marks", Field: "Print", Reason: "is empty"}
		}
		if left := time.Duration(mark.TTLMillis) * time.Millisecond; left > max(SuspectTTL, ConvictionTTL) {
			return &wire.FieldError{Type: "poison.Marks", Field: "Left", Reason: "is too long"}
		}
	}
	return nil
}

// Verdict says how a request may run.
type Verdict string

// The verdicts.
const (
	Run    Verdict = "run"
	Solo   Verdict = "solo"   // alone on a backend server
	Refuse Verdict = "refuse" // convicted
)

// ConvictedError tells a caller that its request crashed backend servers. The
// request did run, though not this time.
type ConvictedError struct {
	RetryAfter time.Duration // until the conviction expires
}

func (e *ConvictedError) Error() string {
	return "request not run: the same request crashed backend servers before"
}

// SuspectTable holds the marks that a host knows. The zero value holds none.
type SuspectTable struct {
	mu    sync.Mutex
	marks map[Fingerprint]*mark
}

type mark struct {
	convicted bool
	until     time.Time
}
