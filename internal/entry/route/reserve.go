package route

import (
	"cmp"
	"slices"
	"time"
)

// Reserve reserves a slot on the best open backend server, or returns false when
// none is open now. For a solo request, it then closes one to other new work
// (rule 5). A reserved slot must be freed by Release.
func (ss *Servers) Reserve(now time.Time, need Need) (Choice, bool) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	var best *server
	var leastCost time.Duration
	newestVersion := ss.newestVersion(need.Pool)
	for _, s := range ss.servers {
		if !s.accepts(now, need) {
			continue
		}
		cost := s.cost(now, need) + time.Duration(newestVersion-min(newestVersion, s.version))*need.VersionPenalty
		if best == nil || cost < leastCost || cost == leastCost && s.Name < best.Name {
			best, leastCost = s, cost
		}
	}
	if best == nil {
		if need.Solo {
			ss.holdForSolo(now, need)
		}
		return Choice{}, false
	}
	choice := Choice{Server: best.Name, Version: best.version, CachedPrefixes: best.cachedPrefixes(now, need.Prefixes)}
	best.start(now, need)
	return choice, true
}

// newestVersion returns the newest weights version of a pool's backend servers.
func (ss *Servers) newestVersion(pool string) uint64 {
	newestVersion := uint64(0)
	for _, s := range ss.servers {
		if s.Pool == pool {
			newestVersion = max(newestVersion, s.version)
		}
	}
	return newestVersion
}

// Outcome is the result of a reserved request at its backend server.
type Outcome struct {
	Tokens     int           // tokens generated
	Elapsed    time.Duration // from the start of the attempt to its end
	Failed     bool          // no connection, or an incomplete response
	Refused    bool          // the backend server refused before any work
	RetryAfter time.Duration // how long a refusing backend server asked to wait
}

// Release frees the slot of a request and updates the speed and the backoff of
// its backend server from the outcome.
func (ss *Servers) Release(now time.Time, name, id string, outcome Outcome) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	s := ss.servers[name]
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
	s.applyOutcome(now, outcome)
}

// end records when a request ran, since a report may still arrive that was made
// while it did (see runningAt), and drops records older than reportExpiry.
func (s *server) end(now, started time.Time) {
	expired := 0
	for expired < len(s.ended) && now.Sub(s.ended[expired].end) > reportExpiry {
		expired++
	}
	s.ended = append(s.ended[expired:], span{start: started, end: now})
}

// applyOutcome starts a backoff after a refusal or a failure, and otherwise
// updates the average speed.
func (s *server) applyOutcome(now time.Time, outcome Outcome) {
	switch {
	case outcome.Refused:
		s.backoffUntil = now.Add(max(outcome.RetryAfter, firstBackoff))
	case outcome.Failed:
		s.failures++
		// A shift by 8 is beyond maxBackoff already; more could overflow.
		s.backoffUntil = now.Add(min(maxBackoff, firstBackoff<<min(s.failures-1, 8)))
	case outcome.Tokens > 0 && outcome.Elapsed > 0:
		s.failures = 0
		sample := float64(outcome.Tokens) / outcome.Elapsed.Seconds()
		s.speed = s.expectedSpeed() + speedSmoothing*(sample-s.expectedSpeed())
	default:
		s.failures = 0
	}
}

// accepts reports whether the server is open (rule 1), eligible for the request,
// and not closed to it by a solo request (rule 5).
func (s *server) accepts(now time.Time, need Need) bool {
	switch {
	case !s.isEligible(need), s.held, now.Before(s.backoffUntil):
		return false
	case len(s.running) >= s.slots(), s.solo != "":
		return false
	case need.Solo:
		return len(s.running) == 0 && s.foreignLoad(now) == 0
	}
	return !now.Before(s.soloHoldUntil)
}

// isEligible reports whether the server may run the request at all. It ignores
// the states that end by themselves, such as full slots and a backoff.
func (s *server) isEligible(need Need) bool {
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
		prompt *= 1 - float64(s.cachedPrefixes(now, need.Prefixes))/float64(n)
	}
	load := float64(len(s.running)+s.foreignLoad(now)) / float64(s.slots())
	seconds := (float64(need.Tokens) + prefillFactor*prompt) / s.expectedSpeed() * (1 + load)
	return time.Duration(seconds * float64(time.Second))
}

// foreignLoad returns the number of requests that other hosts run on the backend
// server (rule 3).
func (s *server) foreignLoad(now time.Time) int {
	if now.Sub(s.reportedAt) > reportExpiry {
		return 0
	}
	return min(max(0, s.reportedLoad-s.ownLoad), s.slots())
}

// cachedPrefixes counts the leading prefixes expected in the cache (rule 4).
func (s *server) cachedPrefixes(now time.Time, prefixes []uint64) int {
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

// start records a request as running and its prefixes as cached.
func (s *server) start(now time.Time, need Need) {
	s.running[need.ID] = now
	if need.Solo {
		s.solo = need.ID
		s.soloHoldUntil = time.Time{}
	}
	if len(s.assumed)+len(need.Prefixes) > maxPrefixes {
		clear(s.assumed)
	}
	for _, prefix := range need.Prefixes {
		if _, ok := s.cached[prefix]; !ok {
			s.assumed[prefix] = now.Add(assumedCacheTTL)
		}
	}
}

// holdForSolo closes a backend server to new work for soloHoldTTL (rule 5): the
// least loaded one that doesn't run a solo request, is not leaving or held, and is
// not in need.Avoid. If one of them is closed already, it is chosen again.
// Need.Durable and Need.MinVersion are not considered.
func (ss *Servers) holdForSolo(now time.Time, need Need) {
	var chosen *server
	for _, s := range ss.servers {
		if s.Pool != need.Pool || s.leaving || s.held || s.solo != "" || slices.Contains(need.Avoid, s.Name) {
			continue
		}
		if now.Before(s.soloHoldUntil) {
			chosen = s
			break
		}
		if chosen == nil || compareLoad(s, chosen) < 0 {
			chosen = s
		}
	}
	if chosen != nil {
		chosen.soloHoldUntil = now.Add(soloHoldTTL)
	}
}

// compareLoad orders servers by running requests, then by name.
func compareLoad(a, b *server) int {
	return cmp.Or(cmp.Compare(len(a.running), len(b.running)), cmp.Compare(a.Name, b.Name))
}
