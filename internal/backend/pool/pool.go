// Package pool holds one host's view of the backend servers of a site and selects
// a server for each request.
//
// Rules of the selection, to which the code refers by number:
//
//  1. A server is eligible if it runs the wanted service, is not draining (according
//     to the platform's list or to one of its own responses), is not in backoff, is
//     not in the list of servers to avoid, is not in a silent zone, is in an allowed
//     region, and holds the wanted weights version or a newer one.
//  2. Among the eligible servers, the one with the least load per slot is selected.
//     The load is the number of this host's requests there, plus the load beyond
//     those that the server last reported, while the report is recent.
//  3. A server that has the wanted prompt prefix in its cache counts as less loaded
//     by prefixBonus, so that requests that share a prompt go to the same server.
//  4. A server in this host's zone counts as less loaded by zoneBonus, because
//     traffic between zones is billed.
//  5. A server whose generations are slower than those of the fastest server counts
//     as more loaded, in proportion to the expected length of the request.
//  6. For a plain request, a server to which this host has an idle connection counts
//     as less loaded by connectionBonus. At a site with many hosts, each host sends
//     only a few requests a minute and would open a new connection for most of them.
//  7. A server whose load reaches its slots plus the queue allowance is not
//     selected: the caller waits or refuses the request.
//  8. A server in an evacuated zone is not selected, and one that is cold only as package
//     warmup allows. One that has just started or recovers has a window of requests in
//     flight, see package pace.
//
// For services whose servers report work times, see the rules in worktime.go.
package pool

import (
	"cmp"
	"hash/maphash"
	"slices"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/pace"
	"github.com/hyssopwall/hyssopwall/internal/backend/warmup"
	"github.com/hyssopwall/hyssopwall/internal/backend/worktime"
)

// Weights and time limits of the selection. Bonuses and penalties are in units of
// load per slot.
const (
	prefixBonus      = 0.25                   // above this load, an idle server is cheaper than one with a cached prefix
	zoneBonus        = 0.10                   // for a server in the host's own zone
	connectionBonus  = 0.2                    // for an idle connection; more than one request if the server has more than five slots
	connectionTTL    = 8 * time.Second        // after the latest request; servers then close idle connections
	reportTTL        = 2 * time.Second        // older load reports are ignored
	initialBackoff   = 200 * time.Millisecond // after a failure; doubles up to maxBackoff
	maxBackoff       = 3 * time.Second        // a crashed server restarts within a few seconds
	prefixTTL        = 8 * time.Second        // how long a sent prefix is assumed to be cached; about two training steps
	maxPrefixes      = 512                    // prefixes of a server at which expired ones are removed
	maxLeaving       = 8192                   // leaving or drained instances at which unlisted ones are removed; twice the servers of the largest site
	slownessPenalty  = 3                      // for a request of longGeneration tokens on a server that takes twice as long
	longGeneration   = 8000                   // tokens of a long generation; about six seconds of work
	intervalWeight   = 0.3                    // weight of the newest sample in the average event interval
	eventIntervalTTL = 10 * time.Second       // older event intervals are ignored
)

// Server is a backend server as the platform lists it. Boot changes each time the
// server starts.
type Server struct {
	Name     string
	Service  string
	Address  string
	Zone     string
	Slots    int // requests that the server can run at the same time
	Draining bool
	Spot     bool // the platform may reclaim the server
	Boot     int64
	Versions map[string]uint64 // weights version by model
	// WarmUpLeft is how long the server is still cold; see package warmup.
	WarmUpLeft time.Duration
}

// instance identifies one start of a server.
type instance struct {
	name string
	boot int64
}

func (s Server) instance() instance { return instance{s.Name, s.Boot} }

// Load is the number of requests that a server reports in a response as running and
// waiting, and its slots. Selection counts the slots of the platform's list instead.
// WorkTime is how long work takes on the machine at this moment in percent of the normal
// time, zero if the server does not report it.
type Load struct {
	Running, Waiting, Slots int
	WorkTime                int
}

// Need describes the server that a request requires.
type Need struct {
	Service        string
	Model          string
	MinVersion     uint64     // oldest acceptable weights version; zero accepts all
	Prefix         string     // identifies the shared prefix of the prompt; empty for none
	QueueAllowance int        // requests beyond its slots that may queue at the server
	ExpectedTokens int        // estimated tokens to generate; zero for plain requests
	Avoid          []string   // names of servers that must not be selected
	Regions        [][]string // lists of regions; the server must be in a region of each of them
}

// Pool holds the servers and their state. It is safe for concurrent use. Zone is
// the zone of this host. The zero value is an empty pool.
type Pool struct {
	Zone  string
	Hooks Hooks
	// RegionOf returns the region of a zone, empty if unknown; nil means that none is known.
	RegionOf func(zone string) string

	mu      sync.Mutex
	servers map[string]*entry
	leaving map[instance]struct{} // instances that announced in a response that they leave
	drained map[instance]struct{} // instances that were listed as draining
	silent  map[string]bool       // silent zones
	hasList bool

	normalIntervals map[string]*worktime.Normal // by service; only of those that send work times
	tieSeed         maphash.Seed                // see tieBreak

	changed chan struct{}
	warming warming

	evacuations evacuations
	paced       map[string]bool // services whose servers have windows, beside those with a limit
}

// entry is a listed server and its state on this host.
type entry struct {
	Server
	ownRequests     int // requests of this host in flight
	answering       int // those of them that the server has begun to answer
	reusing         int // those of them that took an idle connection
	reported        Load
	reportedAt      time.Time
	ownAtReport     int       // ownRequests at the time of the report
	idleConnections int       // connections that this host left open
	connectionUsed  time.Time // time of the latest request over a connection
	failures        int       // consecutive failures
	backoffUntil    time.Time
	prefixes        map[string]time.Time // prefixes assumed to be cached, with their expiry
	eventInterval   time.Duration        // average time between the events of a generation; zero if unknown
	intervalAt      time.Time
	warmUp          warmup.State
	workTime        worktime.Estimate
	window          pace.Window
	start           pace.Start
	region          string // of the server's zone, empty if unknown
}

// Choice is a server selected for a request. The request counts against the
// server's slots until Release.
type Choice struct {
	Server         Server
	pool           *Pool
	once           sync.Once
	keepConnection bool // the connection stays open after the request
	selected       bool // the request waits to be sent
	sent           bool // Check has succeeded
	sentAt         time.Time
	counted        bool // an answer has been counted
	reuses         bool // the request takes an idle connection
	limit          int  // requests at which the server's window ends
}

// Check returns a *LeftError, an *EvacuatedError or a *ColdError if the request must no
// longer be sent to the selected server: the server may have started to leave, have been
// replaced, evacuated or have turned cold while the request waited for a connection. Otherwise
// it counts the request as sent.
func (c *Choice) Check() error {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	e := c.pool.current(c.Server.instance())
	if e == nil || e.Draining {
		return &LeftError{Server: c.Server.Name}
	}
	return c.admitSend(e)
}

// LeftError reports that a server left, or is leaving, after it was selected.
type LeftError struct {
	Server string
}

func (e *LeftError) Error() string { return "server " + e.Server + " is leaving or gone" }

// HasList reports whether Replace has been called.
func (p *Pool) HasList() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hasList
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

// IsListed reports whether the server is listed with this boot.
func (p *Pool) IsListed(name string, boot int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current(instance{name, boot}) != nil
}

// HasAnnouncedLeaving reports whether this start of a server was listed as draining or
// announced in a response that it leaves. It may be gone by now.
func (p *Pool) HasAnnouncedLeaving(name string, boot int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, left := p.leaving[instance{name, boot}]
	_, drained := p.drained[instance{name, boot}]
	return left || drained
}

// current returns the entry of an instance, or nil if the instance is not the one
// listed. The caller holds the lock.
func (p *Pool) current(s instance) *entry {
	if e := p.servers[s.name]; e != nil && e.instance() == s {
		return e
	}
	return nil
}

// Changed returns a channel that is closed at the next Put, Replace, change of a
// server's weights versions, end of a backoff or of a zone's silence, or Release, after which Pick may
// succeed. A lower load report, or the expiry of one, doesn't close it.
func (p *Pool) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return p.changed
}

// notify closes the channel that Changed returned. The caller holds the lock.
func (p *Pool) notify() {
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

// Pick selects a server and counts the request against its slots. It returns false
// if no server can accept the request now.
func (p *Pool) Pick(now time.Time, need Need) (*Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *entry
	var least float64
	shortest := p.shortestInterval(now, need.Service)
	for _, e := range p.servers {
		if p.silent[e.Zone] || !e.eligible(now, need) {
			continue
		}
		load := e.load(now)
		if load >= float64(e.slots()+need.QueueAllowance) {
			continue // rule 7
		}
		if !p.accepts(now, e) {
			continue // rule 8
		}
		cost := p.rate(now, e, load, need, shortest)
		if best == nil || cost < least || cost == least && e.Name < best.Name {
			best, least = e, cost
		}
	}
	if best == nil {
		return nil, false
	}
	best.ownRequests++
	reuses := best.idleConnections > 0
	if reuses {
		best.idleConnections--
		best.reusing++
	}
	best.connectionUsed = now
	best.addPrefix(now, need.Prefix)
	best.warmUp.Select()
	return &Choice{Server: best.Server, pool: p, selected: true, reuses: reuses, limit: best.slots() + need.QueueAllowance}, true
}

// cost returns the load per slot of a server less its bonuses (rules 2 to 4 and 6).
func (p *Pool) cost(now time.Time, e *entry, load float64, need Need) float64 {
	cost := load / float64(e.slots())
	if until, ok := e.prefixes[need.Prefix]; ok && need.Prefix != "" && now.Before(until) {
		cost -= prefixBonus // rule 3
	}
	if e.Zone == p.Zone {
		cost -= zoneBonus // rule 4
	}
	if need.ExpectedTokens == 0 && e.idleConnections > 0 && now.Sub(e.connectionUsed) < connectionTTL {
		cost -= connectionBonus // rule 6
	}
	return cost
}

// shortestInterval returns the shortest event interval among the servers of a
// service, or zero if none is known.
func (p *Pool) shortestInterval(now time.Time, service string) time.Duration {
	var least time.Duration
	for _, e := range p.servers {
		if e.Service == service && e.eventInterval > 0 && now.Sub(e.intervalAt) < eventIntervalTTL && (least == 0 || e.eventInterval < least) {
			least = e.eventInterval
		}
	}
	return least
}

// slowness returns how much longer the server's event interval is than the
// shortest one, as a fraction of the shortest (rule 5).
func (e *entry) slowness(now time.Time, shortest time.Duration) float64 {
	if e.eventInterval == 0 || shortest == 0 || now.Sub(e.intervalAt) >= eventIntervalTTL {
		return 0
	}
	return float64(e.eventInterval-shortest) / float64(shortest)
}

// slownessWeight returns the weight of a server's slowness for a generation of the
// given number of tokens (rule 5). It grows with the tokens up to longGeneration.
func slownessWeight(tokens int) float64 {
	return slownessPenalty * min(1, float64(tokens)/longGeneration)
}

// eligible applies rule 1.
func (e *entry) eligible(now time.Time, need Need) bool {
	switch {
	case e.Service != need.Service, e.Draining, now.Before(e.backoffUntil):
		return false
	case slices.Contains(need.Avoid, e.Name), !e.inRegions(need.Regions):
		return false
	case need.MinVersion > 0 && e.Versions[need.Model] < need.MinVersion:
		return false
	}
	return true
}

// slots counts a server that lists no slots as one slot.
func (e *entry) slots() int { return max(1, e.Slots) }

// load returns the number of requests at the server as defined by rule 2.
func (e *entry) load(now time.Time) float64 {
	others := 0
	if now.Sub(e.reportedAt) < reportTTL {
		others = max(0, e.reported.Running+e.reported.Waiting-e.ownAtReport)
	}
	return float64(e.ownRequests + others)
}

// addPrefix records that a prefix is sent to the server. It removes expired
// prefixes once maxPrefixes are recorded.
func (e *entry) addPrefix(now time.Time, prefix string) {
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
	e.prefixes[prefix] = now.Add(prefixTTL)
}

// UsableCount returns the number of servers of the service that are not draining
// and hold recent enough weights: rule 1 without the backoff and without Avoid. Servers in
// evacuated zones don't count, and cold ones only on the host that sends to them.
func (p *Pool) UsableCount(need Need) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count, now := 0, p.now()
	for _, e := range p.servers {
		if e.fits(need) && p.mayUse(now, e) {
			count++
		}
	}
	return count
}

// HasIdle reports whether an eligible server uses less than half of its slots.
func (p *Pool) HasIdle(now time.Time, need Need) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.servers {
		if !p.silent[e.Zone] && e.eligible(now, need) && 2*e.load(now) < float64(e.slots()) && p.wouldAccept(now, e) {
			return true
		}
	}
	return false
}
