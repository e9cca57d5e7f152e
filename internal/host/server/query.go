package server

import "time"

// Serves reports whether the host is ready and has access to backend servers of each
// pool, in its own zone or in another.
func (s *Server) Serves(pools []string) bool {
	if s.ready() != nil {
		return false
	}
	for _, pool := range pools {
		if s.picker.Total(time.Now(), s.config.Settings.Zone, pool).Slots == 0 && !s.reachableElsewhere(pool) {
			return false
		}
	}
	return true
}

// reachableElsewhere reports whether another zone has slots for a pool.
func (s *Server) reachableElsewhere(pool string) bool {
	for _, hop := range s.peers.Hops(pool) {
		if hop.Total.Slots > 0 {
			return true
		}
	}
	return false
}
