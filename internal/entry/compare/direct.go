package compare

// direct is the baseline without homes: each host sends to an engine of its
// zone at once, by turns or by the fewer of its own requests on two engines
// drawn at random. Engines queue in order of arrival. A failed send is
// repeated up to three sends in all.
type direct struct {
	world  *world
	policy Policy
	zones  [][]*fake
	turn   []int           // by host
	open   []map[*fake]int // by host
	legs   int
}

const directTries = 3

func newDirect(w *world, policy Policy) {
	d := &direct{
		world: w, policy: policy, zones: make([][]*fake, w.site.Zones),
		turn: make([]int, w.site.Hosts), open: make([]map[*fake]int, w.site.Hosts),
	}
	for _, f := range w.engines {
		d.zones[f.zone] = append(d.zones[f.zone], f)
	}
	for i := range d.open {
		d.open[i] = map[*fake]int{}
		d.turn[i] = w.rng.IntN(w.site.Engines)
	}
	w.arrive = func(r *request) { d.send(r, 1) }
}

func (d *direct) send(r *request, try int) {
	f := d.choose(r)
	d.open[r.host][f]++
	d.legs++
	l := &leg{id: d.legs, request: r}
	l.done = func(_ *leg, e ending) {
		d.open[r.host][f]--
		switch {
		case e.whole:
			r.answered = d.world.now
		case try < directTries:
			d.send(r, try+1)
		}
	}
	f.submit(l)
}

func (d *direct) choose(r *request) *fake {
	engines := d.zones[r.zone]
	if d.policy.Direct == "round robin" {
		d.turn[r.host]++
		return engines[d.turn[r.host]%len(engines)]
	}
	a, b := engines[d.world.rng.IntN(len(engines))], engines[d.world.rng.IntN(len(engines))]
	if d.open[r.host][b] < d.open[r.host][a] {
		return b
	}
	return a
}
