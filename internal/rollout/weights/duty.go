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

// Fleet reaches the engines of a model through their home hosts.
type Fleet interface {
	Engines(ctx context.Context, model string) ([]Engine, error)
	Apply(ctx context.Context, name string, command engine.Command) error
}

// Lease is this host's belief that it holds the duty. Held returns the fencing
// number and the end of the belief; ok is false when there is none.
type Lease interface {
	Held(now time.Time) (epoch uint64, until time.Time, ok bool)
}

// Clock is the duty's time.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

const (
	tick            = 100 * time.Millisecond
	releaseInterval = time.Second // between looks at the weight store
	orderTimeout    = 2 * time.Second
	outcomeCapacity = 256 // outcomes of orders; a full ring makes the orders wait
	ordersAtOnce    = 256 // orders in flight; further ones wait for the next tick
)

// Duty rolls the releases of one model out while this host holds the lease.
type Duty struct {
	Model  string
	Fleet  Fleet
	Store  weightstore.Store
	Lease  Lease
	Clock  Clock
	Policy Policy
	Log    event.Log

	planner  Planner
	epoch    uint64
	release  weightstore.Release
	looked   time.Time
	versions map[string]uint64
	outcomes chan outcome
	workers  sync.WaitGroup
	slots    chan struct{}
	done     chan struct{}
	stop     context.CancelFunc
}

type outcome struct {
	engine string
	err    error
}

// Start runs the duty until Close or the end of ctx.
func (d *Duty) Start(ctx context.Context) {
	ctx, d.stop = context.WithCancel(ctx)
	d.outcomes = make(chan outcome, outcomeCapacity)
	d.slots = make(chan struct{}, ordersAtOnce)
	d.done = make(chan struct{})
	d.versions = map[string]uint64{}
	go d.run(ctx)
}

func (d *Duty) run(ctx context.Context) {
	defer close(d.done)
	for {
		d.step(ctx)
		select {
		case <-ctx.Done():
			d.workers.Wait()
			return
		case <-d.Clock.After(tick):
		}
	}
}

// step takes the outcomes and reports so far and orders the next loads.
func (d *Duty) step(ctx context.Context) {
	d.drain()
	now := d.Clock.Now()
	epoch, until, ok := d.Lease.Held(now)
	if !ok {
		return
	}
	if epoch != d.epoch {
		d.epoch, d.planner = epoch, Planner{Policy: d.Policy}
	}
	if !d.look(ctx, now) {
		return
	}
	engines, err := d.Fleet.Engines(ctx, d.Model)
	if err != nil {
		return
	}
	d.report(engines)
	for _, l := range d.planner.Plan(now, d.release, engines) {
		d.order(ctx, l, until)
	}
}

// look reads the newest release now and then. A release never goes back.
func (d *Duty) look(ctx context.Context, now time.Time) bool {
	if d.looked.IsZero() || now.Sub(d.looked) >= releaseInterval {
		release, err := d.Store.Newest(ctx, d.Model)
		if err == nil && release.Version >= d.release.Version {
			d.release = release
		}
		d.looked = now
	}
	return d.release.Version > 0
}

func (d *Duty) report(engines []Engine) {
	for _, e := range engines {
		if last, ok := d.versions[e.Name]; ok && e.Version > last {
			d.Log.Emit(event.WeightsSwapped, "engine", e.Name, "version", e.Version)
		}
		d.versions[e.Name] = e.Version
	}
}

// order sends one load. The belief is checked at the last moment, and the call
// ends no later than the belief does.
func (d *Duty) order(ctx context.Context, l Load, until time.Time) {
	select {
	case d.slots <- struct{}{}:
	default:
		d.planner.CancelLoad(l.Engine)
		return
	}
	d.workers.Add(1)
	command := engine.Command{ID: l.ID, Epoch: d.epoch, Model: l.Model, Version: l.Version}
	go func() {
		defer d.workers.Done()
		defer func() { <-d.slots }()
		err := d.apply(ctx, l.Engine, command, until)
		select {
		case d.outcomes <- outcome{l.Engine, err}:
		case <-ctx.Done():
		}
	}()
}

func (d *Duty) apply(ctx context.Context, name string, command engine.Command, until time.Time) error {
	now := d.Clock.Now()
	if epoch, _, ok := d.Lease.Held(now); !ok || epoch != command.Epoch || !now.Before(until) {
		return &LeaseEndedError{Epoch: command.Epoch}
	}
	ctx, cancel := context.WithTimeout(ctx, min(orderTimeout, until.Sub(now)))
	defer cancel()
	return d.Fleet.Apply(ctx, name, command)
}

// LeaseEndedError says that the lease of the epoch ended before an order was sent.
type LeaseEndedError struct {
	Epoch uint64
}

func (e *LeaseEndedError) Error() string { return "lease ended before the order" }

func (d *Duty) drain() {
	for {
		select {
		case o := <-d.outcomes:
			d.settle(o)
		default:
			return
		}
	}
}

// settle takes the outcome of an order. One whose answer was lost may have
// taken effect, and keeps its place until the engine reports or the time limit
// passes.
func (d *Duty) settle(o outcome) {
	var refused *engine.RefusedError
	var ended *LeaseEndedError
	switch {
	case errors.As(o.err, &refused):
		d.planner.RecordFailure(o.engine, d.Clock.Now())
		d.Log.Emit(event.WeightsFailed, "engine", o.engine, "error", o.err)
	case errors.As(o.err, &ended):
		d.planner.CancelLoad(o.engine)
	}
}

// Done is closed when the duty has stopped and no order is in flight.
func (d *Duty) Done() <-chan struct{} { return d.done }

// Close stops the duty and waits for its orders.
func (d *Duty) Close() error {
	d.stop()
	<-d.done
	return nil
}
