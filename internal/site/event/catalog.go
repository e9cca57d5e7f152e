package event

import (
	"slices"
	"sync"
)

// Catalog returns the entries of all events, ordered by number.
func Catalog() []Entry {
	return slices.Concat(entryEvents(), rolloutEvents(), fleetEvents(), siteEvents(), billingEvents(), platformEvents())
}

// known returns the catalog, built at its first use: each logged event looks up its entry, and
// building the catalog for it was half of the processor time of a host that follows many servers.
var known = sync.OnceValue(Catalog)
