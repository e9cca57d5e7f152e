package compare

import (
	"fmt"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/entry/attempt"
	"github.com/hyssopwall/hyssopwall/internal/entry/queue"
	"github.com/hyssopwall/hyssopwall/internal/entry/route"
)

// The times between hosts.
const (
	pool          = "m"
	messageTime   = 300 * time.Microsecond // within a zone
	summaryPeriod = time.Second
	sweepPeriod   = 100 * time.Millisecond
)

// fleet runs the decisions of the product on every host.
type fleet struct {
	world  *world
	policy Policy
	hosts  []*host
	byName map[string]*host
	legs   int
	budget attempt.Budget
	delay  attempt.HedgeDelay
}

// host is one host: it takes requests in and is home to some engines.
type host struct {
	fleet   *fleet
	name    string
	zone    int
	picker  route.Picker
	totals  []route.Summary // by zone
	engines route.Engines
	queue   *queue.Queue
	fakes   map[string]*fake
}

// flight is a request under way.
type flight struct {
	request *request
	home    *host
	state   attempt.State
	legs    map[int]*leg
}

func newFleet(w *world, policy Policy) *fleet {
	fl := &fleet{world: w, policy: policy, byName: map[string]*host{}}
	for i := range w.site.Hosts {
		h := &host{
			fleet: fl, name: fmt.Sprintf("h%02d", i), zone: i % w.site.Zones,
			picker: route.Picker{Seed: uint64(i) << 32}, fakes: map[string]*fake{}, totals: make([]route.Summary, w.site.Zones),
		}
		fl.hosts = append(fl.hosts, h)
		fl.byName[h.name] = h
	}
	fl.assign()
	fl.schedule()
	w.arrive = fl.arrive
	return fl
}

// assign gives each engine its home and each home its queue.
func (fl *fleet) assign() {
	for zone := range fl.world.site.Zones {
		var names []string
		for _, h := range fl.hosts {
			if h.zone == zone {
				names = append(names, h.name)
			}
		}
		homes := route.NewHomes(names)
		for _, f := range fl.world.engines {
			if f.zone == zone {
				fl.byName[homes.HomeOf(f.name)].fakes[f.name] = f
			}
		}
	}
	for _, h := range fl.hosts {
		h.setUp()
	}
}

func (h *host) setUp() {
	var servers []route.Server
	for name := range h.fakes {
		servers = append(servers, route.Server{Name: name, Pool: pool, Slots: engineSlots, Speed: engineSpeed})
	}
	h.engines.SetServers(servers)
	h.queue = queue.New(queue.Config{InitialRate: max(1, float64(len(servers))*engineSlots*engineSpeed/2), InitialSpeed: engineSpeed / 2})
}

func (fl *fleet) schedule() {
	w := fl.world
	stop := w.end().Add(w.load.Deadline)
	fl.exchange()
	w.every(summaryPeriod, stop, fl.exchange)
	w.every(sweepPeriod, stop, func() {
		for _, h := range fl.hosts {
			if fl.policy.Shed {
				fl.refuse(h.queue.Sweep(w.now))
			}
			h.dispatch()
		}
	})
	w.every(reportLag, stop, fl.report)
	w.every(cacheEventLag, stop, fl.cacheEvents)
}

// exchange sends the summaries of each home to the hosts of its zone, and zone
// totals to all.
func (fl *fleet) exchange() {
	now := fl.world.now
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

func (fl *fleet) report() {
	now := fl.world.now
	for _, h := range fl.hosts {
		for _, f := range h.fakes {
			if f.down {
				continue
			}
			state := f.state()
			fl.world.after(reportLag, func() { h.engines.ApplyState(now.Add(reportLag), state) })
		}
	}
}

func (fl *fleet) cacheEvents() {
	for _, h := range fl.hosts {
		for name, f := range h.fakes {
			if len(f.events) > 0 {
				h.engines.ApplyCacheEvents(name, f.events)
				f.events = nil
			}
		}
	}
}

// arrive takes a request in at a host and sends it to its home.
func (fl *fleet) arrive(r *request) {
	fl.budget.CountRequest(fl.world.now)
	fi := &flight{request: r, legs: map[int]*leg{}, state: attempt.State{Phase: attempt.Queued, Idempotent: true}}
	fi.state, _ = attempt.Next(fi.state, attempt.Event{Kind: attempt.EventClaim})
	fl.toHome(fi)
}

// toHome chooses a zone and a home, and queues the request there.
func (fl *fleet) toHome(fi *flight) {
	now, entry := fl.world.now, fl.hosts[fi.request.host]
	own := entry.picker.Total(now, fmt.Sprint(entry.zone), pool)
	var hops []route.Hop
	for zone, total := range entry.totals {
		if zone != entry.zone {
			hops = append(hops, route.Hop{Total: total, Cost: 2 * fl.world.site.Hop})
		}
	}
	way := messageTime
	prompt := fl.promptOf(fi)
	if zone := route.SpilloverZoneForPrompt(now, fl.workspace(fi), prompt, own, hops); zone != "" {
		entry = fl.anyOf(zone)
		way += fl.world.site.Hop
	}
	name, ok := entry.picker.Pick(now, pool, fl.workspace(fi), prompt.Prefix)
	if !ok {
		fl.finish(fi, attempt.Event{Kind: attempt.EventExpire})
		return
	}
	fi.home = fl.byName[name]
	fl.world.after(way, func() { fi.home.enqueue(fi) })
}

func (fl *fleet) promptOf(fi *flight) route.Prompt {
	if !fl.policy.Prefix {
		return route.Prompt{}
	}
	seconds := sharedPrompt * promptFactor / engineSpeed
	return route.Prompt{
		Prefix:      prefixesOf(fi.request.group)[0],
		PrefillTime: time.Duration(seconds * float64(time.Second)),
	}
}

func (fl *fleet) anyOf(zone string) *host {
	var hosts []*host
	for _, h := range fl.hosts {
		if fmt.Sprint(h.zone) == zone {
			hosts = append(hosts, h)
		}
	}
	return hosts[fl.world.rng.IntN(len(hosts))]
}

func (fl *fleet) refuse(shed []queue.Shed) {
	for _, s := range shed {
		fl.finish(s.Value.(*flight), attempt.Event{Kind: attempt.EventExpire})
	}
}

// finish ends a request without an answer.
func (fl *fleet) finish(fi *flight, e attempt.Event) {
	var d attempt.Decision
	fi.state, d = attempt.Next(fi.state, e)
	if d.Do == attempt.DoFinish && d.Ran == attempt.RanNo {
		fi.request.refused = fl.world.now
	}
}
