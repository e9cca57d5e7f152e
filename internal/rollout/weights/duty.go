package weights

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/platform/weightstore"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// Fleet gives access to the engines of a model through their home hosts.
type Fleet interface {
	// Engines returns the reports of the model's engines.
	Engines(ctx context.Context, model string) ([]Engine, error)
	// Apply sends a command to an engine. An *engine.RefusedError means that the engine
	// refused it; after any other error the command may have taken effect.
	Apply(ctx context.Context, name string, command engine.Command) error
}

// Lease is this host's lease of the duty.
type Lease interface {
	// Held returns the epoch of the lease, which serves as fencing token, and the time
	// until which this host may act under it. It returns false if this host doesn't hold
	// the lease.
	Held(now time.Time) (epoch uint64, until time.Time, ok bool)
}

// Clock is the clock of a Duty. Tests replace it.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

const (
	planInterval    = 100 * time.Millisecond // between plans
	releaseInterval = time.Second            // between reads of the newest release
	orderTimeout    = 2 * time.Second        // of one call of Fleet.Apply
	outcomeCapacity = 256                    // outcomes not handled yet; with more, the goroutines of orders block
	maxOrders       = 256                    // orders in flight; further ones wait for the next plan
)

// Duty rolls out the releases of one model while this host holds the duty's lease. Start must
// be called once, before Done and Close.
type Duty struct {
	Model  string
	Fleet  Fleet
	Store  weightstore.Store
	Lease  Lease
	Clock  Clock
	Policy Policy
	Log    event.Log

	planner  Planner
	epoch    uint64              // epoch of the lease under which planner plans
	release  weightstore.Release // newest known release
	readAt   time.Time           // latest read of the release, also if it failed
	versions map[string]uint64   // latest reported version by engine
	outcomes chan outcome
	workers  sync.WaitGroup
	inFlight chan struct{} // limits the orders in flight
	done     chan struct{}
	stop     context.CancelFunc
}

// outcome is the result of an order.
type outcome struct {
	engine string
	err    error
}

// Start runs the duty in the background until Close is called or the context ends.
func (d *Duty) Start(ctx context.Context) {
	ctx, d.stop = context.WithCancel(ctx)
	d.outcomes = make(chan outcome, outcomeCapacity)
	d.inFlight = make(chan struct{}, maxOrders)
	d.done = make(chan struct{})
	d.versions = map[string]uint64{}
	go d.run(ctx)
}

// run runs steps until the context ends and then waits for the orders in flight.
func (d *Duty) run(ctx context.Context) {
	defer close(d.done)
	for {
		d.step(ctx)
		select {
		case <-ctx.Done():
			d.workers.Wait()
			return
		case <-d.Clock.After(planInterval):
		}
	}
}

// step handles the outcomes of earlier orders, and orders the next loads if this host
// holds the lease. A new epoch starts with a new planner.
func (d *Duty) step(ctx context.Context) {
	d.handleOutcomes()
	now := d.Clock.Now()
	epoch, until, ok := d.Lease.Held(now)
	if !ok {
		return
	}
	if epoch != d.epoch {
		d.epoch, d.planner = epoch, Planner{Policy: d.Policy}
	}
	if !d.updateRelease(ctx, now) {
		return
	}
	engines, err := d.Fleet.Engines(ctx, d.Model)
	if err != nil {
		return
	}
	d.logSwaps(engines)
	for _, l := range d.planner.Plan(now, d.release, engines) {
		d.order(ctx, l, until)
	}
}

// updateRelease reads the newest release once per releaseInterval and reports whether one
// is known. It ignores a release older than the known one.
func (d *Duty) updateRelease(ctx context.Context, now time.Time) bool {
	if d.readAt.IsZero() || now.Sub(d.readAt) >= releaseInterval {
		release, err := d.Store.Newest(ctx, d.Model)
		if err == nil && release.Version >= d.release.Version {
			d.release = release
		}
		d.readAt = now
	}
	return d.release.Version > 0
}

// logSwaps logs each engine that reports a newer version than before.
func (d *Duty) logSwaps(engines []Engine) {
	for _, e := range engines {
		if previous, ok := d.versions[e.Name]; ok && e.Version > previous {
			d.Log.Emit(event.WeightsLoaded, "engine", e.Name, "version", e.Version)
		}
		d.versions[e.Name] = e.Version
	}
}

// order sends the order for a load in the background. If maxOrders are in flight, it
// cancels the load, which the planner then plans again.
func (d *Duty) order(ctx context.Context, l Load, until time.Time) {
	select {
	case d.inFlight <- struct{}{}:
	default:
		d.planner.CancelLoad(l.Engine)
		return
	}
	d.workers.Add(1)
	command := engine.Command{ID: l.ID, Epoch: d.epoch, Model: l.Model, Version: l.Version}
	go func() {
		defer d.workers.Done()
		defer func() { <-d.inFlight }()
		err := d.apply(ctx, l.Engine, command, until)
		select {
		case d.outcomes <- outcome{l.Engine, err}:
		case <-ctx.Done():
		}
	}()
}

// apply sends a command, or returns a *LeaseEndedError. It checks the lease just before the
// call, and the call times out no later than the lease ends.
func (d *Duty) apply(ctx context.Context, name string, command engine.Command, until time.Time) error {
	now := d.Clock.Now()
	if epoch, _, ok := d.Lease.Held(now); !ok || epoch != command.Epoch || !now.Before(until) {
		return &LeaseEndedError{Epoch: command.Epoch}
	}
	ctx, cancel := context.WithTimeout(ctx, min(orderTimeout, until.Sub(now)))
	defer cancel()
	return d.Fleet.Apply(ctx, name, command)
}

// LeaseEndedError reports that the lease of the epoch ended before an order was sent.
type LeaseEndedError struct {
	Epoch uint64
}

func (e *LeaseEndedError) Error() string { return "lease ended before the order was sent" }

// handleOutcomes handles the outcomes that have arrived.
func (d *Duty) handleOutcomes() {
	for {
		select {
		case o := <-d.outcomes:
			d.handleOutcome(o)
		default:
			return
		}
	}
}

// handleOutcome updates the planner with the outcome of an order. An order whose response
// was lost may have taken effect: its load stays in progress until the engine reports the
// version or the load times out.
func (d *Duty) handleOutcome(o outcome) {
	var refused *engine.RefusedError
	var ended *LeaseEndedError
	switch {
	case errors.As(o.err, &refused):
		d.planner.RecordFailure(o.engine, d.Clock.Now())
		d.Log.Emit(event.WeightsLoadFailed, "engine", o.engine, "error", o.err)
	case errors.As(o.err, &ended):
		d.planner.CancelLoad(o.engine)
	}
}

// Done returns a channel that is closed once the duty has stopped and no order is in
// flight.
func (d *Duty) Done() <-chan struct{} { return d.done }

// Close stops the duty and waits for the orders in flight. The error is always nil.
func (d *Duty) Close() error {
	d.stop()
	<-d.done
	return nil
}
