// Package compare measures the decisions of the request path against simple
// baselines on the same seeded load, in virtual time. The decisions are the
// real ones of queue, route and attempt; only engines, clock and callers are
// small fakes.
//
// It measures decisions, not programs: there is no network and no process, a
// message takes a fixed time, and hosts do not fail.
package compare

import "time"

// Site is the size and shape of an installation.
type Site struct {
	Name    string
	Zones   int
	Hosts   int // of all zones
	Engines int // of all zones
	Hop     time.Duration
	Seconds int // of a run; more where there are fewer requests
}

// Sites returns the installations that are measured.
func Sites() []Site {
	return []Site{
		{Name: "forge", Zones: 4, Hosts: 9, Engines: 9, Hop: 500 * time.Microsecond, Seconds: 900},
		{Name: "consortium", Zones: 3, Hosts: 9, Engines: 11, Hop: time.Millisecond, Seconds: 900},
		{Name: "large-zone", Zones: 1, Hosts: 28, Engines: 271, Hop: time.Millisecond, Seconds: 80},
	}
}

// Load is the traffic of a scenario. Offered is the work that a workspace
// offers, in parts of the site's capacity.
type Load struct {
	Name     string
	Offered  []float64
	Deadline time.Duration
	Crash    time.Duration // mean time between crashes of one engine, zero for none
	Slow     int           // engines that run at a tenth of their speed
	Flaky    float64       // part of sends that fail after a byte left
}

const workspaces = 8

// flooder is the workspace that floods, if one does; floodFactor is what it
// offers, in parts of the capacity.
const (
	flooder     = 0
	floodFactor = 4
)

// Flood is a workspace that offers four times the capacity, beside seven that
// offer part of the capacity each.
func Flood(part float64) Load {
	load := Even("flood", 0)
	for i := range load.Offered {
		load.Offered[i] = part
	}
	load.Offered[flooder] = floodFactor
	return load
}

// Even is a load of equal workspaces that together offer factor times the
// capacity.
func Even(name string, factor float64) Load {
	load := Load{Name: name, Offered: make([]float64, workspaces), Deadline: 30 * time.Second}
	for i := range load.Offered {
		load.Offered[i] = factor / workspaces
	}
	return load
}

// Faults is a load below capacity while engines crash, some are slow, and
// some sends fail.
func Faults() Load {
	load := Even("faults", 0.6)
	load.Crash = 5 * time.Minute
	load.Flaky = 0.02
	return load
}

// Outage is a load below capacity while most sends fail.
func Outage() Load {
	load := Even("outage", 0.6)
	load.Flaky = 0.8
	return load
}

// Policy selects what decides. The baselines RoundRobin and LeastRequest send
// from each host straight to an engine of the zone, which queues in order of
// arrival.
type Policy struct {
	Name   string
	Direct string // "round robin" or "least request", empty for queues at homes
	Fair   bool   // queue by workspace, else in order of arrival
	Shed   bool   // give up what can't meet its deadline
	Prefix bool   // choose homes and engines by prefix
	Hedge  bool
	Budget bool // bound retries
}

// Ours returns the policy that the product uses.
func Ours() Policy {
	return Policy{Name: "ours", Fair: true, Shed: true, Prefix: true, Hedge: true, Budget: true}
}

// Baselines returns what ours is compared with.
func Baselines() []Policy {
	unfair, still, blind := Ours(), Ours(), Ours()
	unfair.Name, unfair.Fair, unfair.Shed = "no-fair-queue", false, false
	still.Name, still.Hedge = "no-hedging", false
	blind.Name, blind.Prefix = "no-prefixes", false
	return []Policy{
		{Name: "round-robin", Direct: "round robin"},
		{Name: "least-request", Direct: "least request"},
		unfair, still, blind,
	}
}

// Result is what a run measured. Share and Goodput are over the answers that
// came after the warm-up, the rest over the requests that arrived after it.
type Result struct {
	Share    float64       // least part of its fair share that a workspace got
	P99      time.Duration // of answers to the worst-served other workspace
	Goodput  float64       // tokens of answers in time, in parts of capacity
	InTime   float64       // part of the requests answered in time
	Hits     float64       // part of shared prompt tokens found in a cache
	Retries  float64       // extra sends per failed send
	Sends    float64       // sends per request
	Requests int
	Refused  int // told that they did not run
}
