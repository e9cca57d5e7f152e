package compare

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Parameters of the generated requests.
const (
	groupsPerWorkspace = 40 // groups of requests that share a prompt prefix
	minTokens          = 40 // to generate for a request
	maxTokens          = 360
	meanTokens         = (minTokens + maxTokens) / 2
	declaredTokens     = maxTokens        // tokens that a caller declares in advance
	warmUp             = 20 * time.Second // from the start of a run
	arrivalStream      = 0x6879           // random stream of the arrivals, which no policy draws from
)

// request is one request of a caller and its outcome.
type request struct {
	id        int
	workspace int
	group     int       // requests of a group share a prompt prefix
	tokens    int       // to generate
	zone      int       // of the entry host
	host      int       // entry host
	at        time.Time // arrival
	deadline  time.Time
	answered  time.Time // zero if not answered
	refused   time.Time // zero if not refused
	measured  bool      // arrived after the warm-up
	sends     int
}

// simulation is the state of one run. The sums of tokens cover the shared prompts of
// measured requests.
type simulation struct {
	clock
	site     Site
	load     Load
	rng      *rand.Rand
	engines  []*fakeEngine
	requests []*request
	arrive   func(*request)

	sends, retries                         int // retries are all sends of a request but its first, hedges included
	failures                               int // sends that did not complete
	cachedPromptTokens, sharedPromptTokens int
	start                                  time.Time
}

// Run simulates a policy under a load at a site. Equal seeds give equal requests for
// every policy.
func Run(site Site, load Load, policy Policy, seed uint64) Result {
	sim := newSimulation(site, load, seed)
	if policy.Direct != "" {
		newDirect(sim, policy)
	} else {
		newFleet(sim, policy)
	}
	sim.scheduleArrivals(rand.New(rand.NewPCG(seed, arrivalStream)))
	sim.scheduleCrashes()
	sim.run()
	return sim.result()
}

// newSimulation creates the engines of a site.
func newSimulation(site Site, load Load, seed uint64) *simulation {
	start := time.Unix(1_000_000, 0)
	sim := &simulation{site: site, load: load, rng: rand.New(rand.NewPCG(seed, 1)), start: start}
	sim.now = start
	for i := range site.Engines {
		// There are three kinds of engines, of different speeds.
		speed := engineSpeed * []float64{0.8, 1, 1.2}[i%3]
		if i < load.SlowEngines {
			speed /= 10
		}
		sim.engines = append(sim.engines, &fakeEngine{
			name: fmt.Sprintf("e%03d", i), zone: i % site.Zones, speed: speed, sim: sim, running: map[*sendAttempt]bool{},
		})
	}
	return sim
}

// capacity returns the work that the site does per second, in generated tokens of
// requests whose prompts are cached.
func (sim *simulation) capacity() float64 {
	sum := 0.0
	for _, f := range sim.engines {
		work := meanTokens + promptFactor*ownPrompt
		load := 1 + float64(engineSlots-1)/engineSlots
		sum += engineSlots * f.speed / load * meanTokens / work
	}
	return sum
}

// end returns the time at which the load ends.
func (sim *simulation) end() time.Time {
	return sim.start.Add(time.Duration(sim.site.Seconds) * time.Second)
}

// scheduleArrivals schedules the requests. Those of a workspace arrive as a Poisson
// process, and their prompt groups follow a Zipf distribution.
func (sim *simulation) scheduleArrivals(rng *rand.Rand) {
	zipf := rand.NewZipf(rng, 1.2, 2, groupsPerWorkspace-1)
	for workspace, fraction := range sim.load.Offered {
		rate := fraction * sim.capacity() / meanTokens
		if rate == 0 {
			continue
		}
		at := sim.start
		for {
			at = at.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
			if at.After(sim.end()) {
				break
			}
			host := rng.IntN(sim.site.Hosts)
			r := &request{
				id: len(sim.requests), workspace: workspace, at: at, deadline: at.Add(sim.load.Deadline),
				group:  workspace*groupsPerWorkspace + int(zipf.Uint64()),
				tokens: minTokens + rng.IntN(maxTokens-minTokens+1),
				host:   host, zone: host % sim.site.Zones,
				measured: at.Sub(sim.start) >= warmUp,
			}
			sim.requests = append(sim.requests, r)
			sim.after(at.Sub(sim.now), func() { sim.arrive(r) })
		}
	}
}

// scheduleCrashes schedules the engine crashes of the load.
func (sim *simulation) scheduleCrashes() {
	if sim.load.CrashInterval == 0 {
		return
	}
	for _, f := range sim.engines {
		sim.scheduleCrash(f)
	}
}

// scheduleCrash schedules the next crash of an engine, and then the one after it.
func (sim *simulation) scheduleCrash(f *fakeEngine) {
	delay := time.Duration(sim.rng.ExpFloat64() * float64(sim.load.CrashInterval))
	if sim.now.Add(delay).After(sim.end()) {
		return
	}
	sim.after(delay, func() {
		f.crash()
		sim.scheduleCrash(f)
	})
}

// countPrompt counts the shared prompt tokens of a measured request, and those found
// in a cache.
func (sim *simulation) countPrompt(r *request, hit bool) {
	if !r.measured {
		return
	}
	sim.sharedPromptTokens += sharedPrompt
	if hit {
		sim.cachedPromptTokens += sharedPrompt
	}
}
