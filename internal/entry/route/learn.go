package route

import (
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
)

// SetServers replaces the backend servers that this host is home to. State of
// those that stay is kept. Requests still running on one that left the list
// are no longer counted.
func (e *Engines) SetServers(servers []Server) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.servers
	e.servers = make(map[string]*server, len(servers))
	for _, described := range servers {
		s := old[described.Name]
		if s == nil {
			s = &server{running: make(map[string]time.Time)}
			s.reset("")
		}
		s.Server = described
		e.servers[described.Name] = s
	}
}

// SetLeaving marks a backend server as leaving: it gets no new work.
func (e *Engines) SetLeaving(name string, leaving bool) {
	e.change(name, func(s *server) { s.leaving = leaving })
}

// SetHeld keeps a backend server from new work while it is being changed, such as
// while it loads weights.
func (e *Engines) SetHeld(name string, held bool) {
	e.change(name, func(s *server) { s.held = held })
}

// ApplyState takes in what an engine reports about itself. A new Boot empties the
// cache picture and ends the backoff. Requests running when the process died
// stay reserved until Release.
func (e *Engines) ApplyState(now time.Time, report engine.State) {
	e.change(report.Name, func(s *server) {
		if report.At.Before(s.at) && report.Boot == s.boot {
			return
		}
		if report.Boot != s.boot {
			s.reset(report.Boot)
			s.open = time.Time{}
		}
		s.version = report.Version
		s.at = report.At
		s.reported = max(0, report.Running) + max(0, report.Waiting)
		s.beside = s.runningAt(report.At)
		if now.Before(report.At) {
			s.at = now
		}
		s.offered = max(0, report.Slots)
	})
}

// ApplyCacheEvents takes in cache events of an engine, in order. It returns the
// sequence number to ask events after, and whether events were lost.
func (e *Engines) ApplyCacheEvents(name string, events []engine.CacheEvent) (after uint64, gap bool) {
	e.change(name, func(s *server) {
		for _, event := range events {
			gap = s.learnCache(event) || gap
		}
		after = s.sequence
	})
	if gap {
		e.mu.Lock()
		e.gaps++
		e.mu.Unlock()
	}
	return after, gap
}

func (e *Engines) change(name string, change func(*server)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.servers[name]; s != nil {
		change(s)
	}
}

func (s *server) reset(boot string) {
	s.boot = boot
	s.sequence = 0
	s.cached = make(map[uint64]struct{})
	s.assumed = make(map[uint64]time.Time)
}

// runningAt counts this home's requests that ran at a time in the near past.
func (s *server) runningAt(at time.Time) int {
	count := 0
	for _, started := range s.running {
		if !started.After(at) {
			count++
		}
	}
	for _, ended := range s.ended {
		if !ended.start.After(at) && ended.end.After(at) {
			count++
		}
	}
	return count
}

// learnCache returns whether events before this one were lost (rule 4). Events
// already seen are ignored.
func (s *server) learnCache(event engine.CacheEvent) bool {
	if event.Sequence <= s.sequence {
		return false
	}
	gap := event.Sequence != s.sequence+1
	if gap {
		clear(s.cached)
	}
	s.sequence = event.Sequence
	delete(s.assumed, event.Prefix)
	switch {
	case event.Evicted:
		delete(s.cached, event.Prefix)
	case len(s.cached) < maxPrefixes:
		s.cached[event.Prefix] = struct{}{}
	}
	return gap
}
