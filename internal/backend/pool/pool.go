// Package pool holds the backend servers of a site as one host knows them, and
// chooses among them.
//
// Rules of the choice:
//
//  1. A server is eligible when it is not draining by the list or by an answer of
//     its own, not backing off, not in the avoid list, and holds weights of the
//     wanted version or newer.
//  2. Among the eligible the one with the least load per slot is chosen: the
//     requests of this host there, plus what the server last reported beyond
//     them while the report is fresh.
//  3. A server that holds the wanted prefix counts as less loaded by
//     prefixWorth, so that requests that share a prompt meet at one server.
//  4. Within a hair of the least load, a server of this host's zone is taken,
//     since traffic between zones is billed.
//  5. A server whose generations are slower than the fastest one's counts as
//     more loaded, the more so the longer the request is.
//  6. For a plain request, a server to which this host has an idle connection counts
//     as less loaded by linkWorth. At a site of many hosts each gets a few requests
//     in a minute, and would open a connection for most of them.
//  7. A server whose load reaches its slots plus the queue allowance is not
//     chosen: the caller waits or refuses.
package pool

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Weights of the choice and its times.
const (
	prefixWorth   = 0.25                   // load per slot up to which a cached prefix is cheaper than an idle server
	zoneWorth     = 0.10                   // load per slot that staying in the zone is worth
	linkWorth     = 0.2                    // load per slot that an open connection is worth, a little more than one request
	linkExpiry    = 8 * time.Second        // after the latest request; servers close idle connections then
	reportExpiry  = 2 * time.Second        // age at which a reported load says nothing of the present
	firstBackoff  = 200 * time.Millisecond // after a failure; doubles up to maxBackoff
	maxBackoff    = 3 * time.Second        // a crashed server is back after some seconds
	assumedPrefix = 8 * time.Second        // for which a prefix that was sent counts as cached; about two steps
	maxPrefixes   = 512                    // prefixes remembered per server
	mostLeaving   = 8192                   // starts that said they leave; twice the servers of the largest site
	paceWorth     = 3                      // load per slot that a request of fullLength gains on a server twice as fast
	fullLength    = 8000                   // tokens of a long generation, about six seconds of work
	paceGain      = 0.3                    // weight of the newest measurement of a pace
	paceExpiry    = 10 * time.Second       // age at which a pace says nothing of the present
)

// Server is a backend server as the platform lists it. Boot changes at each
// start.
type Server struct {
	Name     string
	Service  string
	Address  string
	Zone     string
	Slots    int
	Draining bool
	Spot     bool
	Boot     int64
	Versions map[string]uint64 // weights by model
}

// start identifies one start of a server.
type start struct {
	name string
	boot int64
}

func (s Server) start() start { return start{s.Name, s.Boot} }

// Load is what a server says of itself along with an answer.
type Load struct {
	Running, Waiting, Slots int
}

// Need is what a request asks of a server.
type Need struct {
	Service        string
	Model          string
	MinVersion     uint64 // oldest usable weights
	Prefix         string // identifies the shared start of the prompt, empty for none
	QueueAllowance int    // requests beyond the slots that may wait at the server
	ExpectedTokens int    // tokens to generate, as estimated; zero for plain requests
	Avoid          []string
}

// Pool is safe for concurrent use. Zone is that of this host.
type Pool struct {
	Zone string

	mu      sync.Mutex
	servers map[string]*entry
	leaving map[start]struct{} // starts that said in an answer that they leave
	known   bool
	changed chan struct{}
}

type entry struct {
	Server
	mine     int // requests of this host
	reported Load
	at       time.Time
	beside   int       // requests of this host at the time of the report
	links    int       // connections of this host that were left idle
	linked   time.Time // when one was last used
	fails    int
	until    time.Time // end of the backoff
	prefixes map[string]time.Time
	pace     time.Duration // between events of generations, zero when unknown
	paced    time.Time
}

// Choice is a place on a server. Release gives it back.
type Choice struct {
	Server Server
	pool   *Pool
	once   sync.Once
	kept   bool // the connection is left open
}

// Check says whether a request may still be sent to the server that was chosen:
// it may have left, or have been replaced, while the request waited for a
// connection. The error is a *LeftError.
func (c *Choice) Check() error {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if e := c.pool.current(c.Server.start()); e == nil || e.Draining {
		return &LeftError{Server: c.Server.Name}
	}
	return nil
}

// LeftError says that a server left after it was chosen.
type LeftError struct {
	Server string
}

func (e *LeftError) Error() string { return "server " + e.Server + " leaves or is gone" }

// HasList says whether a list of servers has been put in.
func (p *Pool) HasList() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known
}

// Servers returns the servers, ordered by name.
func (p *Pool) Servers() []Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]Server, 0, len(p.servers))
	for _, e := range p.servers {
		all = append(all, e.Server)
	}
	slices.SortFunc(all, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// IsListed says whether a start of a server is listed.
func (p *Pool) IsListed(name string, boot int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current(start{name, boot}) != nil
}

// current returns a start of a server if it is the one listed, else nil; the caller
// holds the lock.
func (p *Pool) current(s start) *entry {
	if e := p.servers[s.name]; e != nil && e.start() == s {
		return e
	}
	return nil
}

// Changed returns a channel that is closed at the next change that may make a
// server eligible.
func (p *Pool) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return p.changed
}

func (p *Pool) wake() {
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

// Pick chooses a server and counts the request there. It returns false when no
// server may take it now.
func (p *Pool) Pick(now time.Time, need Need) (*Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *entry
	var least float64
	fastest := p.fastest(now, need.Service)
	for _, e := range p.servers {
		if !e.eligible(now, need) {
			continue
		}
		load := e.load(now)
		if load >= float64(e.slots()+need.QueueAllowance) {
			continue // rule 7
		}
		cost := p.cost(now, e, load, need) + e.slowness(now, fastest)*lengthWorth(need.ExpectedTokens)
		if best == nil || cost < least || cost == least && e.Name < best.Name {
			best, least = e, cost
		}
	}
	if best == nil {
		return nil, false
	}
	best.mine++
	best.links = max(0, best.links-1)
	best.linked = now
	best.remember(now, need.Prefix)
	return &Choice{Server: best.Server, pool: p}, true
}

func (p *Pool) cost(now time.Time, e *entry, load float64, need Need) float64 {
	cost := load / float64(e.slots())
	if until, ok := e.prefixes[need.Prefix]; ok && need.Prefix != "" && now.Before(until) {
		cost -= prefixWorth // rule 3
	}
	if e.Zone == p.Zone {
		cost -= zoneWorth // rule 4
	}
	if need.ExpectedTokens == 0 && e.links > 0 && now.Sub(e.linked) < linkExpiry {
		cost -= linkWorth // rule 6
	}
	return cost
}

// fastest returns the shortest pace of a service's servers, zero when none is
// known.
func (p *Pool) fastest(now time.Time, service string) time.Duration {
	var least time.Duration
	for _, e := range p.servers {
		if e.Service == service && e.pace > 0 && now.Sub(e.paced) < paceExpiry && (least == 0 || e.pace < least) {
			least = e.pace
		}
	}
	return least
}

// slowness returns by how much a server's pace is above the fastest, as a share
// of that.
func (e *entry) slowness(now time.Time, fastest time.Duration) float64 {
	if e.pace == 0 || fastest == 0 || now.Sub(e.paced) >= paceExpiry {
		return 0
	}
	return float64(e.pace-fastest) / float64(fastest)
}

func lengthWorth(tokens int) float64 {
	return paceWorth * min(1, float64(tokens)/fullLength)
}

func (e *entry) eligible(now time.Time, need Need) bool {
	switch {
	case e.Service != need.Service, e.Draining, now.Before(e.until):
		return false
	case slices.Contains(need.Avoid, e.Name):
		return false
	case need.MinVersion > 0 && e.Versions[need.Model] < need.MinVersion:
		return false
	}
	return true
}

func (e *entry) slots() int { return max(1, e.Slots) }

// load applies rule 2.
func (e *entry) load(now time.Time) float64 {
	others := 0
	if now.Sub(e.at) < reportExpiry {
		others = max(0, e.reported.Running+e.reported.Waiting-e.beside)
	}
	return float64(e.mine + others)
}

func (e *entry) remember(now time.Time, prefix string) {
	if prefix == "" {
		return
	}
	if e.prefixes == nil {
		e.prefixes = map[string]time.Time{}
	}
	if len(e.prefixes) >= maxPrefixes {
		for known, until := range e.prefixes {
			if now.After(until) {
				delete(e.prefixes, known)
			}
		}
	}
	e.prefixes[prefix] = now.Add(assumedPrefix)
}

// UsableCount returns how many servers of a service could take a request at all, by
// rule 1 without the backoff.
func (p *Pool) UsableCount(need Need) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, e := range p.servers {
		if e.Service == need.Service && !e.Draining && (need.MinVersion == 0 || e.Versions[need.Model] >= need.MinVersion) {
			count++
		}
	}
	return count
}

// HasIdle says whether a server that may take the request uses less than half of
// its slots.
func (p *Pool) HasIdle(now time.Time, need Need) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.servers {
		if e.eligible(now, need) && 2*e.load(now) < float64(e.slots()) {
			return true
		}
	}
	return false
}
