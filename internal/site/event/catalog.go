package event

import "slices"

// Catalog returns every event, ordered by number.
func Catalog() []Entry {
	return slices.Concat(entryEvents(), rolloutEvents(), fleetEvents(), siteEvents(), billingEvents(), platformEvents())
}
