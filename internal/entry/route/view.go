package route

import (
	"cmp"
	"slices"
	"time"
)

// RunningIDs returns the identifiers of this home's requests on a backend
// server, sorted. They are the suspects when the server crashes.
func (ss *Servers) RunningIDs(name string) []string {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	s := ss.servers[name]
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

// IsAlone reports whether a request is the only one on its backend server, by
// this home's counts and the server's last report.
func (ss *Servers) IsAlone(now time.Time, name, id string) bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	s := ss.servers[name]
	if s == nil || len(s.running) != 1 || s.foreignLoad(now) > 0 {
		return false
	}
	_, ok := s.running[id]
	return ok
}

// HasEligible reports whether any backend server of this home may run a request
// now or later, when a slot is free. If none may, the request must not be
// queued here.
func (ss *Servers) HasEligible(need Need) bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	for _, s := range ss.servers {
		if s.isEligible(need) {
			return true
		}
	}
	return false
}

// Boot returns the last reported boot identifier of a backend server, empty if
// none was reported.
func (ss *Servers) Boot(name string) string {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	if s := ss.servers[name]; s != nil {
		return s.boot
	}
	return ""
}

// States returns the states of the backend servers, ordered by name.
func (ss *Servers) States() []State {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	states := make([]State, 0, len(ss.servers))
	for _, s := range ss.servers {
		described := s.Server
		described.Slots = s.slots()
		states = append(states, State{
			Server: described, Running: len(s.running), Version: s.version, Boot: s.boot,
			Leaving: s.leaving, Held: s.held, Speed: s.expectedSpeed(),
		})
	}
	slices.SortFunc(states, func(a, b State) int { return cmp.Compare(a.Name, b.Name) })
	return states
}

// CacheEventGaps returns the number of times that cache events were lost.
func (ss *Servers) CacheEventGaps() int {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return ss.gaps
}

// QueueLoad is the load of the home's queue: the expected tokens of its
// requests, and by workspace the expected wait of a new request.
type QueueLoad struct {
	Backlog int
	Waits   map[string]time.Duration
}

// Summarize returns the summary of a pool for other hosts. Backend servers that
// are leaving, held or backing off are not counted.
func (ss *Servers) Summarize(now time.Time, host, zone, pool string, queued QueueLoad) Summary {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	sum := Summary{Host: host, Zone: zone, Pool: pool, Backlog: queued.Backlog, At: now}
	sum.SetWaits(queued.Waits)
	for _, s := range ss.servers {
		if s.Pool != pool || s.leaving || s.held || now.Before(s.backoffUntil) {
			continue
		}
		sum.Slots += s.slots()
		sum.Running += len(s.running) + s.foreignLoad(now)
		sum.Rate += float32(s.expectedSpeed() * float64(s.slots()))
		sum.NewestVersion = max(sum.NewestVersion, s.version)
	}
	return sum
}
