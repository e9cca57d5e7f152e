// Package supply defines the platform's interface that orders backend servers
// by availability zone.
package supply

import (
	"context"
	"time"
)

// Class names the price class of a backend server.
type Class string

// The price classes. A spot server can be reclaimed on seconds' notice.
const (
	OnDemand Class = "demand"
	Spot     Class = "spot"
)

// Order sets the number of backend servers of a pool and class in a zone: Count
// is the whole number wanted, not a change. The platform treats an Order
// with a known ID as the same order, and refuses one whose Epoch is lower than
// the highest that it has seen.
type Order struct {
	ID    string `json:"id"`
	Zone  string `json:"zone"`
	Pool  string `json:"pool"`
	Class Class  `json:"class"`
	Count int    `json:"count"`
	Epoch uint64 `json:"epoch"`
}

// Server is one backend server that the platform runs.
type Server struct {
	Name      string    `json:"name"`
	Zone      string    `json:"zone"`
	Pool      string    `json:"pool"`
	Class     Class     `json:"class"`
	Address   string    `json:"address"`
	Leaving   bool      `json:"leaving,omitempty"`
	NoticeEnd time.Time `json:"until,omitzero"` // end of a reclaim notice
}

// Supply is the ordering interface. Errors are those of package object.
type Supply interface {
	// Place sends an order and returns when the platform has accepted it.
	Place(ctx context.Context, order Order) error
	// Servers lists the backend servers of a zone, or of all for "".
	Servers(ctx context.Context, zone string) ([]Server, error)
}
