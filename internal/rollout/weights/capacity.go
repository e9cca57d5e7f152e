package weights

import "cmp"

// capacity limits the loads that may run at the same time, so that the minimum serving
// share is kept (rule 3).
type capacity struct {
	zones   map[string]*slotCount
	fleet   slotCount
	loading int // engines that load
}

// slotCount counts the slots of a zone or of the fleet: all of them, those of the engines
// that load, and the largest number that may load at the same time.
type slotCount struct {
	all, loading, maxLoading int
}

// loadCapacity returns the capacity that the loads in progress leave.
func (p *Planner) loadCapacity(engines []Engine) *capacity {
	minServing := cmp.Or(p.Policy.MinServingShare, DefaultMinServingShare)
	c := &capacity{zones: map[string]*slotCount{}}
	for _, e := range engines {
		zone := c.zones[e.Zone]
		if zone == nil {
			zone = &slotCount{}
			c.zones[e.Zone] = zone
		}
		_, loading := p.loads[e.Name]
		c.add(&c.fleet, e, loading)
		c.add(zone, e, loading)
		if loading {
			c.loading++
		}
	}
	c.fleet.limit(minServing)
	for _, zone := range c.zones {
		zone.limit(minServing)
	}
	return c
}

// add adds an engine's slots to a count.
func (c *capacity) add(s *slotCount, e Engine, loading bool) {
	s.all += slotsOf(e)
	if loading {
		s.loading += slotsOf(e)
	}
}

// slotsOf returns the number of slots of an engine, or 1 if it reports none.
func slotsOf(e Engine) int { return max(1, e.Slots) }

// limit sets maxLoading so that the minimum share of all slots keeps serving. A
// negative share means no minimum.
func (s *slotCount) limit(minServing float64) {
	if minServing < 0 {
		minServing = 0
	}
	s.maxLoading = int(float64(s.all) * (1 - minServing))
}

// fits reports whether another load of the given number of slots may start.
func (s *slotCount) fits(slots int) bool { return s.loading+slots <= s.maxLoading }

// reserve reserves capacity for a load and reports whether there was enough. One engine
// of a zone may always load, unless the fleet is at its limit, so that the rollout also
// completes in a zone that is too small to keep its minimum serving share.
func (c *capacity) reserve(e Engine) bool {
	zone := c.zones[e.Zone]
	alone := zone.loading == 0
	if !alone && !zone.fits(slotsOf(e)) {
		return false
	}
	if c.loading > 0 && !c.fleet.fits(slotsOf(e)) {
		return false
	}
	c.loading++
	zone.loading += slotsOf(e)
	c.fleet.loading += slotsOf(e)
	return true
}
