package server

import "time"

// Serves reports whether the host is ready and can reach a backend server of
// each pool, in its own zone or in another.
func (s *Server) Serves(pools []string) bool {
	if s.ready() != nil {
		return false
	}
	for _, pool := range pools {
		if s.picker.Total(time.Now(), s.config.Settings.Zone, pool).Slots == 0 && !s.hops(pool) {
			return false
		}
	}
	return true
}

func (s *Server) hops(pool string) bool {
	for _, hop := range s.peers.Hops(pool) {
		if hop.Total.Slots > 0 {
			return true
		}
	}
	return false
}
