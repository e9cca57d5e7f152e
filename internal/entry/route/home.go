// Package route chooses where a request runs: the home host of each backend
// server, one of the home hosts of the availability zone, whether another zone
// is worth the extra hop, and the backend server at the home host.
//
// The home assignment serves efficiency, not correctness: two hosts with
// different views of the live hosts may both send to one backend server. Each then
// reserves slots by its own count, so that together they may send more requests at
// once than the server has slots.
package route

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// Homes assigns each backend server of an availability zone to a home host by
// rendezvous hashing, so that a host that joins or leaves moves only its own
// backend servers. A Homes is immutable; build a new one when the live hosts
// of the zone change.
type Homes struct {
	hash *rendezvous.Rendezvous
}

// NewHomes builds the assignment for the live hosts of one zone.
func NewHomes(hosts []string) *Homes {
	sorted := slices.Sorted(slices.Values(hosts))
	return &Homes{hash: rendezvous.New(slices.Compact(sorted), xxhash.Sum64String)}
}

// HomeOf returns the home host of a backend server, empty when no host is live.
func (h *Homes) HomeOf(server string) string { return h.hash.Lookup(server) }
