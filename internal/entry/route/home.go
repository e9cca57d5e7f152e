// Package route chooses where a request runs: the home host of each backend
// server, the home among those of the availability zone, whether another zone
// is worth the hop, and the backend server inside a home.
//
// Homes make routing efficient, never safe: two hosts with different views may
// both use one backend server, and counts then differ, but nothing else does.
package route

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// Homes assigns each backend server of an availability zone a home host by
// rendezvous hashing, so that a host that joins or leaves moves only its own
// backend servers. A Homes is immutable; build a new one when the live hosts
// of the zone change.
type Homes struct {
	ring *rendezvous.Rendezvous
}

// NewHomes builds the assignment for the live hosts of one zone.
func NewHomes(hosts []string) *Homes {
	sorted := slices.Sorted(slices.Values(hosts))
	return &Homes{ring: rendezvous.New(slices.Compact(sorted), xxhash.Sum64String)}
}

// HomeOf returns the home host of a backend server, empty when no host is live.
func (h *Homes) HomeOf(server string) string { return h.ring.Lookup(server) }
