// Package report defines the platform's interface that takes usage reports.
package report

import (
	"context"
	"time"
)

// Line is the usage of one workspace in a window. Units are counts; Tokens
// are generated tokens. Adjusts names the earlier window that an adjustment
// belongs to.
type Line struct {
	Workspace string `json:"workspace" cbor:"1,keyasint"`
	Requests  uint64 `json:"requests" cbor:"2,keyasint"`
	Tokens    uint64 `json:"tokens" cbor:"3,keyasint"`
	Samples   uint64 `json:"samples" cbor:"4,keyasint"`
	Adjusts   string `json:"adjusts,omitempty" cbor:"5,keyasint,omitempty"`
}

// Report is a sealed usage window. The platform takes a repeat with the same
// ID and the same figures as the same report.
type Report struct {
	ID    string    `json:"id"`
	Start time.Time `json:"start"`
	End   time.Time `json:"end"`
	Epoch uint64    `json:"epoch"`
	Lines []Line    `json:"lines"`
}

// Sink takes reports. Errors are those of package object.
type Sink interface {
	Send(ctx context.Context, report Report) error
}
