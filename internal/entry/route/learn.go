package route

import (
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
)

// SetServers replaces the list of backend servers that this host is home to. The
// state of servers that stay in the list is kept. Requests that run on a removed
// server are no longer counted.
func (ss *Servers) SetServers(servers []Server) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	old := ss.servers
	ss.servers = make(map[string]*server, len(servers))
	for _, described := range servers {
		s := old[described.Name]
		if s == nil {
			s = &server{running: make(map[string]time.Time)}
			s.resetCache("")
		}
		s.Server = described
		ss.servers[described.Name] = s
	}
}

// SetLeaving marks a backend server as leaving, which closes it to new work.
func (ss *Servers) SetLeaving(name string, leaving bool) {
	ss.update(name, func(s *server) { s.leaving = leaving })
}

// SetHeld closes a backend server to new work while it is being changed, such as
// while it loads weights, or opens it again.
func (ss *Servers) SetHeld(name string, held bool) {
	ss.update(name, func(s *server) { s.held = held })
}

// ApplyState updates a backend server from its engine's report about itself. A
// report older than the last one of the same boot is ignored. A new boot identifier
// empties the set of cached prefixes and ends the backoff. Requests that were
// running when the old process died keep their slots until Release.
func (ss *Servers) ApplyState(now time.Time, report engine.State) {
	ss.update(report.Name, func(s *server) {
		if report.At.Before(s.reportedAt) && report.Boot == s.boot {
			return
		}
		if report.Boot != s.boot {
			s.resetCache(report.Boot)
			s.backoffUntil = time.Time{}
		}
		s.version = report.Version
		s.reportedAt = report.At
		s.reportedLoad = max(0, report.Running) + max(0, report.Waiting)
		s.ownLoad = s.runningAt(report.At)
		if now.Before(report.At) {
			s.reportedAt = now
		}
		s.reportedSlots = max(0, report.Slots)
	})
}

// ApplyCacheEvents updates the set of cached prefixes of an engine from its
// cache events, in order. It returns the sequence number of the last event, after
// which the next ones are to be requested, and whether events were lost.
func (ss *Servers) ApplyCacheEvents(name string, events []engine.CacheEvent) (after uint64, gap bool) {
	ss.update(name, func(s *server) {
		for _, event := range events {
			gap = s.applyCacheEvent(event) || gap
		}
		after = s.sequence
	})
	if gap {
		ss.mu.Lock()
		ss.gaps++
		ss.mu.Unlock()
	}
	return after, gap
}

// update calls a function with the named server, under the lock. It does nothing if
// this host is not home to the server.
func (ss *Servers) update(name string, update func(*server)) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	if s := ss.servers[name]; s != nil {
		update(s)
	}
}

// resetCache records a new boot identifier, and empties the set of cached prefixes,
// which a new start of the server has lost.
func (s *server) resetCache(boot string) {
	s.boot = boot
	s.sequence = 0
	s.cached = make(map[uint64]struct{})
	s.assumed = make(map[uint64]time.Time)
}

// runningAt counts this home's requests that ran at a time within the last
// reportExpiry.
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

// applyCacheEvent applies one event and reports whether events before it were
// lost (rule 4). Events that were already applied are ignored.
func (s *server) applyCacheEvent(event engine.CacheEvent) bool {
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
