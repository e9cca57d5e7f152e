// Package release rolls out the newest weights of each model to the engines of a site.
// One host at a time does so, under a lease.
//
// If several models are trained on the same engines, each engine is assigned a home
// model and loads the new weights of that model only. Loading every version on every
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
	"github.com/hyssopwall/hyssopwall/internal/rollout/batch"
	"github.com/hyssopwall/hyssopwall/internal/rollout/weights"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
	"github.com/hyssopwall/hyssopwall/internal/site/policy"
)

// Limits and intervals of a rollout.
const (
	// planInterval is the time between plans. A load takes about a second.
	planInterval = 100 * time.Millisecond
	// statusInterval is the time between status queries to an engine that loads. Each
	// query is billed.
	statusInterval = 250 * time.Millisecond
	// maxLoadingShare is the share of the generation slots of a model's engines that may
	// be out of service for loads at the same time. Loads slow each other down when more
	// than about a fifth of the engines load.
	maxLoadingShare = 0.23
	// minLoading is the number of engines of a model that may load at the same time
	// even if they exceed maxLoadingShare.
	minLoading = 2
	// maxPostponement is the time after a release during which engines may keep weights
	// that are still recent enough. The next release usually comes earlier.
	maxPostponement = 10 * time.Second
	// loadTimeout is several times the duration of a load. An order that has no effect
	// within it is retried.
	loadTimeout = 4 * time.Second
	// loadBackoff is the backoff after the first failed load.
	loadBackoff = 300 * time.Millisecond
	// downloadRate is the rate of loads per second that the planner gets. The platform
	// specifies none; maxLoadingShare limits the loads instead.
	downloadRate = 1000
)

// Status is the response of an engine to a status query.
type Status struct {
	Versions       map[string]uint64 // loaded weights version by model
	AcceptedOrders int64             // load orders accepted since the engine started
}

// Engines sends load orders and status queries to engines.
type Engines interface {
	// Load orders an engine to load a version, and returns once the engine has accepted
	// the order or refused it. Orders is the known number of orders that the engine has
	// accepted; the engine refuses the order if the number is wrong.
	Load(ctx context.Context, server pool.Server, load weights.Load, orders int64, grant lease.Grant) error
	// Status queries the status of an engine.
	Status(ctx context.Context, server pool.Server) (Status, error)
}

// Coordinator rolls out releases. Set the exported fields, then call Run. ObserveRelease
// may be called at any time.
type Coordinator struct {
	Pool    *pool.Pool
	Policy  func() *policy.Policy // the current policy; nil if there is none yet
	Engines Engines
	Holder  *lease.Holder
	Duty    string // name of the duty whose lease allows the rollout
	Demand  func(model string) batch.Demand
	Log     event.Log

	planners map[string]*weights.Planner
	homes    map[string]string // home model by engine

	mu         sync.Mutex
	newest     map[string]uint64       // newest version by model
	releasedAt map[string]time.Time    // when the newest version was first observed
	status     map[string]engineStatus // by engine
}

// engineStatus is the latest known status of an engine. It is valid for one boot.
type engineStatus struct {
	Status
	boot      int64
	queriedAt time.Time
}

// ObserveRelease records a release of a model, unless a newer one is known.
func (c *Coordinator) ObserveRelease(model string, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.newest == nil {
		c.newest, c.releasedAt = map[string]uint64{}, map[string]time.Time{}
	}
	if version > c.newest[model] {
		c.newest[model], c.releasedAt[model] = version, time.Now()
	}
}

// Run plans and sends orders while this host holds the lease, until the context ends.
func (c *Coordinator) Run(ctx context.Context) {
	c.planners, c.homes, c.status = map[string]*weights.Planner{}, map[string]string{}, map[string]engineStatus{}
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, held := c.Holder.Held(c.Duty); held {
			c.step(ctx)
		} else {
			clear(c.planners)
			clear(c.homes)
			c.clearStatus()
		}
	}
}

// clearStatus removes all engine statuses, which are outdated once the lease is lost.
func (c *Coordinator) clearStatus() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.status)
}

// step updates the home models of the engines of each service that has models, and rolls
// out the newest weights of these models.
func (c *Coordinator) step(ctx context.Context) {
	c.mu.Lock()
	newest := make(map[string]uint64, len(c.newest))
	for model, version := range c.newest {
		newest[model] = version
	}
	c.mu.Unlock()
	p := c.Policy()
	if p == nil || len(newest) == 0 {
		return
	}
	for _, service := range p.Services {
		if len(service.Models) == 0 {
			continue
		}
		servers := c.engines(service.Name)
		c.homes = AssignHomes(c.homes, servers, c.shares(service.Models))
		for _, model := range service.Models {
			if newest[model] > 0 {
				c.rollOut(ctx, model, newest[model], servers)
			}
		}
	}
}

// engines returns the servers of a service that are not draining, nor in an evacuated zone.
func (c *Coordinator) engines(service string) []pool.Server {
	var servers []pool.Server
	for _, s := range c.Pool.Servers() {
		if s.Service == service && !s.Draining && !c.Pool.IsEvacuated(s.Zone) {
			servers = append(servers, s)
		}
	}
	return servers
}

// rollOut plans the loads of one model, sends their orders and queries the engines that
// load.
func (c *Coordinator) rollOut(ctx context.Context, model string, version uint64, servers []pool.Server) {
	planner := c.planners[model]
	if planner == nil {
		planner = &weights.Planner{Policy: weights.Policy{LoadTimeout: loadTimeout, Backoff: loadBackoff}}
		c.planners[model] = planner
	}
	byName := map[string]pool.Server{}
	var engines []weights.Engine
	for _, s := range servers {
		if c.homes[s.Name] != model {
			continue
		}
		byName[s.Name] = s
		engines = append(engines, weights.Engine{
			Name: s.Name, Zone: s.Zone, Version: max(s.Versions[model], c.knownStatus(s).Versions[model]),
			Boot: strconv.FormatInt(s.Boot, 10), Slots: s.Slots,
		})
	}
	planner.Policy.MinServingShare = 1 - max(maxLoadingShare, minLoading/float64(max(minLoading, len(engines)))) - roundingMargin
	c.postpone(model, version, planner, engines)
	loads := planner.Plan(time.Now(), weightstore.Release{Model: model, Version: version, MaxDownloadRate: downloadRate}, engines)
	var group sync.WaitGroup
	errs := make([]error, len(loads))
	for i, load := range loads {
		group.Go(func() { errs[i] = c.order(ctx, load, byName[load.Engine]) })
	}
	group.Wait()
	for i, load := range loads {
		if errs[i] != nil {
			planner.RecordFailure(load.Engine, time.Now())
		}
	}
	c.queryLoading(ctx, model, version, planner, byName)
}

// roundingMargin keeps the planner from rounding down a share that is exactly a whole
// number of engines.
const roundingMargin = 0.001

// postpone makes the planner skip engines that need not load yet, by setting their
// version to the target. By default all engines load. If the trainers accept samples of
// older weights, half of the engines load each release and the other half the next one,
// because a load delays the generations on an engine by about a second.
func (c *Coordinator) postpone(model string, version uint64, planner *weights.Planner, engines []weights.Engine) {
	demand := c.Demand(model)
	c.mu.Lock()
	expired := time.Since(c.releasedAt[model]) > maxPostponement
	c.mu.Unlock()
	if !demand.VersionLagKnown || demand.VersionLag == 0 || expired {
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

// PostponedEngines returns the names of the engines that need not load a version yet. An
// engine qualifies if its weights are at most lag versions older. At least half of all
// engines are not postponed; of those that qualify, the ones with the oldest weights load
// first. Loading reports whether the named engine loads already; such an engine is never
// postponed. With a lag of zero none is.
func PostponedEngines(version, lag uint64, loading func(string) bool, engines []weights.Engine) []string {
	updating := 0 // engines that hold, load or must load the version
	var usable []weights.Engine
	for _, e := range engines {
		switch {
		case e.Version >= version || loading(e.Name) || e.Version+lag < version:
			updating++
		default:
			usable = append(usable, e)
		}
	}
	slices.SortFunc(usable, func(a, b weights.Engine) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Name, b.Name))
	})
	half := (len(engines) + 1) / 2
	var names []string
	for _, e := range usable[min(len(usable), max(0, half-updating)):] {
		names = append(names, e.Name)
	}
	return names
}

// knownStatus returns the known status of an engine under its current boot, or a zero
// value if there is none.
func (c *Coordinator) knownStatus(s pool.Server) engineStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.status[s.Name]; known.boot == s.Boot {
		return known
	}
	return engineStatus{}
}

// order sends the order for a load under this host's lease. The order includes the number
// of orders that the engine has accepted so far, so that an order which arrives after a
// newer one has no effect. If the order fails, it queries the status of the engine, which
// may have accepted it.
func (c *Coordinator) order(ctx context.Context, load weights.Load, server pool.Server) error {
	if c.knownStatus(server).queriedAt.IsZero() {
		c.queryStatus(ctx, server)
	}
	orders := c.knownStatus(server).AcceptedOrders
	err := c.Holder.Do(ctx, c.Duty, func(ctx context.Context, grant lease.Grant) error {
		return c.sendLoad(ctx, load, server, orders, grant)
	})
	if err == nil {
		c.countOrder(server)
		c.Log.Emit(event.WeightsLoadOrdered, "server", server.Name, "model", load.Model, "version", load.Version, "orders", orders)
		return nil
	}
	c.Log.Emit(event.WeightsLoadFailed, "server", server.Name, "model", load.Model, "version", load.Version, "orders", orders, "err", err.Error())
	c.queryStatus(ctx, server)
	return err
}

// sendLoad sends an order, unless the zone has been evacuated since the load was planned.
func (c *Coordinator) sendLoad(ctx context.Context, load weights.Load, server pool.Server, orders int64, grant lease.Grant) error {
	if c.Pool.IsEvacuated(server.Zone) {
		return &pool.EvacuatedError{Server: server.Name, Zone: server.Zone}
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return c.Engines.Load(ctx, server, load, orders, grant)
}

// orderTimeout limits an order. An engine that is up accepts it immediately.
const orderTimeout = 500 * time.Millisecond

// countOrder counts an order that the engine has accepted in its known status.
func (c *Coordinator) countOrder(server pool.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.status[server.Name]
	known.AcceptedOrders++
	c.status[server.Name] = known
}

// queryLoading queries the status of the engines that load, and sets in the pool the
// versions of those that have completed, so that the next load can start at once. The
// platform's list lags by a second or more.
func (c *Coordinator) queryLoading(ctx context.Context, model string, version uint64, planner *weights.Planner, servers map[string]pool.Server) {
	if planner.LoadingCount() == 0 {
		return
	}
	var group sync.WaitGroup
	for name, server := range servers {
		if planner.IsLoading(name) && time.Since(c.knownStatus(server).queriedAt) >= statusInterval {
			group.Go(func() { c.queryStatus(ctx, server) })
		}
	}
	group.Wait()
	for name, server := range servers {
		if !planner.IsLoading(name) {
			continue
		}
		if known := c.knownStatus(server); known.Versions[model] >= version {
			c.Pool.SetVersions(server, known.Versions)
			c.Log.Emit(event.WeightsLoaded, "server", name, "model", model, "version", known.Versions[model])
		}
	}
}

// statusTimeout limits a status query. An engine that is up responds immediately.
const statusTimeout = 300 * time.Millisecond

// queryStatus queries the status of an engine and records it. If the query fails, the
// previous status stays, with the time of this query. An engine in an evacuated zone is not
// queried.
func (c *Coordinator) queryStatus(ctx context.Context, server pool.Server) {
	if c.Pool.IsEvacuated(server.Zone) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := c.Engines.Status(ctx, server)
	known := c.knownStatus(server)
	if err == nil {
		known.Status = status
	} else {
		c.Log.Emit(event.WeightsLoadFailed, "server", server.Name, "err", err.Error())
	}
	known.boot, known.queriedAt = server.Boot, time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status[server.Name] = known
}
