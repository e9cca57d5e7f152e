// Package engine defines the protocol between a host and an engine, and implements
// its client. An engine is a backend server that generates text: it batches requests
// continuously, caches prompt prefixes and reports the weights versions that produced
// each token.
package engine

import (
	"context"
	"fmt"
	"time"
)

// Request asks for one generation. ID is unique per attempt; the engine repeats it in
// every event of the response. MaxTokens limits the tokens of the complete text, including
// those of a Resume; zero means no limit. A Request never contains the API key of its
// caller.
type Request struct {
	ID        string  `json:"id" cbor:"1,keyasint"`
	Model     string  `json:"model" cbor:"2,keyasint"`
	Adapter   string  `json:"adapter,omitempty" cbor:"3,keyasint,omitempty"`
	Prompt    string  `json:"prompt" cbor:"4,keyasint"`
	MaxTokens int     `json:"max_tokens" cbor:"5,keyasint"`
	Seed      int64   `json:"seed" cbor:"6,keyasint"`
	Priority  int     `json:"priority" cbor:"7,keyasint"` // requests of higher priority run first
	Resume    *Resume `json:"resume,omitempty" cbor:"8,keyasint,omitempty"`
}

// Resume is the state from which a generation continues: text that another attempt
// produced, the number of its tokens and the weights versions that produced it. Cache
// is an exported key-value cache; if it is empty, the engine recomputes the cache from
// the text.
type Resume struct {
	Text     string   `json:"text" cbor:"1,keyasint"`
	Tokens   int      `json:"tokens" cbor:"2,keyasint"`
	Versions []uint64 `json:"versions" cbor:"3,keyasint"`
	Cache    []byte   `json:"cache,omitempty" cbor:"4,keyasint,omitempty"`
}

// Event is one element of a response stream. Tokens is the number of tokens in the
// event. The last event has Done set; its Tokens and Digest are the token count and the
// hexadecimal SHA-256 digest of the complete text, including the text of a Resume.
// Versions lists the weights versions that produced the tokens of this event or the
// cached blocks that they reused. It is empty if the engine doesn't report versions.
// Reason, in the last event, says why the generation ended: "stop", "length", "canceled" or
// "exported".
type Event struct {
	ID       string   `json:"id" cbor:"1,keyasint"`
	Text     string   `json:"text,omitempty" cbor:"2,keyasint,omitempty"`
	Versions []uint64 `json:"versions,omitempty" cbor:"3,keyasint,omitempty"`
	Done     bool     `json:"done,omitempty" cbor:"4,keyasint,omitempty"`
	Tokens   int      `json:"tokens,omitempty" cbor:"5,keyasint,omitempty"`
	Digest   string   `json:"digest,omitempty" cbor:"6,keyasint,omitempty"`
	Reason   string   `json:"reason,omitempty" cbor:"7,keyasint,omitempty"`
}

// Stream is a response in progress. Next returns io.EOF after the event with Done set;
// a stream that ends earlier returns another error. Close cancels a generation that has
// not finished.
type Stream interface {
	Next() (Event, error)
	Close() error
}

// State is the state that an engine reports. Version is the weights version in use,
// zero if none is loaded.
type State struct {
	Name     string    `json:"name" cbor:"1,keyasint"`
	Model    string    `json:"model" cbor:"2,keyasint"`
	Version  uint64    `json:"version" cbor:"3,keyasint"`
	Adapters []string  `json:"adapters,omitempty" cbor:"4,keyasint,omitempty"`
	Role     string    `json:"role,omitempty" cbor:"5,keyasint,omitempty"` // such as "prefill" or "decode"; empty if the engine has none
	Running  int       `json:"running" cbor:"6,keyasint"`
	Waiting  int       `json:"waiting" cbor:"7,keyasint"`
	Slots    int       `json:"slots" cbor:"8,keyasint"` // generations that can run at the same time
	Boot     string    `json:"boot" cbor:"9,keyasint"`  // changes each time the engine starts
	At       time.Time `json:"at" cbor:"10,keyasint"`   // time at which Running and Waiting were measured; they lag
}

// CacheEvent reports that the engine stored or evicted a prefix block. Sequence
// starts at 1 when the engine starts and increases by one with each event; a gap means
// that events were lost.
type CacheEvent struct {
	Sequence uint64 `json:"sequence" cbor:"1,keyasint"`
	Prefix   uint64 `json:"prefix" cbor:"2,keyasint"` // hash of the prompt up to the end of the block; see PrefixHashes
	Evicted  bool   `json:"evicted,omitempty" cbor:"3,keyasint,omitempty"`
}

// Command changes the weights version, the adapters or the role of an engine. Exactly
// one of Version, Adapter and Role is set. Model is the model of Version; if it is empty,
// the engine keeps its model. A command with the ID of an accepted one has no further
// effect. Epoch is the fencing token: engines that implement fencing refuse an epoch lower
// than the highest one they have received.
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
	// Run starts a generation. A *RefusedError means that the engine did no work; a
	// *BrokenError reports whether it may have.
	Run(ctx context.Context, request Request) (Stream, error)
	// Cancel cancels a generation. An unknown ID is not an error.
	Cancel(ctx context.Context, id string) error
}

// Engine is the complete protocol to one engine.
type Engine interface {
	Runner
	// Export stops a generation and returns the state from which another engine can
	// continue it.
	Export(ctx context.Context, id string) (Resume, error)
	// Apply sends a command and returns when the engine has accepted it. The command
	// has taken effect only when State reports it.
	Apply(ctx context.Context, command Command) error
	// State returns the state that the engine reports.
	State(ctx context.Context) (State, error)
	// CacheEvents returns the cache events after a sequence number.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
}

// RefusedError reports that the engine refused a request or command before doing any work.
// RetryAfter is the wait that the engine asked for, zero if none.
//
// Code is the engine's reason, such as "busy" (too many generations wait), "fenced" (the
// epoch is too low), "model" (the model or the adapter isn't loaded), "leaving" (the engine
// takes no new generations) or "cache" (it can't continue from the Resume).
type RefusedError struct {
	Code       string
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine refused: %s", e.Code)
}

// BrokenError reports that there is no valid response to a request: the response ended
// early, failed a check or belongs to another request. Reason is one of the Reason
// constants. Sent reports whether a byte of the request may have reached the engine.
type BrokenError struct {
	ID     string // of the request or command; "state" or "cache" for these queries
	Reason string
	Sent   bool
	Err    error // the cause; may be nil
}

func (e *BrokenError) Error() string {
	return fmt.Sprintf("answer to %s broken: %s", e.ID, e.Reason)
}

// Unwrap returns the cause, which may be nil.
func (e *BrokenError) Unwrap() error { return e.Err }
