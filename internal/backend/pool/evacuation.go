package pool

import (
	"slices"
	"time"
)

// evacuations holds the zones to which nothing may be sent. The zero value has none.
type evacuations struct {
	pending bool // they have to be known before the first send, and are not known yet
	zones   map[string]bool
	ended   map[string]time.Time // end of the latest evacuation by zone
}

// isClosed reports whether nothing may be sent to a zone now.
func (e *evacuations) isClosed(zone string) bool { return e.pending || e.zones[zone] }

// EvacuatedError reports that a server's zone is evacuated, or that it is not known yet
// whether it is.
type EvacuatedError struct {
	Server string
	Zone   string
}

func (e *EvacuatedError) Error() string {
	return "server " + e.Server + " is in zone " + e.Zone + ", which is evacuated or may be"
}

// AwaitEvacuations closes all servers until the first call of SetEvacuated.
func (p *Pool) AwaitEvacuations() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evacuations.pending = true
}

// EvacuationsPending reports whether AwaitEvacuations has been called, and SetEvacuated not yet.
func (p *Pool) EvacuationsPending() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.evacuations.pending
}

// EndEvacuationsWait opens all servers if AwaitEvacuations has been called, and SetEvacuated not
// yet. It reports whether it did.
func (p *Pool) EndEvacuationsWait() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.evacuations.pending {
		return false
	}
	p.evacuations.pending = false
	p.notify()
	return true
}

// SetEvacuated sets the zones that are evacuated and returns those whose evacuation begins and
// ends. Their servers get no requests, those that wait for a connection included. Running
// requests go on.
func (p *Pool) SetEvacuated(zones []string) (began, ended []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[string]bool, len(zones))
	for _, zone := range zones {
		next[zone] = true
		if !p.evacuations.zones[zone] && !slices.Contains(began, zone) {
			began = append(began, zone)
		}
	}
	for zone := range p.evacuations.zones {
		if !next[zone] {
			ended = append(ended, zone)
			if p.evacuations.ended == nil {
				p.evacuations.ended = map[string]time.Time{}
			}
			p.evacuations.ended[zone] = p.now()
		}
	}
	if p.evacuations.pending || len(began)+len(ended) > 0 { // watches confirm the same zones every second
		p.notify()
	}
	p.evacuations.zones, p.evacuations.pending = next, false
	return began, ended
}

// IsEvacuated reports whether nothing may be sent to a zone now.
func (p *Pool) IsEvacuated(zone string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.evacuations.isClosed(zone)
}

// EvacuatedCount returns the number of evacuated zones.
func (p *Pool) EvacuatedCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.evacuations.zones)
}
