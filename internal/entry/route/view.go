package route

import (
	"cmp"
	"slices"
	"time"
)

// RunningIDs returns the identifiers of this home's requests on a backend server,
// sorted; the suspects when it crashes.
func (e *Engines) RunningIDs(name string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.servers[name]
	if s == nil {
		return nil
	}
	ids := make([]string, 0, len(s.running))
	for id := range s.running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// IsAlone says whether a request is the only work on its backend server, as
// far as this home's counts and the last report tell.
func (e *Engines) IsAlone(now time.Time, name, id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.servers[name]
	if s == nil || len(s.running) != 1 || s.others(now) > 0 {
		return false
	}
	_, ok := s.running[id]
	return ok
}

// HasEligible reports whether a backend server of this home may run a request now or
// once it is free. One for which there is none must not wait here.
func (e *Engines) HasEligible(need Need) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.servers {
		if s.mayRun(need) {
			return true
		}
	}
	return false
}

// Boot returns the last known boot of a backend server, empty for none.
func (e *Engines) Boot(name string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.servers[name]; s != nil {
		return s.boot
	}
	return ""
}

// States returns the backend servers ordered by name.
func (e *Engines) States() []State {
	e.mu.Lock()
	defer e.mu.Unlock()
	states := make([]State, 0, len(e.servers))
	for _, s := range e.servers {
		described := s.Server
		described.Slots = s.slots()
		states = append(states, State{
			Server: described, Running: len(s.running), Version: s.version, Boot: s.boot,
			Leaving: s.leaving, Held: s.held, Speed: s.rate(),
		})
	}
	slices.SortFunc(states, func(a, b State) int { return cmp.Compare(a.Name, b.Name) })
	return states
}

// CacheEventGaps returns how often cache events were lost.
func (e *Engines) CacheEventGaps() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.gaps
}

// QueueLoad is what waits in the home's queue: expected tokens, and the expected
// wait of a new request of each workspace that waits.
type QueueLoad struct {
	Backlog int
	Waits   map[string]time.Duration
}

// Summarize returns the summary of a pool for other hosts.
func (e *Engines) Summarize(now time.Time, host, zone, pool string, queued QueueLoad) Summary {
	e.mu.Lock()
	defer e.mu.Unlock()
	sum := Summary{Host: host, Zone: zone, Pool: pool, Backlog: queued.Backlog, At: now}
	sum.SetWaits(queued.Waits)
	for _, s := range e.servers {
		if s.Pool != pool || s.leaving || s.held || now.Before(s.open) {
			continue
		}
		sum.Slots += s.slots()
		sum.Running += len(s.running) + s.others(now)
		sum.Rate += float32(s.rate() * float64(s.slots()))
		sum.NewestVersion = max(sum.NewestVersion, s.version)
	}
	return sum
}
