// Package sample collects the event stream of an engine into one sample, which is
// labeled with every weights version that generated any part of it.
//
// The versions are taken from the stream alone. The version that an engine was told
// to load, or that it reports as loaded, may differ from the one that generated a
// token before a swap of weights or that filled a reused cache block.
package sample

import (
	"slices"

	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// Sample is one finished generation of a step. Group and Index are its place in the
// step, Attempt is the identifier of the engine request that finished it. Versions is
// sorted, without repeats, and never empty in a sample that may be delivered. Reason is
// the engine's reason for ending the generation. Score is valid if Scoring is Scored.
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

// Scoring is the state of a sample's score.
type Scoring string

// The states of a score. The state stays empty in a step whose plan asks for no scores. A
// sample is unscored if the outcome of a call is unknown and it must not be repeated, if no
// call succeeded in time, or if there is no scorer.
const (
	Scored   Scoring = "scored"
	Unscored Scoring = "unscored"
)

// Check validates the sample's place, token count, versions and digest.
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

// Fresh reports whether all versions of the sample are at most bound versions older
// than newest.
func (s Sample) Fresh(newest, bound uint64) bool {
	return Fresh(s.Versions, newest, bound)
}

// Fresh reports whether the oldest of versions is at most bound versions older than
// newest. A version above newest is fresh, because the caller's newest may be outdated.
// An empty list is not fresh.
func Fresh(versions []uint64, newest, bound uint64) bool {
	if len(versions) == 0 {
		return false
	}
	oldest := slices.Min(versions)
	return oldest >= newest || newest-oldest <= bound
}

// labeled reports whether versions names at least one version and no zero.
func labeled(versions []uint64) bool {
	return len(versions) > 0 && !slices.Contains(versions, 0)
}
