// Package weights rolls out new model weights to the engines that serve a model. The
// rules, to which the code refers by number:
//
//  1. The target of every engine is the newest release. An engine counts as updated when
//     it reports the version, not when it has accepted the order to load it.
//  2. Loads start no faster than the download rate of the weight store. A new planner
//     starts without download credit, since its predecessor may just have used it.
//  3. A minimum share of the slots, of the fleet and of each availability zone, keeps
//     serving while others load. At least one engine may always load.
//  4. The zones with the most engines left to load come first. Within a zone, engines
//     with the oldest weights come first, then those with the fewest running
//     generations, so that few samples mix versions.
//  5. A release that arrives during a rollout does not interrupt loads in progress. It
//     is the target of every load that starts later.
//  6. A load that fails or exceeds the load timeout is retried after a backoff that
//     doubles. Until then the engine serves under the version that it reports.
//  7. An engine that restarts during a load has lost it and is ordered to load again.
package weights

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/platform/weightstore"
)

// Defaults of a Policy, and the longest backoff after any failure.
const (
	DefaultMinServingShare = 0.6
	DefaultLoadTimeout     = 60 * time.Second
	DefaultBackoff         = time.Second
	MaxBackoff             = time.Minute
)

// burstTime limits the unused download credit to what accrues in this time, but to no less
// than one download.
const burstTime = 200 * time.Millisecond

// Policy holds the limits of a planner. Zero fields take the defaults.
type Policy struct {
	MinServingShare float64       // share of the slots that keeps serving; negative for none
	LoadTimeout     time.Duration // after which a load counts as failed
	Backoff         time.Duration // after the first failure; doubles up to MaxBackoff
}

// Engine is the state that an engine reports.
type Engine struct {
	Name    string
	Zone    string
	Version uint64 // weights version in use
	Boot    string // changes each time the engine starts
	Slots   int    // generations that can run at the same time
	Running int    // running generations
}

// Load is an order to an engine to load a version. The ID is the same each time the same
// start of the engine is ordered to load the same version, also after a failure.
type Load struct {
	ID      string
	Engine  string
	Model   string
	Version uint64
}

// Planner decides which engines load new weights, and when. The zero value is ready to
// use. It is not safe for concurrent use.
type Planner struct {
	Policy Policy

	loads    map[string]load
	failures map[string]failure
	credit   float64   // downloads that may start now
	refilled time.Time // time of the latest change of credit
	stats    Stats
}

// load is a load in progress on an engine.
type load struct {
	version uint64
	boot    string
	started time.Time
}

// failure is the backoff of an engine after failed loads.
type failure struct {
	count int // consecutive failures
	until time.Time
}

// Stats counts the loads of a planner.
type Stats struct {
	Started   int // including those canceled by CancelLoad
	Completed int // the engine reported the version or a newer one
	Failed    int
	Restarted int // lost because the engine restarted
}

// Plan updates the loads in progress from the reports of the model's engines and returns
// the loads to order now.
func (p *Planner) Plan(now time.Time, release weightstore.Release, engines []Engine) []Load {
	p.refill(now, release.MaxDownloadRate)
	p.updateLoads(now, engines)
	capacity := p.loadCapacity(engines)
	var loads []Load
	for _, e := range p.candidates(now, release.Version, engines) {
		if p.credit < 1 {
			break
		}
		if !capacity.reserve(e) {
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

// refill adds the download credit that has accrued since the last call (rule 2). The rate is
// in downloads per second; zero counts as one.
func (p *Planner) refill(now time.Time, rate uint64) {
	if p.loads == nil {
		p.loads, p.failures = map[string]load{}, map[string]failure{}
		p.refilled = now
	}
	elapsed := now.Sub(p.refilled).Seconds()
	p.refilled = now
	limit := math.Max(1, float64(rate)*burstTime.Seconds())
	p.credit = math.Min(limit, p.credit+elapsed*float64(max(rate, 1)))
}

// updateLoads removes the loads that the reports show as completed or lost and those
// that have timed out. It also removes the state of engines that are gone.
func (p *Planner) updateLoads(now time.Time, engines []Engine) {
	known := map[string]bool{}
	for _, e := range engines {
		known[e.Name] = true
		l, ok := p.loads[e.Name]
		switch {
		case !ok:
		case e.Version >= l.version:
			delete(p.loads, e.Name)
			delete(p.failures, e.Name)
			p.stats.Completed++
		case e.Boot != l.boot:
			delete(p.loads, e.Name)
			p.stats.Restarted++
		case now.Sub(l.started) >= p.loadTimeout():
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

// RecordFailure ends a load that the engine refused or that timed out, and starts the
// engine's backoff (rule 6). It does nothing if the engine has no load in progress.
func (p *Planner) RecordFailure(name string, now time.Time) {
	if _, ok := p.loads[name]; !ok {
		return
	}
	delete(p.loads, name)
	previous := p.failures[name]
	wait := min(p.backoff()<<min(previous.count, 16), MaxBackoff) // more than 16 doublings could overflow
	p.failures[name] = failure{previous.count + 1, now.Add(wait)}
	p.stats.Failed++
}

// CancelLoad removes a load whose order was never sent. Its download credit stays spent.
func (p *Planner) CancelLoad(name string) { delete(p.loads, name) }

// candidates returns the engines to load, in order (rules 4 to 6). Zones with the most
// engines still to load come first: a zone left over at the end would be held up by its
// minimum serving share.
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

// ranked is a candidate and the number of candidates of its zone that do not come before
// it, itself included.
type ranked struct {
	Engine
	left int
}

func (p *Planner) loadTimeout() time.Duration {
	return cmp.Or(p.Policy.LoadTimeout, DefaultLoadTimeout)
}
func (p *Planner) backoff() time.Duration { return cmp.Or(p.Policy.Backoff, DefaultBackoff) }

// Stats returns the counts since the planner was created.
func (p *Planner) Stats() Stats { return p.stats }

// LoadingCount returns the number of loads in progress.
func (p *Planner) LoadingCount() int { return len(p.loads) }

// IsLoading reports whether an engine has a load in progress.
func (p *Planner) IsLoading(name string) bool {
	_, loading := p.loads[name]
	return loading
}
