package pool

// SetSilent records whether a zone is silent (see package silence). The servers of a silent
// zone are not selected. They still count as usable, because silence lasts for seconds only.
func (p *Pool) SetSilent(zone string, silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silent == nil {
		p.silent = map[string]bool{}
	}
	if silent {
		p.silent[zone] = true
		return
	}
	delete(p.silent, zone)
	p.notify()
}

// ListedByZone returns the number of listed servers of each zone.
func (p *Pool) ListedByZone() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := map[string]int{}
	for _, e := range p.servers {
		counts[e.Zone]++
	}
	return counts
}
