// Package hostlist defines the platform's list of live and leaving hosts. The
// list lags, so it is a hint for membership and never decides it.
package hostlist

import "context"

// Host is one entry host as the platform sees it.
type Host struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"` // UDP address between hosts, IP:port
	Leaving bool   `json:"leaving,omitempty"`
}

// Lister reads the list. Errors are those of package object.
type Lister interface {
	Hosts(ctx context.Context) ([]Host, error)
}
