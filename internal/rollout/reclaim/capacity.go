// Package reclaim plans the number of backend servers of each class (spot or on-demand)
// in each availability zone, and decides what happens to the generations on spot servers
// that the platform reclaims.
//
// The rules of capacity planning, to which the code refers by number:
//
//  1. Work that is not idempotent runs on on-demand servers only, spread over the zones.
//  2. The other work needs a rate that completes the remaining tokens of each step by its
//     deadline less a margin, plus the steady rate of other requests. A step never needs
//     more servers than its unfinished samples can fill.
//  3. Spot servers cover that need, spread evenly over the zones where they are cheaper
//     than on-demand servers and that have not recently reclaimed spot servers or refused
//     orders for them.
//  4. On-demand servers cover a shortfall of spot servers only if the running spot servers
//     are too slow for the steady rate, or if waiting longer for spot servers would miss a
//     deadline. Spot servers that have not started within a wait count as a shortfall,
//     except those ordered since for a need that has grown. If no zone offers spot servers
//     by rule 3, there is no such wait.
//  5. Growth is immediate. A shrink waits until the need has been lower for a while, and
//     goes no lower than the highest need in that time.
package reclaim

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/platform/supply"
)

// Defaults of a Policy.
const (
	DefaultStartupTime    = 60 * time.Second
	DefaultDeadlineMargin = 2 * time.Minute
	DefaultCooldown       = 5 * time.Minute
	DefaultSpotWait       = 90 * time.Second
	DefaultShrinkDelay    = 2 * time.Minute
)

// Policy holds the limits of a planner. Zero durations take the defaults.
type Policy struct {
	StartupTime    time.Duration // from the order of a server until it works
	DeadlineMargin time.Duration // steps are planned to complete this long before their deadline
	Cooldown       time.Duration // without spot orders in a zone after a reclaim or a refused order there
	SpotWait       time.Duration // for ordered spot servers, before on-demand servers replace them
	ShrinkDelay    time.Duration // during which the need must be lower before a shrink
	Headroom       float64       // spot servers added for expected reclaims, as a share of the need; zero for none
	MaxServers     int           // limit of the needed servers, those of rule 1 included; zero for none; those of rule 4 are added
}

// Step is the remaining work of one training step.
type Step struct {
	Tokens   float64   // still to generate
	Samples  int       // not yet finished; zero if unknown
	Deadline time.Time // a zero one counts as past
}

// Demand is the work that the capacity must serve. Rates are in tokens per second.
type Demand struct {
	SteadyRate      float64 // of idempotent requests outside the steps
	OnDemandServers int     // servers needed for work that is not idempotent
	ServerRate      float64 // of one server; if zero, no servers are planned for idempotent work
	ServerSlots     int     // generations that one server runs at the same time; zero if unknown
	Steps           []Step
}

// Zone is the state of an availability zone. Prices are per server and hour; spot servers
// are ordered only where SpotPrice is below OnDemandPrice.
type Zone struct {
	Name            string
	SpotPrice       float64
	OnDemandPrice   float64
	SpotRunning     int       // working spot servers
	OnDemandRunning int       // working on-demand servers; the planner doesn't use it
	LastReclaim     time.Time // time of the latest reclaim notice or refused order; zero if none
}

// Target is the planned number of servers of a class in a zone.
type Target struct {
	Zone  string
	Class supply.Class
	Count int
}

// Planner plans the capacity of one pool of servers. The zero value is ready to use. It is
// not safe for concurrent use.
type Planner struct {
	Policy Policy

	shortSince time.Time   // since when fewer than shortNeed spot servers have been running
	shortNeed  int         // servers needed at shortSince
	lowSince   time.Time   // when the need fell below the last plan
	peak       classCounts // highest need since lowSince
	last       classCounts // the last plan
}

// classCounts holds the number of servers of each class.
type classCounts struct {
	spot, onDemand int
}

// Plan returns the planned total number of servers of each class in each zone, zero counts
// included, ordered by zone and with on-demand before spot. Without zones it returns nil.
func (p *Planner) Plan(now time.Time, demand Demand, zones []Zone) []Target {
	if len(zones) == 0 {
		return nil
	}
	need := p.need(now, demand)
	wanted := p.delayShrink(now, p.splitByClass(now, need, demand, zones))
	return p.spreadOverZones(now, wanted, demand.OnDemandServers, zones)
}

// need returns the number of servers that the idempotent work needs (rule 2).
func (p *Planner) need(now time.Time, demand Demand) int {
	if demand.ServerRate <= 0 {
		return 0
	}
	rate := demand.SteadyRate
	for _, step := range demand.Steps {
		rate += min(step.Tokens/p.timeLeft(now, step).Seconds(), maxUsableRate(demand, step))
	}
	return p.limit(math.Ceil(rate/demand.ServerRate), demand)
}

// withHeadroom adds the headroom for reclaims to a number of spot servers. On-demand
// servers are not reclaimed and need none.
func (p *Planner) withHeadroom(need int, demand Demand) int {
	return p.limit(math.Ceil(float64(need)*(1+p.Policy.Headroom)), demand)
}

// limit limits a number of servers to what MaxServers leaves beside the on-demand servers
// of rule 1.
func (p *Planner) limit(count float64, demand Demand) int {
	if p.Policy.MaxServers > 0 {
		count = min(count, float64(p.Policy.MaxServers-demand.OnDemandServers))
	}
	return max(0, int(count))
}

// maxUsableRate returns the rate of the servers that the step's unfinished samples can
// fill. A few last samples close to the deadline would not complete sooner on more
// servers.
func maxUsableRate(demand Demand, step Step) float64 {
	if step.Samples <= 0 || demand.ServerSlots <= 0 {
		return math.Inf(1)
	}
	servers := (step.Samples + demand.ServerSlots - 1) / demand.ServerSlots
	return float64(servers) * demand.ServerRate
}

// timeLeft returns the time left until a step's deadline less the margin, at least one
// second.
func (p *Planner) timeLeft(now time.Time, step Step) time.Duration {
	return max(step.Deadline.Sub(now)-cmp.Or(p.Policy.DeadlineMargin, DefaultDeadlineMargin), time.Second)
}

// splitByClass splits the need between spot and on-demand servers (rules 3 and 4).
func (p *Planner) splitByClass(now time.Time, need int, demand Demand, zones []Zone) classCounts {
	running, offering := 0, 0
	for _, zone := range zones {
		running += zone.SpotRunning
		if p.offers(now, zone) {
			offering++
		}
	}
	if running >= need {
		p.shortSince = time.Time{}
		return classCounts{spot: p.withHeadroom(need, demand)}
	}
	if offering == 0 {
		return classCounts{spot: min(need, running), onDemand: p.onDemandFallback(now, need, running, demand)}
	}
	if p.shortSince.IsZero() || running >= p.shortNeed {
		p.shortSince, p.shortNeed = now, need
	}
	if now.Sub(p.shortSince) < cmp.Or(p.Policy.SpotWait, DefaultSpotWait) {
		return classCounts{spot: p.withHeadroom(need, demand)}
	}
	return classCounts{spot: p.withHeadroom(need, demand), onDemand: p.onDemandFallback(now, need, running, demand)}
}

// onDemandFallback returns the planned number of on-demand servers for a shortfall of spot
// servers. It returns zero as long as the running spot servers cover the steady rate and
// would complete every step at least one startup time before its margin, so that the order
// can wait.
func (p *Planner) onDemandFallback(now time.Time, need, running int, demand Demand) int {
	rate := float64(running) * demand.ServerRate
	if rate < demand.SteadyRate {
		return need - running
	}
	spare := rate - demand.SteadyRate
	total := 0.0
	steps := slices.Clone(demand.Steps)
	slices.SortFunc(steps, func(a, b Step) int { return a.Deadline.Compare(b.Deadline) })
	for _, step := range steps {
		total += step.Tokens
		if spare*(p.timeLeft(now, step)-cmp.Or(p.Policy.StartupTime, DefaultStartupTime)).Seconds() < total {
			return need - running
		}
	}
	return 0
}

// isOpen reports whether the zone is not in a cooldown after a reclaim or a refused order.
func (p *Planner) isOpen(now time.Time, zone Zone) bool {
	return zone.LastReclaim.IsZero() || now.Sub(zone.LastReclaim) >= cmp.Or(p.Policy.Cooldown, DefaultCooldown)
}

// delayShrink delays a shrink by the shrink delay, and then shrinks to the highest need
// during the delay (rule 5). A short dip between two steps thus releases no servers.
func (p *Planner) delayShrink(now time.Time, wanted classCounts) classCounts {
	if wanted.spot+wanted.onDemand >= p.last.spot+p.last.onDemand {
		p.lowSince = time.Time{}
		p.last = wanted
		return wanted
	}
	if p.lowSince.IsZero() {
		p.lowSince, p.peak = now, classCounts{}
	}
	p.peak = classCounts{max(p.peak.spot, wanted.spot), max(p.peak.onDemand, wanted.onDemand)}
	if now.Sub(p.lowSince) < cmp.Or(p.Policy.ShrinkDelay, DefaultShrinkDelay) {
		return classCounts{max(wanted.spot, p.last.spot), max(wanted.onDemand, p.last.onDemand)}
	}
	p.lowSince = time.Time{}
	p.last = p.peak
	return p.last
}

// spreadOverZones distributes the servers over the zones: spot servers over the zones that
// offer them, on-demand servers over all. Another zone keeps the spot servers that it
// still runs.
func (p *Planner) spreadOverZones(now time.Time, wanted classCounts, onDemandServers int, zones []Zone) []Target {
	zones = slices.Clone(zones)
	slices.SortFunc(zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	remaining, offering := wanted.spot, 0
	for _, zone := range zones {
		if p.offers(now, zone) {
			offering++
			continue
		}
		remaining -= zone.SpotRunning
	}
	remaining = max(0, remaining)
	var targets []Target
	index := 0
	for i, zone := range zones {
		targets = append(targets, Target{zone.Name, supply.OnDemand, evenPart(wanted.onDemand+onDemandServers, len(zones), i)})
		spot := min(zone.SpotRunning, wanted.spot)
		if p.offers(now, zone) {
			spot = evenPart(remaining, offering, index)
			index++
		}
		targets = append(targets, Target{zone.Name, supply.Spot, spot})
	}
	return targets
}

// offers reports whether spot servers can be ordered in the zone and are cheaper than
// on-demand servers.
func (p *Planner) offers(now time.Time, zone Zone) bool {
	return p.isOpen(now, zone) && zone.SpotPrice < zone.OnDemandPrice
}

// evenPart returns the size of the i-th of n nearly equal parts of a count.
func evenPart(count, n, i int) int {
	if i < count%n {
		return count/n + 1
	}
	return count / n
}
