package server

import "time"

// heard notes a sign of the platform.
func (p *peers) heard() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.news = time.Now()
}

// freshFor is how long a sign of the platform counts as news.
const freshFor = 15 * time.Second

// age returns the time since the last sign of the platform.
func (p *peers) age() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.news)
}

// learnNews takes the age of the news that a peer has, which needs no common
// clock. A peer passes on how long ago the platform was heard and not that it
// is fresh, since hosts of a cut-off zone would keep each other fresh for ever.
func (p *peers) learnNews(age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at := time.Now().Add(-max(0, age)); at.After(p.news) {
		p.news = at
	}
}

// cutOff returns since when this host has been cut off from news, zero while
// it is not. A host that reaches every other zone, none of which has news
// either, is not cut off: the platform is down, and no document can have been
// accepted that would withdraw a key.
func (p *peers) cutOff() time.Time {
	age := p.age()
	if age < freshFor || p.reachesAll() {
		return time.Time{}
	}
	return time.Now().Add(-age)
}

// reachesAll reports whether a live host of every other zone is known.
func (p *peers) reachesAll() bool {
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
