// Package report defines the platform's interface that accepts usage reports.
package report

import (
	"context"
	"time"
)

// Line is the usage of one workspace in a window. Tokens counts generated tokens, Samples
// those samples that were delivered to a trainer. Adjusts is set on an adjustment, a line
// of its own, and names the other window that it belongs to by its start in RFC 3339.
type Line struct {
	Workspace string `json:"workspace" cbor:"1,keyasint"`
	Requests  uint64 `json:"requests" cbor:"2,keyasint"`
	Tokens    uint64 `json:"tokens" cbor:"3,keyasint"`
	Samples   uint64 `json:"samples" cbor:"4,keyasint"`
	Adjusts   string `json:"adjusts,omitempty" cbor:"5,keyasint,omitempty"`
}

// Report is the usage in a sealed window, from Start to End. The ID is an idempotency key:
// the platform accepts a repeated report with the same ID and values, and counts it once.
// Epoch is that of the lease of the host that sends the report.
type Report struct {
	ID    string    `json:"id"`
	Start time.Time `json:"start"`
	End   time.Time `json:"end"`
	Epoch uint64    `json:"epoch"`
	Lines []Line    `json:"lines"`
}

// Sink accepts usage reports. Errors are those of package object.
type Sink interface {
	// Send returns once the platform has accepted the report.
	Send(ctx context.Context, report Report) error
}
