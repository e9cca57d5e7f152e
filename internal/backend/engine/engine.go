// Package engine defines the protocol to a model engine: a backend server that
// batches requests continuously, caches prompt prefixes and reports the weight
// versions that produced each token.
package engine

import (
	"context"
	"fmt"
	"time"
)

// Request is one generation. ID is unique per attempt and is echoed in every
// event of the answer. It never holds a caller's key.
type Request struct {
	ID        string  `json:"id" cbor:"1,keyasint"`
	Model     string  `json:"model" cbor:"2,keyasint"`
	Adapter   string  `json:"adapter,omitempty" cbor:"3,keyasint,omitempty"`
	Prompt    string  `json:"prompt" cbor:"4,keyasint"`
	MaxTokens int     `json:"max_tokens" cbor:"5,keyasint"`
	Seed      int64   `json:"seed" cbor:"6,keyasint"`
	Priority  int     `json:"priority" cbor:"7,keyasint"` // higher runs first
	Resume    *Resume `json:"resume,omitempty" cbor:"8,keyasint,omitempty"`
}

// Resume continues a generation from text that another attempt produced.
// Cache is an exported key/value cache, empty when the text is computed again.
type Resume struct {
	Text     string   `json:"text" cbor:"1,keyasint"`
	Tokens   int      `json:"tokens" cbor:"2,keyasint"`
	Versions []uint64 `json:"versions" cbor:"3,keyasint"`
	Cache    []byte   `json:"cache,omitempty" cbor:"4,keyasint,omitempty"`
}

// Event is one element of an answer stream. Tokens counts the tokens of the
// event. The last event has Done set, and carries the token count and the
// SHA-256 of the whole text in hexadecimal, the text of a Resume included.
// Versions lists the weight versions that produced the tokens of this event or
// any cached block that they reused; an engine that omits them gives none.
type Event struct {
	ID       string   `json:"id" cbor:"1,keyasint"`
	Text     string   `json:"text,omitempty" cbor:"2,keyasint,omitempty"`
	Versions []uint64 `json:"versions,omitempty" cbor:"3,keyasint,omitempty"`
	Done     bool     `json:"done,omitempty" cbor:"4,keyasint,omitempty"`
	Tokens   int      `json:"tokens,omitempty" cbor:"5,keyasint,omitempty"`
	Digest   string   `json:"digest,omitempty" cbor:"6,keyasint,omitempty"`
	Reason   string   `json:"reason,omitempty" cbor:"7,keyasint,omitempty"` // "stop", "length", "canceled", "exported"
}

// Stream is an answer in progress. Next returns io.EOF after the event with
// Done; any earlier end is an error. Close cancels what has not finished.
type Stream interface {
	Next() (Event, error)
	Close() error
}

// State is what an engine reports about itself. Version is the weights in
// force, zero when none are loaded. Crashes counts restarts of the process.
type State struct {
	Name     string    `json:"name" cbor:"1,keyasint"`
	Model    string    `json:"model" cbor:"2,keyasint"`
	Version  uint64    `json:"version" cbor:"3,keyasint"`
	Adapters []string  `json:"adapters,omitempty" cbor:"4,keyasint,omitempty"`
	Role     string    `json:"role,omitempty" cbor:"5,keyasint,omitempty"`
	Running  int       `json:"running" cbor:"6,keyasint"`
	Waiting  int       `json:"waiting" cbor:"7,keyasint"`
	Slots    int       `json:"slots" cbor:"8,keyasint"`
	Boot     string    `json:"boot" cbor:"9,keyasint"` // changes at each start
	At       time.Time `json:"at" cbor:"10,keyasint"`  // time of the load figures, which lag
}

// CacheEvent says that the engine stored or evicted a prefix block. Sequence
// grows by one; a gap means that events were lost.
type CacheEvent struct {
	Sequence uint64 `json:"sequence" cbor:"1,keyasint"`
	Prefix   uint64 `json:"prefix" cbor:"2,keyasint"` // hash of the prompt up to the block's end
	Evicted  bool   `json:"evicted,omitempty" cbor:"3,keyasint,omitempty"`
}

// Command changes what an engine serves. Exactly one of Version, Adapter and
// Role is set. Engines that honor fencing refuse an Epoch lower than the
// highest seen.
type Command struct {
	ID      string `json:"id" cbor:"1,keyasint"`
	Epoch   uint64 `json:"epoch" cbor:"2,keyasint"`
	Model   string `json:"model,omitempty" cbor:"3,keyasint,omitempty"`
	Version uint64 `json:"version,omitempty" cbor:"4,keyasint,omitempty"`
	Adapter string `json:"adapter,omitempty" cbor:"5,keyasint,omitempty"`
	Role    string `json:"role,omitempty" cbor:"6,keyasint,omitempty"`
}

// Runner runs generations on one engine.
type Runner interface {
	// Run starts a generation. A *RefusedError means that no work was done.
	Run(ctx context.Context, request Request) (Stream, error)
	// Cancel ends a generation; an unknown ID is not an error.
	Cancel(ctx context.Context, id string) error
}

// Engine is the whole protocol to one engine.
type Engine interface {
	Runner
	// Export stops a generation and returns what another engine needs to
	// continue it.
	Export(ctx context.Context, id string) (Resume, error)
	// Apply sends a command and returns when the engine accepted it. The
	// engine is changed only when State says so.
	Apply(ctx context.Context, command Command) error
	State(ctx context.Context) (State, error)
	// CacheEvents returns the events after a sequence number.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
}

// RefusedError says that the engine refused before any work.
type RefusedError struct {
	Code       string // "busy", "fenced", "model", "leaving", "cache"
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine refused: %s", e.Code)
}

// BrokenError says that an answer ended early or is not the answer to the
// request: Reason is "connect", "truncated", "crossed", "digest", "malformed"
// or "status".
// Sent says whether a byte of the request may have reached the engine.
type BrokenError struct {
	ID     string
	Reason string
	Sent   bool
	Err    error
}

func (e *BrokenError) Error() string {
	return fmt.Sprintf("answer to %s broken: %s", e.ID, e.Reason)
}

// Unwrap returns the cause, which may be nil.
func (e *BrokenError) Unwrap() error { return e.Err }
