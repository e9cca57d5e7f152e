// Package compare simulates the request path in virtual time and compares its
// scheduling and routing decisions with simple baselines under the same seeded
// load. The decisions are made by the production code of packages queue, route
// and attempt; engines, clock and callers are simulated.
//
// The simulation covers decisions only: there is no network and no process, a
// message takes a fixed time, and hosts do not fail.
package compare

import "time"

// Site describes the size and topology of a simulated installation.
type Site struct {
	Name           string
	Zones          int
	Hosts          int           // of all zones
	Engines        int           // of all zones
	CrossZoneDelay time.Duration // of a message between two zones
	Seconds        int           // simulated length of a run; longer at sites with fewer requests
}

// Sites returns the installations that are simulated.
func Sites() []Site {
	return []Site{
		{Name: "forge", Zones: 4, Hosts: 9, Engines: 9, CrossZoneDelay: 500 * time.Microsecond, Seconds: 900},
		{Name: "consortium", Zones: 3, Hosts: 9, Engines: 11, CrossZoneDelay: time.Millisecond, Seconds: 900},
		{Name: "large-zone", Zones: 1, Hosts: 28, Engines: 271, CrossZoneDelay: time.Millisecond, Seconds: 80},
	}
}

// Load describes the traffic of a run and the faults injected into it. Offered
// is the work that each workspace submits, as a fraction of the site's capacity.
type Load struct {
	Name            string
	Offered         []float64
	Deadline        time.Duration // of each request, from its arrival
	CrashInterval   time.Duration // mean time between crashes of one engine; zero disables crashes
	SlowEngines     int           // number of engines that run at a tenth of their speed
	SendFailureRate float64       // fraction of sends that fail after a byte was sent
}

// workspaces is the number of workspaces that submit requests.
const workspaces = 8

// flooder is the index of the workspace that overloads the site under Flood.
// floodFactor is the work that it offers, as a multiple of the capacity.
const (
	flooder     = 0
	floodFactor = 4
)

// Flood returns a load in which one workspace offers four times the capacity and
// the seven others offer the given fraction of the capacity each.
func Flood(fraction float64) Load {
	load := Even("flood", 0)
	for i := range load.Offered {
		load.Offered[i] = fraction
	}
	load.Offered[flooder] = floodFactor
	return load
}

// Even returns a load of equal workspaces that together offer factor times the
// capacity.
func Even(name string, factor float64) Load {
	load := Load{Name: name, Offered: make([]float64, workspaces), Deadline: 30 * time.Second}
	for i := range load.Offered {
		load.Offered[i] = factor / workspaces
	}
	return load
}

// Faults returns a load below capacity while engines crash and some sends fail.
func Faults() Load {
	load := Even("faults", 0.6)
	load.CrashInterval = 5 * time.Minute
	load.SendFailureRate = 0.02
	return load
}

// Outage returns a load below capacity while most sends fail.
func Outage() Load {
	load := Even("outage", 0.6)
	load.SendFailureRate = 0.8
	return load
}

// Policy selects the decision code that a run uses. A policy with Direct set
// sends from each host straight to an engine of the zone, which queues requests
// in order of arrival; the other fields then have no effect.
type Policy struct {
	Name   string
	Direct string // "round robin" or "least request"; empty to queue requests at home hosts
	Fair   bool   // queue fairly by workspace instead of in order of arrival
	Shed   bool   // drop requests that can't meet their deadline
	Prefix bool   // prefer homes and engines that have cached the prompt prefix
	Hedge  bool   // send a slow request to a second engine
	Budget bool   // limit retries by the retry budget
}

// ProductPolicy returns the policy that the product uses.
func ProductPolicy() Policy {
	return Policy{Name: "ours", Fair: true, Shed: true, Prefix: true, Hedge: true, Budget: true}
}

// Baselines returns the policies that ProductPolicy is compared with.
func Baselines() []Policy {
	noFairQueue, noHedging, noPrefixes := ProductPolicy(), ProductPolicy(), ProductPolicy()
	noFairQueue.Name, noFairQueue.Fair, noFairQueue.Shed = "no-fair-queue", false, false
	noHedging.Name, noHedging.Hedge = "no-hedging", false
	noPrefixes.Name, noPrefixes.Prefix = "no-prefixes", false
	return []Policy{
		{Name: "round-robin", Direct: "round robin"},
		{Name: "least-request", Direct: "least request"},
		noFairQueue, noHedging, noPrefixes,
	}
}

// Result holds the measurements of a run. The fair share of a workspace is its max-min
// fair share, with equal weights, of all tokens answered within the deadline; no share
// exceeds the tokens that the workspace requested. LeastFairShare and Goodput cover the
// answers that came after the warm-up and before the end of the load,
// SendsPerRequest and RetriesPerFailure cover the complete run, and the other
// fields cover the requests that arrived after the warm-up.
type Result struct {
	LeastFairShare    float64       // smallest fraction of its fair share that any workspace got
	P99               time.Duration // 99th percentile latency of the slowest workspace that does not flood
	Goodput           float64       // tokens answered within the deadline, as a fraction of the capacity
	InTime            float64       // fraction of the requests answered within the deadline
	CacheHitRatio     float64       // fraction of shared prompt tokens found in a cache
	RetriesPerFailure float64       // additional sends per failed send
	SendsPerRequest   float64       // sends per request, the first included
	Requests          int
	Refused           int // requests that ended without having run
}
