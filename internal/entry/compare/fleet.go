package compare

import (
	"fmt"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/entry/attempt"
	"github.com/hyssopwall/hyssopwall/internal/entry/queue"
	"github.com/hyssopwall/hyssopwall/internal/entry/route"
)

// Pool name, message delay and periods of the simulated hosts.
const (
	pool          = "m"
	messageTime   = 300 * time.Microsecond // of a message within a zone
	summaryPeriod = time.Second            // between two exchanges of summaries
	sweepPeriod   = 100 * time.Millisecond // between two sweeps of each queue
)

// fleet simulates hosts that use the decision code of the product.
type fleet struct {
	sim           *simulation
	policy        Policy
	hosts         []*host
	byName        map[string]*host
	lastAttemptID int
	budget        attempt.Budget     // of all hosts together
	hedgeDelay    attempt.HedgeDelay // of all hosts together
}

// host accepts requests from callers and is the home host of some engines: it queues
// the requests that these engines run.
type host struct {
	fleet       *fleet
	name        string
	zone        int
	picker      route.Picker
	totals      []route.Summary // last announced total of each zone, by zone
	engines     route.Servers
	queue       *queue.Queue
	fakeEngines map[string]*fakeEngine
}

// pendingRequest is a request that a host has accepted, with its send attempts in
// flight by ID.
type pendingRequest struct {
	request  *request
	home     *host
	state    attempt.State
	attempts map[int]*sendAttempt
}

// newFleet creates the hosts and makes them handle the arrivals of a simulation.
func newFleet(sim *simulation, policy Policy) *fleet {
	fl := &fleet{sim: sim, policy: policy, byName: map[string]*host{}}
	for i := range sim.site.Hosts {
		h := &host{
			fleet: fl, name: fmt.Sprintf("h%02d", i), zone: i % sim.site.Zones,
			picker: route.Picker{Seed: uint64(i) << 32}, fakeEngines: map[string]*fakeEngine{}, totals: make([]route.Summary, sim.site.Zones),
		}
		fl.hosts = append(fl.hosts, h)
		fl.byName[h.name] = h
	}
	fl.assign()
	fl.schedule()
	sim.arrive = fl.arrive
	return fl
}

// assign gives each engine its home host and sets up the queue of each host.
func (fl *fleet) assign() {
	for zone := range fl.sim.site.Zones {
		var names []string
		for _, h := range fl.hosts {
			if h.zone == zone {
				names = append(names, h.name)
			}
		}
		homes := route.NewHomes(names)
		for _, f := range fl.sim.engines {
			if f.zone == zone {
				fl.byName[homes.HomeOf(f.name)].fakeEngines[f.name] = f
			}
		}
	}
	for _, h := range fl.hosts {
		h.initServers()
	}
}

// initServers registers the engines of a host and creates its queue. Initial rate and
// speed are set to half of what the engines do at full speed.
func (h *host) initServers() {
	var servers []route.Server
	for name := range h.fakeEngines {
		servers = append(servers, route.Server{Name: name, Pool: pool, Slots: engineSlots, Speed: engineSpeed})
	}
	h.engines.SetServers(servers)
	h.queue = queue.New(queue.Config{InitialRate: max(1, float64(len(servers))*engineSlots*engineSpeed/2), InitialSpeed: engineSpeed / 2})
}

// schedule starts the periodic work of the hosts, until the deadline of every request
// has passed.
func (fl *fleet) schedule() {
	sim := fl.sim
	stop := sim.end().Add(sim.load.Deadline)
	fl.exchange()
	sim.every(summaryPeriod, stop, fl.exchange)
	sim.every(sweepPeriod, stop, func() {
		for _, h := range fl.hosts {
			if fl.policy.Shed {
				fl.finishShed(h.queue.Sweep(sim.now))
			}
			h.dispatch()
		}
	})
	sim.every(reportLag, stop, fl.reportStates)
	sim.every(cacheEventLag, stop, fl.applyCacheEvents)
}

// exchange delivers the summary of each host to the hosts of its zone, and the
// totals of each zone to all hosts.
func (fl *fleet) exchange() {
	now := fl.sim.now
	for _, h := range fl.hosts {
		load := h.queue.Load()
		s := h.engines.Summarize(now, h.name, fmt.Sprint(h.zone), pool, route.QueueLoad{Backlog: load.Backlog, Waits: load.Waits})
		for _, other := range fl.hosts {
			if other.zone == h.zone {
				other.picker.Update(now, s)
			}
		}
	}
	for _, h := range fl.hosts {
		total := h.picker.Total(now, fmt.Sprint(h.zone), pool)
		for _, other := range fl.hosts {
			other.totals[h.zone] = total
		}
	}
}

// reportStates delivers the present state of each running engine to its home host
// after reportLag.
func (fl *fleet) reportStates() {
	now := fl.sim.now
	for _, h := range fl.hosts {
		for _, f := range h.fakeEngines {
			if f.down {
				continue
			}
			state := f.state()
			fl.sim.after(reportLag, func() { h.engines.ApplyState(now.Add(reportLag), state) })
		}
	}
}

// applyCacheEvents delivers the pending cache events of each engine to its home host.
func (fl *fleet) applyCacheEvents() {
	for _, h := range fl.hosts {
		for name, f := range h.fakeEngines {
			if len(f.events) > 0 {
				h.engines.ApplyCacheEvents(name, f.events)
				f.events = nil
			}
		}
	}
}

// arrive accepts a request at its entry host and routes it to a home host.
func (fl *fleet) arrive(r *request) {
	fl.budget.CountRequest(fl.sim.now)
	p := &pendingRequest{request: r, attempts: map[int]*sendAttempt{}, state: attempt.State{Phase: attempt.Queued, Idempotent: true}}
	p.state, _ = attempt.Next(p.state, attempt.Event{Kind: attempt.EventClaim})
	fl.routeToHome(p)
}

// routeToHome chooses a zone and a home host, and queues the request there.
func (fl *fleet) routeToHome(p *pendingRequest) {
	now, entry := fl.sim.now, fl.hosts[p.request.host]
	ownTotal := entry.picker.Total(now, fmt.Sprint(entry.zone), pool)
	var hops []route.Hop
	for zone, total := range entry.totals {
		if zone != entry.zone {
			hops = append(hops, route.Hop{Total: total, Cost: 2 * fl.sim.site.CrossZoneDelay})
		}
	}
	delay := messageTime
	prompt := fl.promptOf(p)
	if zone := route.SpilloverZoneForPrompt(now, fl.workspace(p), prompt, ownTotal, hops); zone != "" {
		entry = fl.randomHost(zone)
		delay += fl.sim.site.CrossZoneDelay
	}
	name, ok := entry.picker.Pick(now, pool, fl.workspace(p), prompt.Prefix)
	if !ok {
		fl.finish(p, attempt.Event{Kind: attempt.EventExpire})
		return
	}
	p.home = fl.byName[name]
	fl.sim.after(delay, func() { p.home.enqueue(p) })
}

// promptOf returns the prompt data that routing uses, empty if the policy ignores
// prefixes.
func (fl *fleet) promptOf(p *pendingRequest) route.Prompt {
	if !fl.policy.Prefix {
		return route.Prompt{}
	}
	seconds := sharedPrompt * promptFactor / engineSpeed
	return route.Prompt{
		Prefix:      prefixesOf(p.request.group)[0],
		PrefillTime: time.Duration(seconds * float64(time.Second)),
	}
}

// randomHost returns a random host of a zone.
func (fl *fleet) randomHost(zone string) *host {
	var hosts []*host
	for _, h := range fl.hosts {
		if fmt.Sprint(h.zone) == zone {
			hosts = append(hosts, h)
		}
	}
	return hosts[fl.sim.rng.IntN(len(hosts))]
}

// finishShed ends the requests that a queue dropped.
func (fl *fleet) finishShed(shed []queue.Shed) {
	for _, s := range shed {
		fl.finish(s.Value.(*pendingRequest), attempt.Event{Kind: attempt.EventExpire})
	}
}

// finish ends a request without an answer and marks it as refused if it did not run.
func (fl *fleet) finish(p *pendingRequest, e attempt.Event) {
	var d attempt.Decision
	p.state, d = attempt.Next(p.state, e)
	if d.Do == attempt.DoFinish && d.Ran == attempt.RanNo {
		p.request.refused = fl.sim.now
	}
}
