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
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/fleet/lease"
	"github.com/hyssopwall/hyssopwall/internal/platform/weightstore"
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
	// servingShare of the slots is never loading at the same time: loads slow
	// each other when more than about a fifth of the engines load.
	servingShare = 0.77
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
	Versions map[string]uint64
	Busy     bool  // an order is being carried out
	Orders   int64 // accepted since its start
}

// Engines gives orders to engines and asks them.
type Engines interface {
	// Load orders an engine to load a version. Orders is the number of orders
	// that it has accepted so far, as believed; it refuses with another.
	Load(ctx context.Context, server pool.Server, load weights.Load, orders int64, grant lease.Grant) error
	Status(ctx context.Context, server pool.Server) (Status, error)
}

// Roller rolls releases out. Set the exported fields, then call Run. Learn may
// be called at any time.
type Roller struct {
	Pool    *pool.Pool
	Policy  func() *policy.Policy
	Engines Engines
	Holder  *lease.Holder
	Duty    string
	Log     event.Log

	planners map[string]*weights.Planner
	homes    map[string]string // model by engine

	mu     sync.Mutex
	newest map[string]uint64 // by model
	status map[string]seen   // by engine
}

// seen is what an engine said, under one boot.
type seen struct {
	Status
	boot int64
	at   time.Time
}

// Learn takes in a release of a model.
func (r *Roller) Learn(model string, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.newest == nil {
		r.newest = map[string]uint64{}
	}
	r.newest[model] = max(r.newest[model], version)
}

// Run works until the context ends.
func (r *Roller) Run(ctx context.Context) {
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

func (r *Roller) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.status)
}

func (r *Roller) step(ctx context.Context) {
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
		r.homes = Homes(r.homes, servers, service.Models)
		for _, model := range service.Models {
			if newest[model] > 0 {
				r.roll(ctx, model, newest[model], servers)
			}
		}
	}
}

func (r *Roller) engines(service string) []pool.Server {
	var servers []pool.Server
	for _, s := range r.Pool.Servers() {
		if s.Service == service && !s.Draining {
			servers = append(servers, s)
		}
	}
	return servers
}

// roll plans and gives the orders of one model.
func (r *Roller) roll(ctx context.Context, model string, version uint64, servers []pool.Server) {
	planner := r.planners[model]
	if planner == nil {
		planner = &weights.Planner{Policy: weights.Policy{Floor: servingShare, LoadTimeout: loadTimeout, Backoff: loadBackoff}}
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
	loads := planner.Plan(time.Now(), weightstore.Release{Model: model, Version: version, Rate: downloads}, engines)
	var group sync.WaitGroup
	errs := make([]error, len(loads))
	for i, load := range loads {
		group.Go(func() { errs[i] = r.order(ctx, load, byName[load.Engine]) })
	}
	group.Wait()
	for i, load := range loads {
		if errs[i] != nil {
			planner.Failed(load.Engine, time.Now())
		}
	}
	r.ask(ctx, model, version, planner, byName)
}

func (r *Roller) said(s pool.Server) seen {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.status[s.Name]; known.boot == s.Boot {
		return known
	}
	return seen{}
}

// order gives one order. It names the orders that the engine has accepted so
// far, so that an order that arrives late, after a newer one, has no effect.
func (r *Roller) order(ctx context.Context, load weights.Load, server pool.Server) error {
	if r.said(server).at.IsZero() {
		r.learn(ctx, server)
	}
	orders := r.said(server).Orders
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

func (r *Roller) accepted(server pool.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.status[server.Name]
	known.Orders++
	r.status[server.Name] = known
}

// ask looks at the engines that load, so that the next may start as soon as one
// is done; the platform's list is a second or more behind.
func (r *Roller) ask(ctx context.Context, model string, version uint64, planner *weights.Planner, servers map[string]pool.Server) {
	if planner.Loading() == 0 {
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
			server.Versions = known.Versions
			r.Pool.Put(server)
			r.Log.Emit(event.WeightsSwapped, "server", name, "model", model, "version", known.Versions[model])
		}
	}
}

// lookTimeout bounds a question to an engine, which answers at once or is down.
const lookTimeout = 300 * time.Millisecond

func (r *Roller) learn(ctx context.Context, server pool.Server) {
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

// Homes gives each engine its home model, so that the models' shares differ by
// one at most. An engine keeps the home that it has, or that its weights show,
// as long as the shares allow it.
func Homes(old map[string]string, servers []pool.Server, models []string) map[string]string {
	homes := make(map[string]string, len(servers))
	count := map[string]int{}
	most := (len(servers) + len(models) - 1) / max(1, len(models))
	var free []pool.Server
	for _, s := range servers {
		home := old[s.Name]
		if !slices.Contains(models, home) {
			home = shown(s, models)
		}
		if home == "" || count[home] >= most {
			free = append(free, s)
			continue
		}
		homes[s.Name] = home
		count[home]++
	}
	for _, s := range free {
		least := slices.MinFunc(models, func(a, b string) int { return cmp.Compare(count[a], count[b]) })
		homes[s.Name] = least
		count[least]++
	}
	return homes
}

// shown returns the model of which an engine holds the most versions beyond the
// first, empty when it holds none.
func shown(s pool.Server, models []string) string {
	best, most := "", uint64(1)
	for _, model := range models {
		if v := s.Versions[model]; v > most {
			best, most = model, v
		}
	}
	return best
}
