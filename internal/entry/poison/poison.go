// Package poison detects requests that crash the backend servers that run them,
// without convicting requests that only ran beside one. A convicted request is
// refused until the conviction expires.
//
// SuspectTable is for hosts that can run a suspect alone on a backend server.
// CrashCounter, which has rules of its own, is for hosts that can't. Rules of
// SuspectTable:
//
//  1. A crash marks the requests that ran on the backend server as suspects, by
//     the fingerprint of their workspace, route and body.
//  2. A suspect runs only alone on a backend server. A complete response clears
//     it.
//  3. A crash while a suspect ran alone convicts it. No other crash does: if
//     several requests ran, any of them may be the cause.
//  4. A lost connection alone is not a crash. The home host reports a crash only
//     when the backend server then doesn't answer a request for its state, or
//     answers with a new boot identifier. A planned stop or a reclaim is not a
//     crash either, but a server that is gone before it can answer looks like one.
//  5. Suspicions and convictions are sent to other hosts, and expire. A clearance
//     is not sent: it could clear a request that another host convicts.
//
// Every method of SuspectTable and of CrashCounter is safe for concurrent use.
package poison

import (
	"crypto/sha256"
	"fmt"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// Fingerprint identifies a request by its workspace, route and body. A repeated
// request has the same fingerprint under any request identifier.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request. Workspace and route are
// preceded by their lengths, so that no two requests have the same hash input.
func FingerprintOf(workspace, route string, body ...[]byte) Fingerprint {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%d:%s%d:%s", len(workspace), workspace, len(route), route)
	for _, part := range body {
		_, _ = h.Write(part)
	}
	return Fingerprint(h.Sum(nil)[:16])
}

// The times after which a mark expires unless it is renewed.
const (
	SuspectTTL    = 5 * time.Minute
	ConvictionTTL = 15 * time.Minute
)

// maxMarks bounds the requests that a SuspectTable or a CrashCounter holds. A full
// SuspectTable replaces the mark that expires first, a full CrashCounter an arbitrary
// request if none has expired.
const maxMarks = 4096

// Mark is a suspicion or conviction as hosts send it to each other. TTLMillis is
// the time until it expires, which unlike a date needs no synchronized clocks.
type Mark struct {
	Request   Fingerprint `cbor:"1,keyasint"`
	Convicted bool        `cbor:"2,keyasint,omitempty"`
	TTLMillis uint32      `cbor:"3,keyasint"`
}

// Marks is the message that carries marks. A host sends new and renewed marks at
// once to the hosts that are live then.
type Marks struct {
	List []Mark `cbor:"1,keyasint"`
}

// Check returns a *wire.FieldError for too many marks, an empty fingerprint or a
// TTLMillis above the longest TTL. The error calls Request Print and TTLMillis Left.
func (m Marks) Check() error {
	if len(m.List) > maxMarks {
		return &wire.FieldError{Type: "poison.Marks", Field: "List", Reason: "is too long"}
	}
	for _, mark := range m.List {
		if mark.Request == (Fingerprint{}) {
			return &wire.FieldError{Type: "poison.Marks", Field: "Print", Reason: "is empty"}
		}
		if ttl := time.Duration(mark.TTLMillis) * time.Millisecond; ttl > max(SuspectTTL, ConvictionTTL) {
			return &wire.FieldError{Type: "poison.Marks", Field: "Left", Reason: "is too long"}
		}
	}
	return nil
}

// Verdict is how a request may run.
type Verdict string

// The verdicts.
const (
	Run    Verdict = "run"
	Solo   Verdict = "solo"   // a suspect: only alone on a backend server
	Refuse Verdict = "refuse" // convicted
)

// ConvictedError is the refusal of a request that crashed backend servers before, or
// has so many broken sends that a CrashCounter must decide them first. The request may
// have run in its earlier sends, but was not sent this time.
type ConvictedError struct {
	// RetryAfter is the time until the conviction expires or the latest broken send
	// is decided, with a CrashCounter also until the next trial.
	RetryAfter time.Duration
}

func (e *ConvictedError) Error() string {
	return "request not run: the same request crashed backend servers before"
}

// SuspectTable holds the marks of one host. The zero value holds none.
type SuspectTable struct {
	mu    sync.Mutex
	marks map[Fingerprint]*mark
}

// mark is a suspicion or conviction.
type mark struct {
	convicted bool
	expiry    time.Time
}
