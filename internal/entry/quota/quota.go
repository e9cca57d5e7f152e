// Package quota enforces the limits of a workspace on a route: requests per second,
// tokens per second, and concurrent requests. A limit holds for the whole fleet. Each
// host enforces its own share of it, without a message per request. The owner of a
// Limiter sets the shares: evenly, as package host/server does, or by the observed
// demand of all hosts, as Splitter computes them.
//
// Every method of Limiter is safe for concurrent use.
package quota

import (
	"fmt"
	"sync"
	"time"
)

// Key is the workspace and route that a limit applies to.
type Key struct {
	Workspace string `cbor:"1,keyasint"`
	Route     string `cbor:"2,keyasint"`
}

// Limit is the fleet-wide limit of a key. A zero Rate, Tokens or Concurrency does not
// limit.
type Limit struct {
	Rate        float64       // requests per second
	Tokens      float64       // tokens per second
	Concurrency int           // concurrent requests
	Burst       time.Duration // time for which unused rate accumulates; zero means DefaultBurst
}

// DefaultBurst is the default of Limit.Burst.
const DefaultBurst = 2 * time.Second

// Share is the part of a limit that this host enforces. Fraction applies to the
// rates, Slots is the host's part of the concurrency. Without slots, all requests are
// refused if the limit has a Concurrency. With a zero Fraction, the buckets of the rates
// are not refilled.
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

// RefusedError is the refusal of a request before any work. Reason is the limit that
// was reached, RetryAfter the time after which the same request may be admitted.
type RefusedError struct {
	Key        Key
	Reason     string
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("limit of %s on %s reached: %s", e.Key.Workspace, e.Key.Route, e.Reason)
}

// Limiter enforces this host's shares of all limits. The zero value limits nothing.
type Limiter struct {
	mu   sync.Mutex
	keys map[Key]*keyState
}

// keyState is the state of one key's limit.
type keyState struct {
	limit    Limit
	share    Share
	requests bucket
	tokens   bucket
	running  int   // admitted requests that have not finished
	demand   meter // in the unit of Limiter.Demand
}

// Reservation is an admitted request, from Acquire to Finish. It is empty if no limit
// applies.
type Reservation struct {
	key      Key
	tokens   int // expected tokens, which were taken from the bucket
	admitted bool
}
