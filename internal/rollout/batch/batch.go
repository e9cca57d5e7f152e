// Package batch keeps batches of generations from their acceptance to the last
// read of their results.
//
// Rules:
//
//  1. A batch is accepted when its record has been created in the store; its
//     body stands there before. Nothing is acknowledged earlier.
//  2. Results are appended to the batch's log, a row of objects that are each
//     created once. A position is handed to a reader only after the store has
//     acknowledged it, so it never changes.
//  3. The record names an owner, which runs the items: the home of the batch's
//     workspace and route, so that successive steps find their connections and
//     the text of carried items at one host. Ownership is for efficiency: two
//     owners at once append to one log, where each creation fails for the
//     second, which reads what stands there and drops its copies.
//  4. A host that is the next in rank takes a batch whose owner does not answer
//     or can't reach the store. It reads the log and runs what is missing.
//  5. An end is acknowledged when the record says so. The owner is told at once
//     and sees it by its watch as well.
package batch

import (
	"fmt"
	"net/http"
	"time"
)

// Prefixes of keys in the platform's store.
const (
	RecordPrefix = "hyssopwall-batches/"
	BodyPrefix   = "hyssopwall-bodies/"
	LogPrefix    = "hyssopwall-results/"
)

// Batch is a batch as submitted.
type Batch struct {
	ID            string        `json:"id"`
	Workspace     string        `json:"workspace"`
	Route         string        `json:"route"`
	Model         string        `json:"model,omitempty"`
	Step          int           `json:"step,omitempty"`
	Floor         uint64        `json:"floor,omitempty"` // oldest weights that may generate
	DesiredGroups int           `json:"want,omitempty"`  // complete groups that the trainer waits for
	Single        bool          `json:"single,omitempty"`
	Service       string        `json:"service"`
	Host          string        `json:"host"`
	Attempts      int           `json:"attempts"`
	Expiry        time.Duration `json:"expiry"`
	Items         []Item        `json:"items"`
}

// Item is one generation of a batch. Prefix identifies the shared part of its
// prompt; Length is an estimate of the tokens to generate, Most their largest
// number, each zero for unknown.
type Item struct {
	ID        string      `json:"id"`
	Target    string      `json:"target"`
	Header    http.Header `json:"header,omitempty"`
	Body      []byte      `json:"body"`
	Group     string      `json:"group,omitempty"`
	Prefix    string      `json:"prefix,omitempty"`
	Length    int         `json:"length,omitempty"`
	MaxTokens int         `json:"most,omitempty"`
	Scorer    *Scorer     `json:"scorer,omitempty"`
}

// Scorer is the call that gives a finished item its score.
type Scorer struct {
	ID     string `json:"id"`
	Host   string `json:"host"`
	Target string `json:"target"`
	Body   []byte `json:"body"`
}

// Tokens returns the estimate of the tokens to generate.
func (b Batch) Tokens() int {
	sum := 0
	for _, item := range b.Items {
		sum += item.Length
	}
	return sum
}

// Check implements the check of decoded values.
func (b Batch) Check() error {
	seen := make(map[string]bool, len(b.Items))
	switch {
	case b.ID == "":
		return &FieldError{Field: "id", Reason: "is empty"}
	case len(b.Items) == 0:
		return &FieldError{Field: "items", Reason: "is empty"}
	}
	for _, item := range b.Items {
		if item.ID == "" || seen[item.ID] {
			return &FieldError{Field: "items", Reason: "holds an empty or repeated identifier"}
		}
		seen[item.ID] = true
		if item.Target == "" || item.Target[0] != '/' {
			return &FieldError{Field: "items", Reason: "holds a path without a slash"}
		}
	}
	return nil
}

// FieldError names a field of a batch that can't be used.
type FieldError struct {
	Field  string
	Reason string
}

func (e *FieldError) Error() string { return fmt.Sprintf("batch: %s %s", e.Field, e.Reason) }

// Record is the object that stands for an accepted batch. Last is the owner
// before, empty for the first.
type Record struct {
	Workspace     string `json:"workspace"`
	Route         string `json:"route"`
	Model         string `json:"model,omitempty"`
	Floor         uint64 `json:"floor,omitempty"` // oldest weights that may generate
	Step          int    `json:"step,omitempty"`
	Tokens        int    `json:"tokens,omitempty"` // to generate, as estimated
	Total         int    `json:"total"`
	Parts         int    `json:"parts"` // objects that hold the body
	Submitted     int64  `json:"submitted"`
	Owner         string `json:"owner"`
	Incarnation   uint64 `json:"incarnation"`
	Epoch         uint64 `json:"epoch"`
	PreviousOwner string `json:"last,omitempty"`
	Ended         bool   `json:"ended,omitempty"`
}

// State is how an item ended.
type State string

// The states of results.
const (
	Completed State = "completed"
	Errored   State = "errored"
)

// Result is a finished item. Versions are the weights that generated its text,
// ordered and without repeats.
type Result struct {
	ID       string   `json:"id" cbor:"1,keyasint"`
	State    State    `json:"state" cbor:"2,keyasint"`
	Text     string   `json:"text,omitempty" cbor:"3,keyasint,omitempty"`
	Versions []uint64 `json:"versions,omitempty" cbor:"4,keyasint,omitempty"`
	Score    string   `json:"score,omitempty" cbor:"5,keyasint,omitempty"`
}

// Partial is the text of an item as far as it was generated, to its end when
// Whole is set. Versions are the weights that generated it. Fails is how often an
// engine failed the item, Final that none can ever do it, ScoreFails how often its
// scorer failed, Unscorable that it is not to be called again.
type Partial struct {
	Texts     []string `cbor:"1,keyasint"`
	Versions  []uint64 `cbor:"2,keyasint"`
	Complete  bool     `cbor:"3,keyasint,omitempty"`
	Failures  int      `cbor:"4,keyasint,omitempty"`
	Permanent bool     `cbor:"5,keyasint,omitempty"`

	ScorerFailures int  `cbor:"6,keyasint,omitempty"`
	Unscorable     bool `cbor:"7,keyasint,omitempty"`
}

// Page is a part of a batch's results from a position on.
type Page struct {
	Total   int      `cbor:"1,keyasint"`
	Next    int      `cbor:"2,keyasint"`
	Results []Result `cbor:"3,keyasint,omitempty"`
}

// NotFoundError says that the store holds no such batch or item, or that it
// belongs to another workspace.
type NotFoundError struct {
	ID string
}

func (e *NotFoundError) Error() string { return "no batch or item " + e.ID }

// UnavailableError says that the store could not be asked and nothing was done.
// After is when to come back.
type UnavailableError struct {
	Err        error
	RetryAfter time.Duration
}

func (e *UnavailableError) Error() string { return "store unavailable: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// OutcomeUnknownError says that a write may have taken effect.
type OutcomeUnknownError struct {
	Err error
}

func (e *OutcomeUnknownError) Error() string { return "outcome unknown: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }
