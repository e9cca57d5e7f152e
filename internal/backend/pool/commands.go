package pool

import "time"

// Replace replaces the whole list of servers. Servers that have not restarted keep
// their state.
func (p *Pool) Replace(list []Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.servers
	p.servers = make(map[string]*entry, len(list))
	for _, s := range list {
		p.servers[s.Name] = p.merge(old[s.Name], s)
	}
	p.hasList = true
	p.notify()
}

// Put adds a server or updates its entry.
func (p *Pool) Put(s Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.servers == nil {
		p.servers = map[string]*entry{}
	}
	p.servers[s.Name] = p.merge(p.servers[s.Name], s)
	p.notify()
}

// Remove removes a server.
func (p *Pool) Remove(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.servers, name)
}

// MarkLeaving records that an instance of a server announced in a response that it
// leaves, and returns false if that was known. The instance gets no new requests
// from this host, whatever the lists contain: they are older than the response and
// may stay so while the platform can't be reached.
func (p *Pool) MarkLeaving(s Server) (added bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.leaving[s.instance()]; known {
		return false
	}
	if p.leaving == nil {
		p.leaving = map[instance]struct{}{}
	}
	p.prune(p.leaving)
	p.leaving[s.instance()] = struct{}{}
	if e := p.current(s.instance()); e != nil {
		e.Draining = true
	}
	return true
}

// prune removes instances that are no longer listed once maxLeaving are recorded.
func (p *Pool) prune(instances map[instance]struct{}) {
	if len(instances) < maxLeaving {
		return
	}
	for left := range instances {
		if p.current(left) == nil {
			delete(instances, left)
		}
	}
}

// SetVersions sets the weights versions that an instance of a server reported, and
// forgets the server's cached prefixes. It does nothing if the server has restarted
// or was removed.
func (p *Pool) SetVersions(s Server, versions map[string]uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.current(s.instance()); e != nil {
		e.Versions = versions
		e.prefixes = nil
		p.notify()
	}
}

// merge returns the entry for a newly listed server. It keeps the state of the old
// entry unless the server has restarted or moved to another address. The listed
// weights versions replace the known ones, also if they are older.
func (p *Pool) merge(old *entry, s Server) *entry {
	if s.Draining {
		if p.drained == nil {
			p.drained = map[instance]struct{}{}
		}
		p.prune(p.drained)
		p.drained[s.instance()] = struct{}{}
	}
	if _, left := p.leaving[s.instance()]; left {
		s.Draining = true
	}
	warmUp := p.merged(old, s)
	if old == nil || old.Boot != s.Boot || old.Address != s.Address {
		e := &entry{Server: s, warmUp: warmUp, window: p.newWindow(s), region: p.regionOf(s.Zone)}
		if p.hasList {
			p.observeStart(e, false)
		}
		return e
	}
	old.warmUp, old.region = warmUp, p.regionOf(s.Zone)
	for model, version := range old.Versions {
		if s.Versions[model] != version {
			old.prefixes = nil // loading other weights clears the prefix cache
		}
	}
	old.Server = s
	return old
}

// ObserveVersion records the weights version that a response named, if it is newer
// than the known one, and then forgets the server's cached prefixes. Responses show a
// new version before the platform's list does. The next Put or Replace overwrites it.
func (c *Choice) ObserveVersion(model string, version uint64) {
	c.update(func(e *entry) {
		e.warmUp.RecordAnswer(c.pool.now())
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
		c.pool.notify()
	})
}

// RecordLoad records the load that a response reported.
func (c *Choice) RecordLoad(now time.Time, load Load) {
	c.update(func(e *entry) {
		e.warmUp.RecordAnswer(c.pool.now())
		e.reported, e.reportedAt, e.ownAtReport = load, now, e.ownRequests
		c.pool.addWorkTime(now, e, load.WorkTime)
	})
}

// RecordEventInterval adds the time between two events of a generation, the mean over
// IntervalEvents, to the server's moving average, which starts anew after eventIntervalTTL without one.
func (c *Choice) RecordEventInterval(now time.Time, interval time.Duration) {
	c.update(func(e *entry) {
		e.warmUp.RecordAnswer(c.pool.now())
		if e.eventInterval == 0 || now.Sub(e.intervalAt) >= eventIntervalTTL {
			e.eventInterval = interval
		} else {
			e.eventInterval += time.Duration(intervalWeight * float64(interval-e.eventInterval))
		}
		e.intervalAt = now
		c.pool.addInterval(now, e, interval)
	})
}

// FastestOtherInterval returns the shortest event interval among the other eligible
// servers with a free slot, or zero if none is known.
func (c *Choice) FastestOtherInterval(now time.Time, need Need) time.Duration {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	var least time.Duration
	for _, e := range p.servers {
		known := e.eventInterval > 0 && now.Sub(e.intervalAt) < eventIntervalTTL
		if e.Name == c.Server.Name || !known || least > 0 && e.eventInterval >= least {
			continue
		}
		if !p.silent[e.Zone] && e.eligible(now, need) && e.load(now) < float64(e.slots()) && p.wouldAccept(now, e) {
			least = e.eventInterval
		}
	}
	return least
}

// RecordSuccess resets the failure count of the server, so that its next backoff is
// the shortest.
func (c *Choice) RecordSuccess() {
	c.update(func(e *entry) {
		c.answered(e)
		if e.failures > 0 {
			c.pool.observeStart(e, true)
		}
		e.failures = 0
	})
}

// KeepConnection records that the request's connection stays open. It must be
// called before Release.
func (c *Choice) KeepConnection() { c.update(func(*entry) { c.keepConnection = true }) }

// RecordRefusal excludes the server for initialBackoff, after it reported that it
// did not run the request. This replaces a longer backoff that is running.
func (c *Choice) RecordRefusal(now time.Time) {
	c.update(func(e *entry) {
		c.backOff(e, now, initialBackoff)
		c.refused(e)
	})
}

// backOff makes the server ineligible for the given time and then notifies waiters.
func (c *Choice) backOff(e *entry, now time.Time, wait time.Duration) {
	e.backoffUntil = now.Add(wait)
	time.AfterFunc(wait, func() {
		c.pool.mu.Lock()
		defer c.pool.mu.Unlock()
		c.pool.notify()
	})
}

// RecordFailure starts a backoff of the server, which doubles with each consecutive
// failure up to maxBackoff. The server may have crashed, so its prefix cache counts as
// empty.
func (c *Choice) RecordFailure(now time.Time) {
	c.update(func(e *entry) {
		// A shift by 8 is beyond maxBackoff already; more could overflow.
		wait := min(initialBackoff<<min(e.failures, 8), maxBackoff)
		e.failures++
		c.backOff(e, now, wait)
		c.failed(e)
		e.prefixes = nil
	})
}

// Release frees the slot. Calls after the first do nothing.
func (c *Choice) Release() {
	c.once.Do(func() {
		c.update(func(e *entry) {
			e.ownRequests--
			if c.counted {
				e.answering--
			}
			if c.reuses {
				e.reusing--
			}
			c.unselect(e)
			if c.keepConnection {
				e.idleConnections++
			}
			c.pool.notify()
		})
	})
}

// update calls apply with the server's entry under the lock, unless the server was
// removed or has restarted.
func (c *Choice) update(apply func(*entry)) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if e := c.pool.current(c.Server.instance()); e != nil {
		apply(e)
	}
}
