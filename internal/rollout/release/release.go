// Package release brings the engines of a site to the newest weights of each
// model. One host at a time does so, under a lease.
//
// Where several models are trained on the same engines, each engine serves the
// newest weights of one model: its home model. Loading every version on every
// engine would take most of the engines' time.
package release

import (
	"cmp"
	"context"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/fleet/lease"
	"github.com/hyssopwall/hyssopwall/internal/platform/weightstore"
	"github.com/hyssopwall/hyssopwall/internal/rollout/batch"
	"github.com/hyssopwall/hyssopwall/internal/rollout/weights"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
	"github.com/hyssopwall/hyssopwall/internal/site/policy"
)

// Times and shares of the roll-out.
const (
	// turn is the pace of planning; a load takes about a second.
	turn = 100 * time.Millisecond
	// look is the pace of asking an engine that loads; each question is billed.
	look = 250 * time.Millisecond
	// loadingShare of a model's slots may load at the same time: loads slow each
	// other when more than about a fifth of the engines load.
	loadingShare = 0.23
	// loadingLeast is the number of engines of a model that may load at the same
	// time however few there are.
	loadingLeast = 2
	// deferral is how long engines whose weights are still of use keep them after
	// a release; the next one mostly comes before.
	deferral = 10 * time.Second
	// loadTimeout is several times a load; an order without effect is given again.
	loadTimeout = 4 * time.Second
	// loadBackoff is the first pause after a load that failed.
	loadBackoff = 300 * time.Millisecond
	// downloads is the rate of loads per second that the planner is told. The
	// platform names none; servingShare bounds them.
	downloads = 1000
)

// Status is what an engine says of itself when asked.
type Status struct {
	Versions       map[string]uint64
	AcceptedOrders int64 // accepted since its start
}

// Engines gives orders to engines and asks them.
type Engines interface {
	// Load orders an engine to load a version. Orders is the number of orders
	// that it has accepted so far, as believed; it refuses with another.
	Load(ctx context.Context, server pool.Server, load weights.Load, orders int64, grant lease.Grant) error
	Status(ctx context.Context, server pool.Server) (Status, error)
}

// Coordinator rolls releases out. Set the exported fields, then call Run. Learn may
// be called at any time.
type Coordinator struct {
	Pool    *pool.Pool
	Policy  func() *policy.Policy
	Engines Engines
	Holder  *lease.Holder
	Duty    string
	Demand  func(model string) batch.Demand
	Log     event.Log

	planners map[string]*weights.Planner
	homes    map[string]string // model by engine

	mu     sync.Mutex
	newest map[string]uint64 // by model
	since  map[string]time.Time
	status map[string]seen // by engine
}

// seen is what an engine said, under one boot.
type seen struct {
	Status
	boot int64
	at   time.Time
}

// ObserveRelease takes in a release of a model.
func (r *Coordinator) ObserveRelease(model string, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.newest == nil {
		r.newest, r.since = map[string]uint64{}, map[string]time.Time{}
	}
	if version > r.newest[model] {
		r.newest[model], r.since[model] = version, time.Now()
	}
}

// Run works until the context ends.
func (r *Coordinator) Run(ctx context.Context) {
	r.planners, r.homes, r.status = map[string]*weights.Planner{}, map[string]string{}, map[string]seen{}
	ticker := time.NewTicker(turn)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, held := r.Holder.Held(r.Duty); held {
			r.step(ctx)
		} else {
			clear(r.planners)
			clear(r.homes)
			r.forget()
		}
	}
}

func (r *Coordinator) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.status)
}

func (r *Coordinator) step(ctx context.Context) {
	r.mu.Lock()
	newest := make(map[string]uint64, len(r.newest))
	for model, version := range r.newest {
		newest[model] = version
	}
	r.mu.Unlock()
	p := r.Policy()
	if p == nil || len(newest) == 0 {
		return
	}
	for _, service := range p.Services {
		if len(service.Models) == 0 {
			continue
		}
		servers := r.engines(service.Name)
		r.homes = AssignHomes(r.homes, servers, r.shares(service.Models))
		for _, model := range service.Models {
			if newest[model] > 0 {
				r.roll(ctx, model, newest[model], servers)
			}
		}
	}
}

func (r *Coordinator) engines(service string) []pool.Server {
	var servers []pool.Server
	for _, s := range r.Pool.Servers() {
		if s.Service == service && !s.Draining {
			servers = append(servers, s)
		}
	}
	return servers
}

// roll plans and gives the orders of one model.
func (r *Coordinator) roll(ctx context.Context, model string, version uint64, servers []pool.Server) {
	planner := r.planners[model]
	if planner == nil {
		planner = &weights.Planner{Policy: weights.Policy{LoadTimeout: loadTimeout, Backoff: loadBackoff}}
		r.planners[model] = planner
	}
	byName := map[string]pool.Server{}
	var engines []weights.Engine
	for _, s := range servers {
		if r.homes[s.Name] != model {
			continue
		}
		byName[s.Name] = s
		engines = append(engines, weights.Engine{
			Name: s.Name, Zone: s.Zone, Version: max(s.Versions[model], r.said(s).Versions[model]),
			Boot: strconv.FormatInt(s.Boot, 10), Slots: s.Slots,
		})
	}
	planner.Policy.MinServingShare = 1 - max(loadingShare, loadingLeast/float64(max(loadingLeast, len(engines)))) - rounding
	r.postpone(model, version, planner, engines)
	loads := planner.Plan(time.Now(), weightstore.Release{Model: model, Version: version, Rate: downloads}, engines)
	var group sync.WaitGroup
	errs := make([]error, len(loads))
	for i, load := range loads {
		group.Go(func() { errs[i] = r.order(ctx, load, byName[load.Engine]) })
	}
	group.Wait()
	for i, load := range loads {
		if errs[i] != nil {
			planner.RecordFailure(load.Engine, time.Now())
		}
	}
	r.ask(ctx, model, version, planner, byName)
}

// rounding keeps a share that is a whole number of engines from being cut down.
const rounding = 0.001

// postpone makes the planner pass over engines that need not load yet: by
// default all engines load, but where trainers take samples of older weights,
// half of the engines take each release and the others the next one. Loads hold
// up what runs on an engine for about a second.
func (r *Coordinator) postpone(model string, version uint64, planner *weights.Planner, engines []weights.Engine) {
	demand := r.Demand(model)
	r.mu.Lock()
	late := time.Since(r.since[model]) > deferral
	r.mu.Unlock()
	if !demand.VersionLagKnown || demand.VersionLag == 0 || late {
		return
	}
	for _, name := range PostponedEngines(version, demand.VersionLag, planner.IsLoading, engines) {
		for i := range engines {
			if engines[i].Name == name {
				engines[i].Version = version
			}
		}
	}
}

// PostponedEngines returns the engines that need not load a version yet: those whose
// weights are of use for lag versions, beyond the half that loads each version.
func PostponedEngines(version, lag uint64, loading func(string) bool, engines []weights.Engine) []string {
	fresh := 0
	var older []weights.Engine
	for _, e := range engines {
		switch {
		case e.Version >= version || loading(e.Name) || e.Version+lag < version:
			fresh++
		default:
			older = append(older, e)
		}
	}
	slices.SortFunc(older, func(a, b weights.Engine) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Name, b.Name))
	})
	half := (len(engines) + 1) / 2
	var names []string
	for _, e := range older[min(len(older), max(0, half-fresh)):] {
		names = append(names, e.Name)
	}
	return names
}

func (r *Coordinator) said(s pool.Server) seen {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.status[s.Name]; known.boot == s.Boot {
		return known
	}
	return seen{}
}

// order gives one order. It names the orders that the engine has accepted so
// far, so that an order that arrives late, after a newer one, has no effect.
func (r *Coordinator) order(ctx context.Context, load weights.Load, server pool.Server) error {
	if r.said(server).at.IsZero() {
		r.learn(ctx, server)
	}
	orders := r.said(server).AcceptedOrders
	err := r.Holder.Do(ctx, r.Duty, func(ctx context.Context, grant lease.Grant) error {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		return r.Engines.Load(ctx, server, load, orders, grant)
	})
	if err == nil {
		r.accepted(server)
		r.Log.Emit(event.WeightsOrdered, "server", server.Name, "model", load.Model, "version", load.Version, "orders", orders)
		return nil
	}
	r.Log.Emit(event.WeightsFailed, "server", server.Name, "model", load.Model, "version", load.Version, "orders", orders, "err", err.Error())
	r.learn(ctx, server)
	return err
}

// orderTimeout bounds an order, which an engine accepts at once or is down.
const orderTimeout = 500 * time.Millisecond

func (r *Coordinator) accepted(server pool.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.status[server.Name]
	known.AcceptedOrders++
	r.status[server.Name] = known
}

// ask looks at the engines that load, so that the next may start as soon as one
// is done; the platform's list is a second or more behind.
func (r *Coordinator) ask(ctx context.Context, model string, version uint64, planner *weights.Planner, servers map[string]pool.Server) {
	if planner.LoadingCount() == 0 {
		return
	}
	var group sync.WaitGroup
	for name, server := range servers {
		if planner.IsLoading(name) && time.Since(r.said(server).at) >= look {
			group.Go(func() { r.learn(ctx, server) })
		}
	}
	group.Wait()
	for name, server := range servers {
		if !planner.IsLoading(name) {
			continue
		}
		if known := r.said(server); known.Versions[model] >= version {
			r.Pool.SetVersions(server, known.Versions)
			r.Log.Emit(event.WeightsSwapped, "server", name, "model", model, "version", known.Versions[model])
		}
	}
}

// lookTimeout bounds a question to an engine, which answers at once or is down.
const lookTimeout = 300 * time.Millisecond

func (r *Coordinator) learn(ctx context.Context, server pool.Server) {
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	status, err := r.Engines.Status(ctx, server)
	known := r.said(server)
	if err == nil {
		known.Status = status
	} else {
		r.Log.Emit(event.WeightsFailed, "server", server.Name, "err", err.Error())
	}
	known.boot, known.at = server.Boot, time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status[server.Name] = known
}

// Share is the weight of a model among those that share engines.
type Share struct {
	Model  string
	Weight float64
}

// shares weighs models by the square root of the work of their steps: a step
// takes as long as its longest generations, so that more engines help less than
// in proportion.
func (r *Coordinator) shares(models []string) []Share {
	shares := make([]Share, len(models))
	for i, model := range models {
		shares[i] = Share{Model: model, Weight: math.Sqrt(float64(max(1, r.Demand(model).Tokens)))}
	}
	return shares
}

// AssignHomes gives each engine its home model, so that the numbers of engines follow
// the shares. An engine keeps the home that it has, or that its weights show,
// unless its model has more than its number; a change costs a load.
func AssignHomes(old map[string]string, servers []pool.Server, shares []Share) map[string]string {
	homes := make(map[string]string, len(servers))
	wanted := numbers(len(servers), shares)
	count := map[string]int{}
	var free []pool.Server
	for _, s := range servers {
		home := old[s.Name]
		if _, known := wanted[home]; !known {
			home = shown(s, shares)
		}
		if home == "" || count[home] >= wanted[home] {
			free = append(free, s)
			continue
		}
		homes[s.Name] = home
		count[home]++
	}
	for _, s := range free {
		most := slices.MaxFunc(shares, func(a, b Share) int {
			return cmp.Compare(wanted[a.Model]-count[a.Model], wanted[b.Model]-count[b.Model])
		})
		homes[s.Name] = most.Model
		count[most.Model]++
	}
	return homes
}

// leastEngines is the number of engines that a model gets at least, so that one
// may fail or load.
const leastEngines = 2

// numbers splits n engines by the shares, largest remainders first, after each
// model got leastEngines or an equal part of fewer.
func numbers(n int, shares []Share) map[string]int {
	wanted := make(map[string]int, len(shares))
	total := 0.0
	for _, s := range shares {
		wanted[s.Model] = min(leastEngines, n/len(shares))
		total += s.Weight
	}
	left := n
	for _, count := range wanted {
		left -= count
	}
	for ; left > 0; left-- {
		most := slices.MaxFunc(shares, func(a, b Share) int {
			return cmp.Compare(a.Weight/total*float64(n)-float64(wanted[a.Model]), b.Weight/total*float64(n)-float64(wanted[b.Model]))
		})
		wanted[most.Model]++
	}
	return wanted
}

// shown returns the model of which an engine holds the most versions beyond the
// first, empty when it holds none.
func shown(s pool.Server, shares []Share) string {
	best, most := "", uint64(1)
	for _, share := range shares {
		if v := s.Versions[share.Model]; v > most {
			best, most = share.Model, v
		}
	}
	return best
}
