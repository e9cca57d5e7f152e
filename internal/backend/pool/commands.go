package pool

import "time"

// Replace puts a whole list of servers in.
func (p *Pool) Replace(list []Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.servers
	p.servers = make(map[string]*entry, len(list))
	for _, s := range list {
		p.servers[s.Name] = p.renewed(old[s.Name], s)
	}
	p.known = true
	p.wake()
}

// Put adds a server or changes it.
func (p *Pool) Put(s Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.servers == nil {
		p.servers = map[string]*entry{}
	}
	p.servers[s.Name] = p.renewed(p.servers[s.Name], s)
	p.wake()
}

// Remove drops a server that is gone.
func (p *Pool) Remove(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.servers, name)
}

// MarkLeaving takes in that a start of a server said that it leaves. That start gets
// nothing new from this host, whatever a list says of it or has said: lists are
// older than the answer, and may stay so while the platform can't be reached.
func (p *Pool) MarkLeaving(s Server) (news bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.leaving[s.start()]; known {
		return false
	}
	if p.leaving == nil {
		p.leaving = map[start]struct{}{}
	}
	p.dropLeaving()
	p.leaving[s.start()] = struct{}{}
	if e := p.current(s.start()); e != nil {
		e.Draining = true
	}
	return true
}

// dropLeaving forgets starts that are not listed once too many are remembered.
func (p *Pool) dropLeaving() {
	if len(p.leaving) < mostLeaving {
		return
	}
	for left := range p.leaving {
		if p.current(left) == nil {
			delete(p.leaving, left)
		}
	}
}

// SetVersions takes in the weights that a start of a server says it holds, unless the
// server has restarted or is gone.
func (p *Pool) SetVersions(s Server, versions map[string]uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.current(s.start()); e != nil {
		e.Versions = versions
		e.prefixes = nil
		p.wake()
	}
}

// renewed keeps what is known of a server unless it has restarted.
func (p *Pool) renewed(old *entry, s Server) *entry {
	if _, left := p.leaving[s.start()]; left {
		s.Draining = true
	}
	if old == nil || old.Boot != s.Boot || old.Address != s.Address {
		return &entry{Server: s}
	}
	for model, version := range old.Versions {
		if s.Versions[model] != version {
			old.prefixes = nil // caches of older weights are gone
		}
	}
	old.Server = s
	return old
}

// ObserveVersion takes in the weights that an answer named, which is earlier news than
// the platform's list.
func (c *Choice) ObserveVersion(model string, version uint64) {
	c.change(func(e *entry) {
		if version <= e.Versions[model] {
			return
		}
		versions := map[string]uint64{model: version}
		for m, v := range e.Versions {
			if m != model {
				versions[m] = v
			}
		}
		e.Versions = versions
		e.prefixes = nil
		c.pool.wake()
	})
}

// RecordLoad takes in the load that an answer carried.
func (c *Choice) RecordLoad(now time.Time, load Load) {
	c.change(func(e *entry) { e.reported, e.at, e.beside = load, now, e.mine })
}

// RecordEventInterval takes in the time between two events of a generation.
func (c *Choice) RecordEventInterval(now time.Time, gap time.Duration) {
	c.change(func(e *entry) {
		if e.pace == 0 || now.Sub(e.paced) >= paceExpiry {
			e.pace = gap
		} else {
			e.pace += time.Duration(paceGain * float64(gap-e.pace))
		}
		e.paced = now
	})
}

// FastestOtherInterval returns the shortest pace among the other servers that would take
// the request now, zero when none is known.
func (c *Choice) FastestOtherInterval(now time.Time, need Need) time.Duration {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	var least time.Duration
	for _, e := range p.servers {
		known := e.pace > 0 && now.Sub(e.paced) < paceExpiry
		if e.Name == c.Server.Name || !known || least > 0 && e.pace >= least {
			continue
		}
		if e.eligible(now, need) && e.load(now) < float64(e.slots()) {
			least = e.pace
		}
	}
	return least
}

// RecordSuccess ends the backoff of the server.
func (c *Choice) RecordSuccess() {
	c.change(func(e *entry) { e.fails = 0 })
}

// KeepConnection notes that the request's connection is left open. Call it before Release.
func (c *Choice) KeepConnection() { c.change(func(*entry) { c.kept = true }) }

// RecordRefusal keeps the server from new requests for a moment: it said that it did
// not run the request.
func (c *Choice) RecordRefusal(now time.Time) {
	c.change(func(e *entry) { c.backOff(e, now, firstBackoff) })
}

// backOff keeps the server from new requests for a time, and wakes waiters
// after it.
func (c *Choice) backOff(e *entry, now time.Time, wait time.Duration) {
	e.until = now.Add(wait)
	time.AfterFunc(wait, func() {
		c.pool.mu.Lock()
		defer c.pool.mu.Unlock()
		c.pool.wake()
	})
}

// RecordFailure backs off from the server, longer with each failure in a row.
func (c *Choice) RecordFailure(now time.Time) {
	c.change(func(e *entry) {
		wait := min(firstBackoff<<min(e.fails, 8), maxBackoff)
		e.fails++
		c.backOff(e, now, wait)
		e.prefixes = nil
	})
}

// Release gives the place back; calls after the first do nothing.
func (c *Choice) Release() {
	c.once.Do(func() {
		c.change(func(e *entry) {
			e.mine--
			if c.kept {
				e.links++
			}
			c.pool.wake()
		})
	})
}

// change applies to the server unless it is gone or has restarted.
func (c *Choice) change(apply func(*entry)) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if e := c.pool.current(c.Server.start()); e != nil {
		apply(e)
	}
}
