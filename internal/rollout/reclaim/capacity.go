// Package reclaim decides how many backend servers of each price class and
// availability zone are wanted, and what happens to the work on spot servers
// that the platform takes back.
//
// The rules of capacity, to which the code refers by number:
//
//  1. Work that may not be repeated runs on on-demand servers only, spread over
//     the zones.
//  2. The rest needs the rate at which each step's remaining tokens are done by
//     its deadline less a margin, plus the steady rate of other requests. A
//     step never needs more servers than its unfinished samples can fill.
//  3. Spot servers cover that need, spread evenly over the zones that have not
//     lately reclaimed or refused any.
//  4. On-demand servers cover what spot lacks only when waiting longer for spot
//     would miss a deadline, or when spot is not cheaper. Spot servers that
//     start late are missing; those ordered since for a need that grew are not.
//  5. Growth is at once; a shrink waits until less has been wanted for a while,
//     and goes no lower than the most that was wanted in that time.
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

// Policy holds the limits of a planner. Zero fields take the defaults.
type Policy struct {
	StartupTime    time.Duration // from an order to a server that works
	DeadlineMargin time.Duration // before a deadline
	Cooldown       time.Duration // of a zone's spot servers after a reclaim
	SpotWait       time.Duration // for spot servers that were ordered
	ShrinkDelay    time.Duration // before a shrink
	Headroom       float64       // share of spot servers added to the need, for what reclaims will take
	MaxServers     int           // servers in all; zero for no limit
}

// Step is the demand of one training step.
type Step struct {
	Tokens   float64 // still to generate
	Samples  int     // not yet finished; zero if not known
	Deadline time.Time
}

// Demand is what has to be served. Rates are in tokens per second.
type Demand struct {
	SteadyRate      float64 // of other requests that may be repeated
	OnDemandServers int     // servers for work that may not be repeated
	ServerRate      float64 // of one server
	ServerSlots     int     // generations of one server at once; zero if not known
	Steps           []Step
}

// Zone is an availability zone as the planner sees it. Prices are per server
// and hour.
type Zone struct {
	Name            string
	SpotPrice       float64
	OnDemandPrice   float64
	SpotRunning     int       // working servers
	OnDemandRunning int       // working on-demand servers
	LastReclaim     time.Time // of the last notice or refused order
}

// Target is the number of servers wanted of a class in a zone.
type Target struct {
	Zone  string
	Class supply.Class
	Count int
}

// Planner decides the wanted capacity of one pool. The zero value is ready.
type Planner struct {
	Policy Policy

	short time.Time // since when spot has fallen short of owed
	owed  int       // servers needed at that time
	low   time.Time // since when less would do
	peak  counts    // most wanted since low
	last  counts
}

type counts struct {
	spot, demand int
}

// Plan returns the capacity wanted now, ordered by zone and class.
func (p *Planner) Plan(now time.Time, demand Demand, zones []Zone) []Target {
	if len(zones) == 0 {
		return nil
	}
	need := p.need(now, demand)
	wanted := p.hold(now, p.split(now, need, demand, zones))
	return p.spread(now, wanted, demand.OnDemandServers, zones)
}

// need returns the servers that the repeatable work takes (rule 2).
func (p *Planner) need(now time.Time, demand Demand) int {
	if demand.ServerRate <= 0 {
		return 0
	}
	rate := demand.SteadyRate
	for _, step := range demand.Steps {
		rate += min(step.Tokens/p.left(now, step).Seconds(), most(demand, step))
	}
	return p.limit(math.Ceil(rate/demand.ServerRate), demand)
}

// padded adds the headroom that spot servers get. On-demand servers are not
// reclaimed and need none.
func (p *Planner) padded(need int, demand Demand) int {
	return p.limit(math.Ceil(float64(need)*(1+p.Policy.Headroom)), demand)
}

func (p *Planner) limit(count float64, demand Demand) int {
	if p.Policy.MaxServers > 0 {
		count = min(count, float64(p.Policy.MaxServers-demand.OnDemandServers))
	}
	return max(0, int(count))
}

// most returns the rate at which a step can use servers at all. A few
// stragglers near the deadline end no sooner on more servers than they fill.
func most(demand Demand, step Step) float64 {
	if step.Samples <= 0 || demand.ServerSlots <= 0 {
		return math.Inf(1)
	}
	servers := (step.Samples + demand.ServerSlots - 1) / demand.ServerSlots
	return float64(servers) * demand.ServerRate
}

// left returns the time for a step's work, at least a second.
func (p *Planner) left(now time.Time, step Step) time.Duration {
	return max(step.Deadline.Sub(now)-cmp.Or(p.Policy.DeadlineMargin, DefaultDeadlineMargin), time.Second)
}

// split divides the need between the classes (rules 3 and 4).
func (p *Planner) split(now time.Time, need int, demand Demand, zones []Zone) counts {
	running, open := 0, 0
	for _, zone := range zones {
		running += zone.SpotRunning
		if p.offers(now, zone) {
			open++
		}
	}
	if running >= need {
		p.short = time.Time{}
		return counts{spot: p.padded(need, demand)}
	}
	if open == 0 {
		return counts{spot: min(need, running), demand: p.fallback(now, need, running, demand)}
	}
	if p.short.IsZero() || running >= p.owed {
		p.short, p.owed = now, need
	}
	if now.Sub(p.short) < cmp.Or(p.Policy.SpotWait, DefaultSpotWait) {
		return counts{spot: p.padded(need, demand)}
	}
	return counts{spot: p.padded(need, demand), demand: p.fallback(now, need, running, demand)}
}

// fallback returns the on-demand servers without which the steady work or a
// deadline is missed even if the order is placed now: as long as every step can
// still be done by servers ordered one starting time later, it waits.
func (p *Planner) fallback(now time.Time, need, running int, demand Demand) int {
	have := float64(running) * demand.ServerRate
	if have < demand.SteadyRate {
		return need - running
	}
	spare := have - demand.SteadyRate
	total := 0.0
	steps := slices.Clone(demand.Steps)
	slices.SortFunc(steps, func(a, b Step) int { return a.Deadline.Compare(b.Deadline) })
	for _, step := range steps {
		total += step.Tokens
		if spare*(p.left(now, step)-cmp.Or(p.Policy.StartupTime, DefaultStartupTime)).Seconds() < total {
			return need - running
		}
	}
	return 0
}

func (p *Planner) isOpen(now time.Time, zone Zone) bool {
	return zone.LastReclaim.IsZero() || now.Sub(zone.LastReclaim) >= cmp.Or(p.Policy.Cooldown, DefaultCooldown)
}

// hold delays a shrink, and then goes down to the most that was wanted
// meanwhile (rule 5). A short dip between two steps gives nothing back.
func (p *Planner) hold(now time.Time, wanted counts) counts {
	if wanted.spot+wanted.demand >= p.last.spot+p.last.demand {
		p.low = time.Time{}
		p.last = wanted
		return wanted
	}
	if p.low.IsZero() {
		p.low, p.peak = now, counts{}
	}
	p.peak = counts{max(p.peak.spot, wanted.spot), max(p.peak.demand, wanted.demand)}
	if now.Sub(p.low) < cmp.Or(p.Policy.ShrinkDelay, DefaultShrinkDelay) {
		return counts{max(wanted.spot, p.last.spot), max(wanted.demand, p.last.demand)}
	}
	p.low = time.Time{}
	p.last = p.peak
	return p.last
}

// spread divides the counts over the zones: spot over the open ones, on-demand
// over all. A zone in its cooldown keeps the spot servers that it still runs.
func (p *Planner) spread(now time.Time, wanted counts, fixed int, zones []Zone) []Target {
	zones = slices.Clone(zones)
	slices.SortFunc(zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	rest, open := wanted.spot, 0
	for _, zone := range zones {
		if p.offers(now, zone) {
			open++
			continue
		}
		rest -= zone.SpotRunning
	}
	rest = max(0, rest)
	var wants []Target
	at := 0
	for i, zone := range zones {
		wants = append(wants, Target{zone.Name, supply.OnDemand, part(wanted.demand+fixed, len(zones), i)})
		spot := min(zone.SpotRunning, wanted.spot)
		if p.offers(now, zone) {
			spot = part(rest, open, at)
			at++
		}
		wants = append(wants, Target{zone.Name, supply.Spot, spot})
	}
	return wants
}

// offers reports whether spot servers are worth ordering in the zone.
func (p *Planner) offers(now time.Time, zone Zone) bool {
	return p.isOpen(now, zone) && zone.SpotPrice < zone.OnDemandPrice
}

// part returns the i-th of n nearly equal parts of a count.
func part(count, n, i int) int {
	if i < count%n {
		return count/n + 1
	}
	return count / n
}
