// Package quota enforces the limits of a workspace on a route: requests and
// tokens a second, and requests at once. A limit holds for the whole fleet;
// each host enforces its own share without a message per request. Shares
// follow observed demand (see Split).
//
// Every method of Book is safe for concurrent use.
package quota

import (
	"fmt"
	"sync"
	"time"
)

// Key names what a limit applies to.
type Key struct {
	Workspace string `cbor:"1,keyasint"`
	Route     string `cbor:"2,keyasint"`
}

// Limit is the fleet-wide limit of a key. A zero field does not limit.
type Limit struct {
	Rate        float64       // requests a second
	Tokens      float64       // tokens a second
	Concurrency int           // requests at once
	Burst       time.Duration // how much unused rate is kept; zero means DefaultBurst
}

// DefaultBurst is the time over which unused rate is kept.
const DefaultBurst = 2 * time.Second

// Share is the part of a limit that this host enforces. Fraction applies to
// the rates, Slots is the host's part of the concurrency.
type Share struct {
	Fraction float64
	Slots    int
}

// The reasons of a RefusedError.
const (
	ReasonRate        = "rate"
	ReasonTokens      = "tokens"
	ReasonConcurrency = "concurrency"
)

// RefusedError says that a request was refused before any work, which limit it
// met, and when the same request may pass.
type RefusedError struct {
	Key        Key
	Reason     string
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("limit of %s on %s reached: %s", e.Key.Workspace, e.Key.Route, e.Reason)
}

// Limiter is the state of one host's limits. The zero value limits nothing.
type Limiter struct {
	mu       sync.Mutex
	accounts map[Key]*account
}

// account is the state of one key.
type account struct {
	limit    Limit
	share    Share
	requests bucket
	tokens   bucket
	running  int
	demand   meter
}

// Reservation accounts for one admitted request until Done.
type Reservation struct {
	key      Key
	tokens   int
	admitted bool
}
