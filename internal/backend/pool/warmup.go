package pool

import (
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/pace"
	"github.com/hyssopwall/hyssopwall/internal/backend/warmup"
)

// Hooks connect a pool to the host that it belongs to. All are optional, must not block and
// must not call the pool.
type Hooks struct {
	// Now returns the time at which entries and answers arrive; nil means time.Now.
	Now func() time.Time
	// ViewAge returns the age of this host's view of the store; nil means that it is current.
	ViewAge func() time.Duration
	// Rank returns the position of this host, from 0, among the possible senders of the
	// server's service, in an order that depends on the start of the server; nil means that it
	// is the first.
	Rank func(s Server) int
	// CheckHealth starts a health check of a server, whose end is reported by RecordHealth.
	CheckHealth func(s Server, started time.Time)
	// ReportFailure tells the other possible senders that a request to a server of a service
	// with a limit has failed, unless that was known. They pass it to RecordBreak.
	ReportFailure func(s Server)
	// ReportStart reports what this host did with a server in the first seconds after a start or
	// a recovery, for services whose servers have windows.
	ReportStart func(s Server, start pace.Start)
}

// warming holds what a pool knows of the warm-up of servers. The zero value has no limits.
type warming struct {
	rules map[string]warmup.Rules // by service, only those that apply
	stops int                     // requests that were stopped just before they were sent
}

// ColdError reports that a server may get no request of this host now, because it is cold or
// may be.
type ColdError struct {
	Server string
}

func (e *ColdError) Error() string { return "server " + e.Server + " is warming up" }

// SetWarmUps replaces the limits on cold servers, by service.
func (p *Pool) SetWarmUps(rules map[string]warmup.Rules) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.warming.rules = rules
	p.notify()
}

// SetWarmUpLeft records the warm-up left that an instance of a server named in a response. It
// reports whether the server was not known to be cold and is.
func (p *Pool) SetWarmUpLeft(s Server, left time.Duration) (turnedCold bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.current(s.instance()); e != nil {
		turnedCold = e.warmUp.SetTold(p.now(), left)
	}
	return turnedCold && p.warming.rules[s.Service].Apply()
}

// RecordBreak records that another host's request to an instance of a server has failed, so
// that its health is checked before the next request if its service has a limit. It reports
// whether that is news to this host.
func (p *Pool) RecordBreak(name string, boot int64) (news bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.current(instance{name, boot})
	if e == nil {
		return false
	}
	news = !e.warmUp.CheckNeeded()
	e.warmUp.RecordFailure(p.now())
	return news
}

// RecordIdleEnd records, for a service with a limit, that an idle connection to an instance of a
// server has ended. If the server has ended it, it may have started again, so that its health is
// checked before the next request.
func (p *Pool) RecordIdleEnd(s Server, byServer bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.current(s.instance())
	if e == nil || !p.warming.rules[s.Service].Apply() {
		return
	}
	if !byServer {
		e.idleConnections = max(0, e.idleConnections-1)
		return
	}
	e.idleConnections = 0
	e.warmUp.RecordFailure(p.now())
}

// RecordLost records that an instance of a server has refused or ended the connection of a call that
// is not a request, as a failed request would. It tells the other possible senders.
func (p *Pool) RecordLost(s Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.current(s.instance()); e != nil {
		p.recordFailure(e)
	}
}

// recordFailure records a failure at a server, and tells the other possible senders if it is the
// first since the server was last known to be sound. The caller holds the lock.
func (p *Pool) recordFailure(e *entry) {
	if !e.warmUp.CheckNeeded() && p.warming.rules[e.Service].Apply() && p.Hooks.ReportFailure != nil {
		p.Hooks.ReportFailure(e.Server)
	}
	e.warmUp.RecordFailure(p.now())
}

// RecordHealth records the end of a health check of an instance of a server, which started at
// the given time. It notifies waiters, at once if the server answered.
func (p *Pool) RecordHealth(s Server, started time.Time, answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.current(s.instance())
	if e == nil {
		return
	}
	if !answered {
		time.AfterFunc(warmup.CheckInterval, p.wake) // waiters then start the next check
		return
	}
	e.warmUp.EndCheck(p.now(), started)
	p.notify()
}

// WarmUpCounts returns the number of servers that are cold and the number of requests that
// were stopped just before they were sent because their server was cold or evacuated.
func (p *Pool) WarmUpCounts() (cold, stopped int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for _, e := range p.servers {
		if rules := p.warming.rules[e.Service]; e.warmUp.IsCold(now, rules, p.view(e)) {
			cold++
		}
	}
	return cold, p.warming.stops
}

// Closed reports whether there are servers for a need, and all of them are closed to requests
// because they are cold or evacuated. Left is the shortest time after which one may be open.
func (p *Pool) Closed(now time.Time, need Need) (left time.Duration, closed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.servers {
		if !e.fits(need) {
			continue
		}
		view, rules := p.view(e), p.warming.rules[e.Service]
		remaining := evacuationRetry
		if !p.evacuations.isClosed(e.Zone) {
			if !e.warmUp.IsCold(now, rules, view) {
				return 0, false
			}
			remaining = e.warmUp.ColdUntil(rules, view).Sub(now)
		}
		if !closed || remaining < left {
			left = remaining
		}
		closed = true
	}
	return left, closed
}

// evacuationRetry is the time after which Closed expects an evacuation to end, which nobody
// announces.
const evacuationRetry = time.Second

// now returns the time by Hooks.Now.
func (p *Pool) now() time.Time {
	if p.Hooks.Now == nil {
		return time.Now()
	}
	return p.Hooks.Now()
}

// view returns what this host knows beyond the server itself. The caller holds the lock.
func (p *Pool) view(e *entry) warmup.View {
	view := warmup.View{
		Rank: func() int { return p.rank(e.Server) }, Since: p.evacuations.ended[e.Zone],
		Connected: e.answering > 0 || e.idleConnections > 0 || e.reusing > 0,
	}
	if p.Hooks.ViewAge != nil {
		view.Age = p.Hooks.ViewAge()
	}
	return view
}

// rank returns the position of this host among the possible senders to a server.
func (p *Pool) rank(s Server) int {
	if p.Hooks.Rank == nil {
		return 0
	}
	return p.Hooks.Rank(s)
}

// accepts reports whether a server may get a request of this host now as far as its zone, its
// warm-up and its window are concerned, and starts a health check if one is needed. The caller
// holds the lock.
func (p *Pool) accepts(now time.Time, e *entry) bool {
	open, decision := p.isOpen(now, e)
	p.checkHealth(now, e, decision)
	return open
}

// isOpen is accepts without a health check, which it leaves to the caller.
func (p *Pool) isOpen(now time.Time, e *entry) (open bool, decision warmup.Decision) {
	if p.evacuations.isClosed(e.Zone) {
		return false, warmup.Decision{}
	}
	if rules := p.warming.rules[e.Service]; rules.Apply() {
		if decision = e.warmUp.Decide(now, rules, p.view(e)); !decision.Send {
			return false, decision
		}
	}
	return p.hasWindow(now, e), decision
}

// wouldAccept is accepts for a server that gets no request now.
func (p *Pool) wouldAccept(now time.Time, e *entry) bool {
	open, _ := p.isOpen(now, e)
	return open
}

// checkHealth starts a health check if a decision asks for it. The caller holds the lock.
func (p *Pool) checkHealth(now time.Time, e *entry, decision warmup.Decision) {
	if decision.Check && p.Hooks.CheckHealth != nil {
		e.warmUp.BeginCheck(now)
		p.Hooks.CheckHealth(e.Server, now)
	}
}

// admitSend repeats the decision of Pick just before a request is sent, and records the send.
// The caller holds the lock.
func (c *Choice) admitSend(e *entry) error {
	p := c.pool
	if p.evacuations.isClosed(e.Zone) {
		p.warming.stops++
		return &EvacuatedError{Server: e.Name, Zone: e.Zone}
	}
	now := p.now()
	rules := p.warming.rules[e.Service]
	if rules.Apply() {
		decision := e.warmUp.DecideSend(now, rules, p.view(e))
		p.checkHealth(now, e, decision)
		if !decision.Send {
			p.warming.stops++
			return &ColdError{Server: e.Name}
		}
		e.warmUp.RecordSend(now, rules)
	}
	c.unselect(e)
	c.sent, c.sentAt = true, now
	e.start.Send(now)
	return nil
}

// unselect ends the count of a request that waits to be sent. The caller holds the lock.
func (c *Choice) unselect(e *entry) {
	if c.selected {
		e.warmUp.Unselect()
		c.selected = false
	}
}

// fits reports whether the server can ever run a request: rule 1 without the backoff and
// without Avoid.
func (e *entry) fits(need Need) bool {
	return e.Service == need.Service && !e.Draining && e.inRegions(need.Regions) && (need.MinVersion == 0 || e.Versions[need.Model] >= need.MinVersion)
}

// mayUse reports whether this host may send to a server at all: its zone is not evacuated, and
// it is warm or this host is the one that sends to it. The caller holds the lock.
func (p *Pool) mayUse(now time.Time, e *entry) bool {
	if p.evacuations.isClosed(e.Zone) {
		return false
	}
	rules := p.warming.rules[e.Service]
	view := p.view(e)
	return !e.warmUp.IsCold(now, rules, view) || view.Rank() == 0
}

// merged returns the warm-up state for a newly listed server, of which old is the previous
// entry, if any. The caller holds the lock.
func (p *Pool) merged(old *entry, s Server) warmup.State {
	var state warmup.State
	if old != nil {
		state = old.warmUp
		if old.Boot != s.Boot || old.Address != s.Address {
			state = old.warmUp.Restarted()
		}
	}
	state.SetListed(p.now(), s.WarmUpLeft)
	return state
}
