package route

import (
	"cmp"
	"slices"
	"time"
)

// Reserve takes a place on the best open backend server, or returns false when
// none is open now. A reserved place must end with Release.
func (e *Engines) Reserve(now time.Time, need Need) (Choice, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var best *server
	var least time.Duration
	newest := e.newest(need.Pool)
	for _, s := range e.servers {
		if !s.fits(now, need) {
			continue
		}
		cost := s.cost(now, need) + time.Duration(newest-min(newest, s.version))*need.VersionPenalty
		if best == nil || cost < least || cost == least && s.Name < best.Name {
			best, least = s, cost
		}
	}
	if best == nil {
		if need.Solo {
			e.quiet(now, need)
		}
		return Choice{}, false
	}
	choice := Choice{Server: best.Name, Version: best.version, CachedPrefixes: best.hits(now, need.Prefixes)}
	best.start(now, need)
	return choice, true
}

// newest returns the newest weights of a pool's backend servers.
func (e *Engines) newest(pool string) uint64 {
	newest := uint64(0)
	for _, s := range e.servers {
		if s.Pool == pool {
			newest = max(newest, s.version)
		}
	}
	return newest
}

// Outcome is how a reserved request ended on its backend server.
type Outcome struct {
	Tokens     int           // tokens generated
	Elapsed    time.Duration // from the first byte sent to the last received
	Failed     bool          // no connection or a broken answer
	Refused    bool          // the backend server refused before any work
	RetryAfter time.Duration // how long it asked to wait
}

// Release ends a request on a backend server and learns from its outcome.
func (e *Engines) Release(now time.Time, name, id string, outcome Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.servers[name]
	if s == nil {
		return
	}
	started, ok := s.running[id]
	if !ok {
		return
	}
	delete(s.running, id)
	s.end(now, started)
	if s.solo == id {
		s.solo = ""
	}
	s.learn(now, outcome)
}

// end remembers a request that ended, for reports about the time before.
func (s *server) end(now, started time.Time) {
	old := 0
	for old < len(s.ended) && now.Sub(s.ended[old].end) > reportExpiry {
		old++
	}
	s.ended = append(s.ended[old:], span{start: started, end: now})
}

func (s *server) learn(now time.Time, outcome Outcome) {
	switch {
	case outcome.Refused:
		s.open = now.Add(max(outcome.RetryAfter, firstBackoff))
	case outcome.Failed:
		s.fails++
		s.open = now.Add(min(maxBackoff, firstBackoff<<min(s.fails-1, 8)))
	case outcome.Tokens > 0 && outcome.Elapsed > 0:
		s.fails = 0
		sample := float64(outcome.Tokens) / outcome.Elapsed.Seconds()
		s.speed = s.rate() + speedGain*(sample-s.rate())
	default:
		s.fails = 0
	}
}

// fits applies rule 1 and the needs of the request.
func (s *server) fits(now time.Time, need Need) bool {
	switch {
	case !s.mayRun(need), s.held, now.Before(s.open):
		return false
	case len(s.running) >= s.slots(), s.solo != "":
		return false
	case need.Solo:
		return len(s.running) == 0 && s.others(now) == 0
	}
	return !now.Before(s.quiet)
}

// mayRun says whether waiting can help: it leaves out what passes by itself.
func (s *server) mayRun(need Need) bool {
	switch {
	case s.Pool != need.Pool, s.leaving:
		return false
	case need.Durable && !s.Durable, s.version < need.MinVersion:
		return false
	}
	return !slices.Contains(need.Avoid, s.Name)
}

// cost estimates the time to finish (rule 2).
func (s *server) cost(now time.Time, need Need) time.Duration {
	prompt := float64(need.PromptTokens)
	if n := len(need.Prefixes); n > 0 {
		prompt *= 1 - float64(s.hits(now, need.Prefixes))/float64(n)
	}
	load := float64(len(s.running)+s.others(now)) / float64(s.slots())
	seconds := (float64(need.Tokens) + prefillFactor*prompt) / s.rate() * (1 + load)
	return time.Duration(seconds * float64(time.Second))
}

// others is the load that other hosts put on the backend server (rule 3).
func (s *server) others(now time.Time) int {
	if now.Sub(s.at) > reportExpiry {
		return 0
	}
	return min(max(0, s.reported-s.beside), s.slots())
}

// hits counts the leading prefixes expected in the cache (rule 4).
func (s *server) hits(now time.Time, prefixes []uint64) int {
	for i, prefix := range prefixes {
		if _, ok := s.cached[prefix]; ok {
			continue
		}
		if until, ok := s.assumed[prefix]; ok && now.Before(until) {
			continue
		}
		return i
	}
	return len(prefixes)
}

func (s *server) start(now time.Time, need Need) {
	s.running[need.ID] = now
	if need.Solo {
		s.solo = need.ID
		s.quiet = time.Time{}
	}
	if len(s.assumed)+len(need.Prefixes) > maxPrefixes {
		clear(s.assumed)
	}
	for _, prefix := range need.Prefixes {
		if _, ok := s.cached[prefix]; !ok {
			s.assumed[prefix] = now.Add(assumeCached)
		}
	}
}

// quiet keeps the least busy backend server that the request may use from new
// work (rule 5). At most one of a pool is kept at a time.
func (e *Engines) quiet(now time.Time, need Need) {
	var chosen *server
	for _, s := range e.servers {
		if s.Pool != need.Pool || s.leaving || s.held || s.solo != "" || slices.Contains(need.Avoid, s.Name) {
			continue
		}
		if now.Before(s.quiet) {
			chosen = s
			break
		}
		if chosen == nil || compareBusy(s, chosen) < 0 {
			chosen = s
		}
	}
	if chosen != nil {
		chosen.quiet = now.Add(soloExpiry)
	}
}

func compareBusy(a, b *server) int {
	return cmp.Or(cmp.Compare(len(a.running), len(b.running)), cmp.Compare(a.Name, b.Name))
}
