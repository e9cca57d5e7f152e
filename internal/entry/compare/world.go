package compare

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// The shape of requests.
const (
	groupsPerWorkspace = 40
	leastTokens        = 40
	mostTokens         = 360
	meanTokens         = (leastTokens + mostTokens) / 2
	estimate           = mostTokens // what callers declare
	warmUp             = 20 * time.Second
	seedStream         = 0x6879
)

// request is one request of a caller.
type request struct {
	id        int
	workspace int
	group     int
	tokens    int // that it generates
	zone      int
	host      int
	at        time.Time
	deadline  time.Time
	answered  time.Time
	refused   time.Time
	measured  bool
	sends     int
}

// world is one run.
type world struct {
	clock
	site     Site
	load     Load
	rng      *rand.Rand
	engines  []*fake
	requests []*request
	arrive   func(*request)

	sends, repeats        int
	failures              int
	hitTokens, seenTokens int
	start                 time.Time
}

// Run measures a policy under a load at a site. Equal seeds give equal
// requests for every policy.
func Run(site Site, load Load, policy Policy, seed uint64) Result {
	w := newWorld(site, load, seed)
	if policy.Direct != "" {
		newDirect(w, policy)
	} else {
		newFleet(w, policy)
	}
	w.offer(rand.New(rand.NewPCG(seed, seedStream)))
	w.breakEngines()
	w.run()
	return w.result()
}

func newWorld(site Site, load Load, seed uint64) *world {
	start := time.Unix(1_000_000, 0)
	w := &world{site: site, load: load, rng: rand.New(rand.NewPCG(seed, 1)), start: start}
	w.now = start
	for i := range site.Engines {
		// Engines of three kinds differ in speed.
		speed := engineSpeed * []float64{0.8, 1, 1.2}[i%3]
		if i < load.Slow {
			speed /= 10
		}
		w.engines = append(w.engines, &fake{
			name: fmt.Sprintf("e%03d", i), zone: i % site.Zones, speed: speed, world: w, running: map[*leg]bool{},
		})
	}
	return w
}

// capacity is the work that the site does in a second, in generated tokens of
// requests whose prompts are cached.
func (w *world) capacity() float64 {
	sum := 0.0
	for _, f := range w.engines {
		work := meanTokens + promptFactor*ownPrompt
		load := 1 + float64(engineSlots-1)/engineSlots
		sum += engineSlots * f.speed / load * meanTokens / work
	}
	return sum
}

func (w *world) end() time.Time { return w.start.Add(time.Duration(w.site.Seconds) * time.Second) }

// offer schedules the arrivals: for each workspace a Poisson process, whose
// groups of prompts follow a Zipf distribution.
func (w *world) offer(rng *rand.Rand) {
	zipf := rand.NewZipf(rng, 1.2, 2, groupsPerWorkspace-1)
	for workspace, part := range w.load.Offered {
		rate := part * w.capacity() / meanTokens
		if rate == 0 {
			continue
		}
		at := w.start
		for {
			at = at.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
			if at.After(w.end()) {
				break
			}
			host := rng.IntN(w.site.Hosts)
			r := &request{
				id: len(w.requests), workspace: workspace, at: at, deadline: at.Add(w.load.Deadline),
				group:  workspace*groupsPerWorkspace + int(zipf.Uint64()),
				tokens: leastTokens + rng.IntN(mostTokens-leastTokens+1),
				host:   host, zone: host % w.site.Zones,
				measured: at.Sub(w.start) >= warmUp,
			}
			w.requests = append(w.requests, r)
			w.after(at.Sub(w.now), func() { w.arrive(r) })
		}
	}
}

// breakEngines schedules the crashes of the load.
func (w *world) breakEngines() {
	if w.load.Crash == 0 {
		return
	}
	for _, f := range w.engines {
		w.crashLater(f)
	}
}

func (w *world) crashLater(f *fake) {
	delay := time.Duration(w.rng.ExpFloat64() * float64(w.load.Crash))
	if w.now.Add(delay).After(w.end()) {
		return
	}
	w.after(delay, func() {
		f.crash()
		w.crashLater(f)
	})
}

// count notes whether a shared prompt was cached.
func (w *world) count(r *request, hit bool) {
	if !r.measured {
		return
	}
	w.seenTokens += sharedPrompt
	if hit {
		w.hitTokens += sharedPrompt
	}
}
