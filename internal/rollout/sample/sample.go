// Package sample turns the event stream of a model engine into one sample,
// labeled with every weight version that produced any part of it.
//
// The label comes from the stream alone: the version that an engine was ordered
// to load, or that it reports as in force, says nothing about a token that was
// generated before a swap or read from a cached block.
package sample

import (
	"slices"

	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// Sample is one finished generation of a step. Versions is sorted, without
// repeats, and never empty in a sample that may be delivered. Score is
// meaningful when Scoring is Scored.
type Sample struct {
	Group    int      `json:"group" cbor:"1,keyasint"`
	Index    int      `json:"index" cbor:"2,keyasint"`
	Attempt  string   `json:"attempt" cbor:"3,keyasint"`
	Text     string   `json:"text" cbor:"4,keyasint"`
	Tokens   int      `json:"tokens" cbor:"5,keyasint"`
	Digest   string   `json:"digest" cbor:"6,keyasint"` // SHA-256 of Text in hexadecimal
	Versions []uint64 `json:"versions" cbor:"7,keyasint"`
	Reason   string   `json:"reason,omitempty" cbor:"8,keyasint,omitempty"`
	Score    float64  `json:"score,omitempty" cbor:"9,keyasint,omitempty"`
	Scoring  Scoring  `json:"scoring,omitempty" cbor:"10,keyasint,omitempty"`
}

// Scoring says what is known of a sample's score.
type Scoring string

// The scoring states. A step without a scoring service leaves it empty.
const (
	Scored   Scoring = "scored"
	Unscored Scoring = "unscored" // the outcome of a call that may not be repeated is unknown
)

// Check verifies the label and that the text is the one that was digested.
func (s Sample) Check() error {
	switch {
	case s.Group < 0 || s.Index < 0:
		return &wire.FieldError{Type: "sample.Sample", Field: "group or index", Reason: "is negative"}
	case s.Tokens < 0:
		return &wire.FieldError{Type: "sample.Sample", Field: "tokens", Reason: "is negative"}
	case !labeled(s.Versions):
		return &UnlabeledError{ID: s.Attempt}
	case Digest(s.Text) != s.Digest:
		return &wire.FieldError{Type: "sample.Sample", Field: "digest", Reason: "is not that of the text"}
	}
	return nil
}

// Fresh reports whether no version of the sample is more than bound versions
// older than newest.
func (s Sample) Fresh(newest, bound uint64) bool {
	return Fresh(s.Versions, newest, bound)
}

// Fresh reports whether the oldest of versions is at most bound versions older
// than newest. A version above newest is fresh: the caller has yet to hear of
// it. No versions are never fresh.
func Fresh(versions []uint64, newest, bound uint64) bool {
	if len(versions) == 0 {
		return false
	}
	oldest := slices.Min(versions)
	return oldest >= newest || newest-oldest <= bound
}

func labeled(versions []uint64) bool {
	return len(versions) > 0 && !slices.Contains(versions, 0)
}
