package pool

import (
	"hash/maphash"
	"math"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/worktime"
)

// Rules for services whose servers report in a fourth load figure how long work takes on
// the machine, in place of rules 2 to 6 as far as they say otherwise. No other service is
// affected.
//
//   - A plain request goes by the expected time: the work time at this moment, multiplied
//     by the load per slot with this request as far as that is beyond 1.
//   - For a plain request, a server of which half of the slots are in use gets no bonus for
//     its zone or an idle connection. Otherwise hosts go on to use the servers that they
//     are connected to while these have a queue; the busiest server was seen with 3.9 times
//     the mean.
//   - A generation goes by the lasting work time, which noise does not change, where
//     that is known (rule 5).

const (
	// IntervalEvents is the number of events over which the interval of
	// RecordEventInterval is measured.
	IntervalEvents = 5
	// slowServer is the lasting work time from which a server counts as slow in metrics.
	// Machines at normal speed differ by less, slow ones take 3 to 4 times as long.
	slowServer = 2
	// tieSpread bounds what the host's own order adds to the cost. It is less than the load
	// per slot of one request at a server with up to 50 slots.
	tieSpread = 0.02
)

// SendsWorkTime reports whether a server of the service has reported a work time to this
// host.
func (p *Pool) SendsWorkTime(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sendsWorkTime(service)
}

// sendsWorkTime is SendsWorkTime for callers that hold the lock.
func (p *Pool) sendsWorkTime(service string) bool { return p.normalIntervals[service] != nil }

// RecordWorkTime records the work time that a server reported in percent of the normal one.
// It ignores values below 1.
func (c *Choice) RecordWorkTime(now time.Time, percent int) {
	c.update(func(e *entry) { c.pool.addWorkTime(now, e, percent) })
}

// addWorkTime records a work time of a server. The caller holds the lock.
func (p *Pool) addWorkTime(now time.Time, e *entry, percent int) {
	if percent < 1 {
		return
	}
	if p.normalIntervals == nil {
		p.normalIntervals = map[string]*worktime.Normal{}
	}
	if p.normalIntervals[e.Service] == nil {
		p.normalIntervals[e.Service] = &worktime.Normal{}
		p.paceService(e.Service)
	}
	e.workTime.AddFigure(now, percent)
}

// addInterval adds the time between the events of a generation to the work time of its
// server, once the normal interval of the service is known. The caller holds the lock.
func (p *Pool) addInterval(now time.Time, e *entry, interval time.Duration) {
	if !p.sendsWorkTime(e.Service) || interval <= 0 {
		return
	}
	normal := p.normalIntervals[e.Service]
	normal.Add(now, interval, &e.workTime)
	if usual, known := normal.Interval(); known {
		e.workTime.AddInterval(now, interval, IntervalEvents, usual)
	}
}

// rate returns the cost of a server with the given load. The server with the lowest cost is
// selected. Shortest is the result of shortestInterval.
func (p *Pool) rate(now time.Time, e *entry, load float64, need Need, shortest time.Duration) float64 {
	cost := p.cost(now, e, load, need)
	slowness := e.slowness(now, shortest)
	if p.sendsWorkTime(need.Service) {
		if need.ExpectedTokens == 0 && need.Model == "" {
			return p.plainCost(now, e, load, cost)
		}
		if factor, _, known := e.workTime.Lasting(now); known {
			slowness = factor - 1
		}
	}
	return cost + slowness*slownessWeight(need.ExpectedTokens)
}

// plainCost returns the cost of a server for a plain request. Cost is that of rules 2 to 6.
func (p *Pool) plainCost(now time.Time, e *entry, load, cost float64) float64 {
	slots := float64(e.slots())
	inUse := load
	if now.Sub(e.reportedAt) < reportTTL {
		inUse = max(inUse, float64(e.reported.Running+e.reported.Waiting))
	}
	if 2*inUse >= slots {
		cost = load / slots
	}
	expected := e.workTime.Now(now) * max(1, (load+1)/slots)
	return cost + expected - 1 + p.tieBreak(e.Name)
}

// tieBreak returns the position of a server in this host's own order, from 0 to tieSpread.
func (p *Pool) tieBreak(name string) float64 {
	if p.tieSeed == (maphash.Seed{}) {
		p.tieSeed = maphash.MakeSeed()
	}
	return tieSpread * float64(maphash.String(p.tieSeed, name)) / math.MaxUint64
}

// CountWorkTimes returns the number of servers whose lasting work time is known, and of
// those that are slow.
func (p *Pool) CountWorkTimes(now time.Time) (known, slow int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.servers {
		if factor, _, ok := e.workTime.Lasting(now); ok {
			known++
			if factor >= slowServer {
				slow++
			}
		}
	}
	return known, slow
}
