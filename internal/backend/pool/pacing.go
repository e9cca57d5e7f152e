package pool

import (
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/pace"
)

// PaceService limits the requests in flight at servers of a service that start or recover, as
// for services with a limit on cold servers; see package pace.
func (p *Pool) PaceService(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paceService(service)
}

// paceService is PaceService for callers that hold the lock.
func (p *Pool) paceService(service string) {
	if p.paced == nil {
		p.paced = map[string]bool{}
	}
	p.paced[service] = true
}

// isPaced reports whether the servers of a service have windows. The caller holds the lock.
func (p *Pool) isPaced(service string) bool {
	return p.paced[service] || p.warming.rules[service].Apply()
}

// newWindow returns the window for a server that was not listed before with this start. The
// servers of the first list have none: this host may have started later than they. The caller
// holds the lock.
func (p *Pool) newWindow(s Server) pace.Window {
	if !p.hasList {
		return pace.Window{}
	}
	if p.isPaced(s.Service) {
		for step := range pace.RampSteps {
			time.AfterFunc(pace.RampTime(step+1), p.wake) // more hosts may send then
		}
	}
	return pace.Started(p.now())
}

// observeStart counts from now on what this host does with a server that has started or recovered,
// and reports it some seconds later if there is anything. The caller holds the lock.
func (p *Pool) observeStart(e *entry, recovered bool) {
	if !p.isPaced(e.Service) || p.Hooks.ReportStart == nil {
		return
	}
	began := p.now()
	e.start = pace.NewStart(began, recovered)
	time.AfterFunc(pace.StartTime, func() {
		p.mu.Lock()
		start := e.start
		p.mu.Unlock()
		if start.Since.Equal(began) && start.Any() {
			p.Hooks.ReportStart(e.Server, start)
		}
	})
}

// wake notifies waiters.
func (p *Pool) wake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notify()
}

// hasWindow reports whether the window of a server, if any, has room for a request. The caller
// holds the lock.
func (p *Pool) hasWindow(now time.Time, e *entry) bool {
	return !p.isPaced(e.Service) || e.window.Allows(now, e.ownRequests, func() int { return p.rank(e.Server) })
}

// RecordAnswer records the first event of a generation. RecordSuccess does the same for plain
// requests.
func (c *Choice) RecordAnswer() { c.update(c.answered) }

// answered records that the server has answered the request. It grows the server's window once
// for each request, and notifies waiters that may be sent to the server only now. The caller
// holds the lock.
func (c *Choice) answered(e *entry) {
	p := c.pool
	now := p.now()
	closed := e.warmUp.IsSilent(now, p.view(e)) && p.warming.rules[e.Service].Apply() || e.window.IsOpen(now) && p.isPaced(e.Service)
	e.warmUp.RecordAnswer(now)
	if !c.counted {
		c.counted = true
		e.answering++
		took := time.Duration(0)
		if c.sent {
			took = now.Sub(c.sentAt)
		}
		e.window.Answer(now, took, c.limit)
	}
	if closed {
		p.notify()
	}
}

// refused records that the server has refused the request, unless this host stopped it itself.
// The caller holds the lock.
func (c *Choice) refused(e *entry) {
	if c.sent {
		now := c.pool.now()
		e.warmUp.RecordAnswer(now)
		e.window.Refuse(now)
		e.start.Refuse(now)
	}
}

// failed records that the request or its connection has failed. The caller holds the lock.
func (c *Choice) failed(e *entry) {
	p := c.pool
	now := p.now()
	p.recordFailure(e)
	e.window.Fail(now)
	e.start.Fail(now)
}

// PacedCount returns the number of servers whose window is open.
func (p *Pool) PacedCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count, now := 0, p.now()
	for _, e := range p.servers {
		if p.isPaced(e.Service) && e.window.IsOpen(now) {
			count++
		}
	}
	return count
}
