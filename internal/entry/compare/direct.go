package compare

// direct is the baseline without queues at home hosts: each host immediately sends a
// request to an engine of its zone, chosen round robin or as the one of two random
// engines that has fewer of the host's own requests in flight. Engines queue in order
// of arrival. A failed send is repeated, up to three sends in total.
type direct struct {
	sim           *simulation
	policy        Policy
	zones         [][]*fakeEngine
	lastEngine    []int                 // count for round robin, by host
	inFlight      []map[*fakeEngine]int // by host
	lastAttemptID int
}

// directMaxAttempts limits the sends of one request.
const directMaxAttempts = 3

// newDirect makes the direct baseline handle the arrivals of a simulation.
func newDirect(sim *simulation, policy Policy) {
	d := &direct{
		sim: sim, policy: policy, zones: make([][]*fakeEngine, sim.site.Zones),
		lastEngine: make([]int, sim.site.Hosts), inFlight: make([]map[*fakeEngine]int, sim.site.Hosts),
	}
	for _, f := range sim.engines {
		d.zones[f.zone] = append(d.zones[f.zone], f)
	}
	for i := range d.inFlight {
		d.inFlight[i] = map[*fakeEngine]int{}
		d.lastEngine[i] = sim.rng.IntN(sim.site.Engines)
	}
	sim.arrive = func(r *request) { d.send(r, 1) }
}

// send submits a request to an engine and repeats it on failure.
func (d *direct) send(r *request, attempt int) {
	f := d.choose(r)
	d.inFlight[r.host][f]++
	d.lastAttemptID++
	sa := &sendAttempt{id: d.lastAttemptID, request: r}
	sa.done = func(_ *sendAttempt, e attemptResult) {
		d.inFlight[r.host][f]--
		switch {
		case e.complete:
			r.answered = d.sim.now
		case attempt < directMaxAttempts:
			d.send(r, attempt+1)
		}
	}
	f.submit(sa)
}

// choose returns an engine of the request's zone.
func (d *direct) choose(r *request) *fakeEngine {
	engines := d.zones[r.zone]
	if d.policy.Direct == "round robin" {
		d.lastEngine[r.host]++
		return engines[d.lastEngine[r.host]%len(engines)]
	}
	a, b := engines[d.sim.rng.IntN(len(engines))], engines[d.sim.rng.IntN(len(engines))]
	if d.inFlight[r.host][b] < d.inFlight[r.host][a] {
		return b
	}
	return a
}
