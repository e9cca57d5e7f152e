package weights

import "cmp"

// room is what may still start to load without going below the floor (rule 3).
type room struct {
	zones   map[string]*share
	fleet   share
	loading int
}

// share counts slots.
type share struct {
	all, loading, most int
}

func (p *Planner) roomOf(engines []Engine) *room {
	floor := cmp.Or(p.Policy.MinServingShare, DefaultMinServingShare)
	r := &room{zones: map[string]*share{}}
	for _, e := range engines {
		zone := r.zones[e.Zone]
		if zone == nil {
			zone = &share{}
			r.zones[e.Zone] = zone
		}
		_, loading := p.loads[e.Name]
		r.add(&r.fleet, e, loading)
		r.add(zone, e, loading)
		if loading {
			r.loading++
		}
	}
	r.fleet.limit(floor)
	for _, zone := range r.zones {
		zone.limit(floor)
	}
	return r
}

func (r *room) add(s *share, e Engine, loading bool) {
	s.all += slotsOf(e)
	if loading {
		s.loading += slotsOf(e)
	}
}

// slotsOf counts an engine that reports no slots as one.
func slotsOf(e Engine) int { return max(1, e.Slots) }

func (s *share) limit(floor float64) {
	if floor < 0 {
		floor = 0
	}
	s.most = int(float64(s.all) * (1 - floor))
}

func (s *share) fits(slots int) bool { return s.loading+slots <= s.most }

// take reserves room for a load. In a zone too small for its floor one engine
// at a time loads, so that every roll ends.
func (r *room) take(e Engine) bool {
	zone := r.zones[e.Zone]
	alone := zone.loading == 0
	if !alone && !zone.fits(slotsOf(e)) {
		return false
	}
	if r.loading > 0 && !r.fleet.fits(slotsOf(e)) {
		return false
	}
	r.loading++
	zone.loading += slotsOf(e)
	r.fleet.loading += slotsOf(e)
	return true
}
