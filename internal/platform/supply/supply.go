// Package supply defines the platform's interface for ordering and listing backend
// servers by availability zone.
package supply

import (
	"context"
	"time"
)

// Class is the price class of a backend server.
type Class string

// The price classes. The platform can reclaim a spot server at a few seconds' notice.
const (
	OnDemand Class = "demand"
	Spot     Class = "spot"
)

// Order sets the number of backend servers of a pool and class in a zone. Count is the
// desired total, not a change. The ID is an idempotency key: the platform treats orders
// with one ID as the same order. It refuses an order whose Epoch, a fencing token, is
// lower than the highest that it has seen.
type Order struct {
	ID    string `json:"id"`
	Zone  string `json:"zone"`
	Pool  string `json:"pool"`
	Class Class  `json:"class"`
	Count int    `json:"count"`
	Epoch uint64 `json:"epoch"`
}

// Server is one backend server that the platform runs. Leaving is set once the platform
// has announced that it takes the server away.
type Server struct {
	Name      string    `json:"name"`
	Zone      string    `json:"zone"`
	Pool      string    `json:"pool"`
	Class     Class     `json:"class"`
	Address   string    `json:"address"` // URL or IP:port
	Leaving   bool      `json:"leaving,omitempty"`
	NoticeEnd time.Time `json:"until,omitzero"` // when the server is reclaimed; zero unless Leaving
}

// Supply orders and lists backend servers. Errors are those of package object.
type Supply interface {
	// Place sends an order and returns when the platform has accepted it.
	Place(ctx context.Context, order Order) error
	// Servers lists the backend servers of a zone, or of all zones for "".
	Servers(ctx context.Context, zone string) ([]Server, error)
}
