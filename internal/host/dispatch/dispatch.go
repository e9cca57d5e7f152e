// Package dispatch takes admitted requests through their attempts: limits,
// claims, the choice of a home host, retries and hedges, usage, and what the
// caller is told in the end.
package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/service"
	"github.com/hyssopwall/hyssopwall/internal/entry/attempt"
	"github.com/hyssopwall/hyssopwall/internal/entry/gate"
	"github.com/hyssopwall/hyssopwall/internal/entry/poison"
	"github.com/hyssopwall/hyssopwall/internal/entry/quota"
	"github.com/hyssopwall/hyssopwall/internal/entry/route"
	"github.com/hyssopwall/hyssopwall/internal/host/forward"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// Remote runs a task on another host.
type Remote interface {
	Run(ctx context.Context, address string, task forward.Task, sink func(forward.Item) error) error
}

// Fleet tells where other hosts are.
type Fleet interface {
	// Address returns the link address of a live host of this zone.
	Address(host string) (string, bool)
	// Hops returns the other zones that serve a pool.
	Hops(pool string) []route.Hop
	// Gateway returns the link address of a live host of another zone.
	Gateway(zone string) (string, bool)
}

// Claim names a request that must not run twice, and the attempt that would
// run it. Digest tells what the request asks. Within is the longest time that
// the attempt may take.
type Claim struct {
	Workspace      string
	IdempotencyKey string
	Attempt        string
	Digest         string
	MaxDuration    time.Duration
}

// Claims makes requests that must not run twice run at most once, whichever
// host they reach. Errors are *api.Error.
type Claims interface {
	// Begin claims a request. A non-nil answer is that of its first run.
	Begin(ctx context.Context, claim Claim) (*service.Answer, error)
	// Finish stores the answer of a claimed request for its repeats.
	Finish(ctx context.Context, claim Claim, answer service.Answer) error
	// Release gives a claim back whose request certainly did not run.
	Release(ctx context.Context, claim Claim) error
}

// Usage is what one request used.
type Usage struct {
	Workspace string
	Requests  uint64
	Tokens    uint64
	Samples   uint64
}

// Meter counts usage. Count returns after the count is safe on other hosts, or
// with an error when it is kept by this host alone.
type Meter interface {
	Count(ctx context.Context, usage Usage) error
}

// Result is how a request ended, for objectives and counters.
type Result struct {
	Workspace string
	Route     string
	Good      bool
	Elapsed   time.Duration
}

// Config is what a dispatcher needs from its host. Claims, Meter and Observe
// may be nil.
type Config struct {
	Host        string
	Zone        string
	Gate        *gate.Gate
	Quota       *quota.Limiter
	Picker      *route.Picker
	Poison      *poison.SuspectTable
	Local       forward.Runner
	Remote      Remote
	Fleet       Fleet
	Claims      Claims
	Meter       Meter
	Observe     func(Result)
	SpreadMarks func([]poison.Mark)
	Now         func() time.Time
	Log         event.Log
}

// Dispatcher takes requests through their attempts. Use New.
type Dispatcher struct {
	config Config

	mu     sync.Mutex
	routes map[string]*routeState
}

// routeState is what is learned of one route.
type routeState struct {
	budget attempt.Budget
	delay  attempt.HedgeDelay
}

// New returns a dispatcher.
func New(config Config) *Dispatcher {
	return &Dispatcher{config: config, routes: make(map[string]*routeState)}
}

func (d *Dispatcher) route(name string) *routeState {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.routes[name]
	if r == nil {
		r = &routeState{}
		d.routes[name] = r
	}
	return r
}
