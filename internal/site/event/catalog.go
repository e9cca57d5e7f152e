package event

import "slices"

// Catalog returns the entries of all events, ordered by number.
func Catalog() []Entry {
	return slices.Concat(entryEvents(), rolloutEvents(), fleetEvents(), siteEvents(), billingEvents(), platformEvents())
}
