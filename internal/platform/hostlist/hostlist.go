// Package hostlist defines the platform's list of live and leaving hosts. The list may be
// out of date, so it is only a hint for membership and never decides it.
package hostlist

import "context"

// Host is one host in the platform's list.
type Host struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"` // UDP address for traffic between hosts, IP:port
	Leaving bool   `json:"leaving,omitempty"`
}

// Lister returns the platform's list. Errors are those of package object.
type Lister interface {
	// Hosts returns the live and leaving hosts.
	Hosts(ctx context.Context) ([]Host, error)
}
