// Package weights rolls new model weights out to the engines that serve a
// model. The rules, to which the code refers by number:
//
//  1. The target of every engine is the newest release. An engine counts as
//     swapped when it reports the version, never because it was told to load.
//  2. Loads start no faster than the weight store's rate of downloads. A new
//     planner starts with no downloads in hand, since its predecessor may just
//     have used them.
//  3. A share of the serving slots, of the fleet and of each availability zone,
//     is never loading at the same time. At least one engine may always load.
//  4. The zones with most engines left go first. In a zone the engines with the
//     oldest weights do, then those with the least running work, so that few
//     samples mix versions.
//  5. A release that arrives during a roll does not interrupt loads in
//     progress; it is the target of every load that starts later.
//  6. A load that fails or passes its time limit is tried again after a wait
//     that doubles. The engine serves on under the version it reports.
//  7. An engine that restarts during a load has lost it, and is told again.
package weights

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/platform/weightstore"
)

// Defaults of a Policy.
const (
	DefaultMinServingShare = 0.6
	DefaultLoadTimeout     = 60 * time.Second
	DefaultBackoff         = time.Second
	MaxBackoff             = time.Minute
)

// burst is the time for which unused downloads are kept.
const burst = 200 * time.Millisecond

// Policy holds the limits of a planner. Zero fields take the defaults.
type Policy struct {
	MinServingShare float64 // share of the slots that keeps serving; negative for none
	LoadTimeout     time.Duration
	Backoff         time.Duration
}

// Engine is what an engine reports of itself.
type Engine struct {
	Name    string
	Zone    string
	Version uint64
	Boot    string // changes at each start
	Slots   int
	Running int
}

// Load orders an engine to load a version. ID is the same for a repeat.
type Load struct {
	ID      string
	Engine  string
	Model   string
	Version uint64
}

// Planner decides which engines to load now. The zero value is ready. One
// goroutine owns it.
type Planner struct {
	Policy Policy

	loads    map[string]load
	failures map[string]failure
	credit   float64 // downloads that may start
	refilled time.Time
	stats    Stats
}

type load struct {
	version uint64
	boot    string
	started time.Time
}

type failure struct {
	count int
	until time.Time
}

// Stats counts what a planner did.
type Stats struct {
	Started   int
	Swapped   int
	Failed    int
	Restarted int
}

// Plan takes the reports of the model's engines and returns the loads to
// order now.
func (p *Planner) Plan(now time.Time, release weightstore.Release, engines []Engine) []Load {
	p.refill(now, release.Rate)
	p.settle(now, engines)
	room := p.roomOf(engines)
	var loads []Load
	for _, e := range p.candidates(now, release.Version, engines) {
		if p.credit < 1 {
			break
		}
		if !room.take(e) {
			continue
		}
		p.credit--
		p.loads[e.Name] = load{release.Version, e.Boot, now}
		p.stats.Started++
		loads = append(loads, Load{
			ID:     fmt.Sprintf("%s/%d/%s/%s", release.Model, release.Version, e.Name, e.Boot),
			Engine: e.Name, Model: release.Model, Version: release.Version,
		})
	}
	return loads
}

// refill adds the downloads that the store allows since the last call (rule 2).
func (p *Planner) refill(now time.Time, rate uint64) {
	if p.loads == nil {
		p.loads, p.failures = map[string]load{}, map[string]failure{}
		p.refilled = now
	}
	passed := now.Sub(p.refilled).Seconds()
	p.refilled = now
	limit := math.Max(1, float64(rate)*burst.Seconds())
	p.credit = math.Min(limit, p.credit+passed*float64(max(rate, 1)))
}

// settle ends the loads that the reports show as done, lost or late.
func (p *Planner) settle(now time.Time, engines []Engine) {
	known := map[string]bool{}
	for _, e := range engines {
		known[e.Name] = true
		l, ok := p.loads[e.Name]
		switch {
		case !ok:
		case e.Version >= l.version:
			delete(p.loads, e.Name)
			delete(p.failures, e.Name)
			p.stats.Swapped++
		case e.Boot != l.boot:
			delete(p.loads, e.Name)
			p.stats.Restarted++
		case now.Sub(l.started) >= p.timeout():
			p.RecordFailure(e.Name, now)
		}
	}
	for name := range p.loads {
		if !known[name] {
			delete(p.loads, name)
		}
	}
	for name := range p.failures {
		if !known[name] {
			delete(p.failures, name)
		}
	}
}

// RecordFailure takes a load that the engine refused or that could not be sent
// (rule 6).
func (p *Planner) RecordFailure(name string, now time.Time) {
	if _, ok := p.loads[name]; !ok {
		return
	}
	delete(p.loads, name)
	last := p.failures[name]
	wait := min(p.backoff()<<min(last.count, 16), MaxBackoff)
	p.failures[name] = failure{last.count + 1, now.Add(wait)}
	p.stats.Failed++
}

// CancelLoad takes a load that was never sent.
func (p *Planner) CancelLoad(name string) { delete(p.loads, name) }

// candidates returns the engines to load, in order (rules 4 to 6). The zones
// with most engines still to load go before the others, so that no zone is left
// over at the end with its floor to hold it back.
func (p *Planner) candidates(now time.Time, version uint64, engines []Engine) []Engine {
	zones := map[string][]Engine{}
	for _, e := range engines {
		_, loading := p.loads[e.Name]
		if e.Version < version && !loading && !now.Before(p.failures[e.Name].until) {
			zones[e.Zone] = append(zones[e.Zone], e)
		}
	}
	var all []ranked
	for _, zone := range zones {
		slices.SortFunc(zone, func(a, b Engine) int {
			return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Running, b.Running), cmp.Compare(a.Name, b.Name))
		})
		for i, e := range zone {
			all = append(all, ranked{e, len(zone) - i})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.left, a.left), cmp.Compare(a.Name, b.Name))
	})
	ordered := make([]Engine, len(all))
	for i, r := range all {
		ordered[i] = r.Engine
	}
	return ordered
}

// ranked is an engine and how many of its zone are left from it on.
type ranked struct {
	Engine
	left int
}

func (p *Planner) timeout() time.Duration { return cmp.Or(p.Policy.LoadTimeout, DefaultLoadTimeout) }
func (p *Planner) backoff() time.Duration { return cmp.Or(p.Policy.Backoff, DefaultBackoff) }

// Stats returns the counts so far.
func (p *Planner) Stats() Stats { return p.stats }

// LoadingCount returns the number of loads in progress.
func (p *Planner) LoadingCount() int { return len(p.loads) }

// IsLoading says whether an engine has a load in progress.
func (p *Planner) IsLoading(name string) bool {
	_, loading := p.loads[name]
	return loading
}
