package server

import "time"

// recordUpdate records that this host has just received an update from the platform.
func (p *peers) recordUpdate() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastUpdate = time.Now()
}

// maxUpdateAge is the age of the last update from which a host may count as cut off.
const maxUpdateAge = 15 * time.Second

// updateAge returns the time since the last update from the platform, received here
// or at a peer.
func (p *peers) updateAge() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.lastUpdate)
}

// mergeUpdateAge applies the age of a peer's last update if that is more recent. Ages
// need no common clock. Peers exchange the age rather than whether they are up to
// date, because the hosts of a cut-off zone would otherwise keep each other up to date
// forever.
func (p *peers) mergeUpdateAge(age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at := time.Now().Add(-max(0, age)); at.After(p.lastUpdate) {
		p.lastUpdate = at
	}
}

// cutOffSince returns the time of the last update if this host is cut off from the
// platform, and zero if it is not. A host whose updates are old but that reaches every
// other zone is not cut off: no zone has received an update, so the platform is down,
// and no document that withdraws a key can have been accepted.
func (p *peers) cutOffSince() time.Time {
	age := p.updateAge()
	if age < maxUpdateAge || p.reachesAllZones() {
		return time.Time{}
	}
	return time.Now().Add(-age)
}

// reachesAllZones reports whether each other zone has a live host. It returns false
// before the first document.
func (p *peers) reachesAllZones() bool {
	index := p.server.index.Load()
	if index == nil {
		return false
	}
	for _, zone := range index.Document.Zones {
		if zone.Name == p.server.config.Settings.Zone {
			continue
		}
		if _, ok := p.Gateway(zone.Name); !ok {
			return false
		}
	}
	return true
}
