package pool

import "time"

// Rules for services whose servers report in a fourth load figure how long work takes on
// the machine. No other service is affected.

// SendsWorkTime reports whether a server of the service has reported a work time to this
// host.
func (p *Pool) SendsWorkTime(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sendsWorkTime[service]
}

// RecordWorkTime records the work time that a server reported in percent of the normal one.
// It ignores values below 1.
func (c *Choice) RecordWorkTime(now time.Time, percent int) {
	c.update(func(e *entry) { c.pool.addWorkTime(now, e, percent) })
}

// addWorkTime records a work time of a server. The caller holds the lock.
func (p *Pool) addWorkTime(_ time.Time, e *entry, percent int) {
	if percent < 1 {
		return
	}
	if p.sendsWorkTime == nil {
		p.sendsWorkTime = map[string]bool{}
	}
	p.sendsWorkTime[e.Service] = true
}
