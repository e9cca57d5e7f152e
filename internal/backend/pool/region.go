package pool

import "slices"

// regionOf returns the region of a zone, empty if unknown.
func (p *Pool) regionOf(zone string) string {
	if p.RegionOf == nil {
		return ""
	}
	return p.RegionOf(zone)
}

// inRegions reports whether the server is in a region of each of the lists. A server whose
// region is unknown is in none.
func (e *entry) inRegions(lists [][]string) bool {
	for _, list := range lists {
		if e.region == "" || !slices.Contains(list, e.region) {
			return false
		}
	}
	return true
}
