// Package dispatch runs the requests of callers: it reserves quota, claims requests that
// must run at most once, chooses a home host, retries and hedges attempts, counts usage
// and maps failures to the errors that callers see.
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

// Remote runs a task on the host with the given link address. Run passes the items of the
// answer to sink as forward.Runner does.
type Remote interface {
	Run(ctx context.Context, address string, task forward.Task, sink func(forward.Item) error) error
}

// Fleet locates other hosts.
type Fleet interface {
	// Address returns the link address of a live host, false if there is none.
	Address(host string) (string, bool)
	// Hops returns the other zones that have slots for a pool, with the load and the delay
	// of each, the zone with the most free slots first.
	Hops(pool string) []route.Hop
	// Gateway returns the link address of a live host of another zone, false if there is
	// none.
	Gateway(zone string) (string, bool)
}

// Claim identifies a request that must not run twice, by its workspace and idempotency
// key, and the attempt that is to run it. Digest identifies the content of the request.
// MaxDuration is the longest time that the attempt may take.
type Claim struct {
	Workspace      string
	IdempotencyKey string
	Attempt        string
	Digest         string
	MaxDuration    time.Duration
}

// Claims ensures that a claimed request runs at most once, whichever hosts the request
// and its repeats reach.
type Claims interface {
	// Begin claims a request. A non-nil answer is the stored answer of an earlier run. The
	// error is an *api.Error.
	Begin(ctx context.Context, claim Claim) (*service.Response, error)
	// Finish stores the answer of a claimed request for its repeats.
	Finish(ctx context.Context, claim Claim, answer service.Response) error
	// Release releases the claim of a request that certainly did not run.
	Release(ctx context.Context, claim Claim) error
}

// Usage is the usage of one request, charged to its workspace.
type Usage struct {
	Workspace string
	Requests  uint64
	Tokens    uint64
	Samples   uint64
}

// Meter counts usage. Count returns nil once enough other hosts store a copy of the count.
// After an error the usage is counted too, but too few other hosts may hold a copy.
type Meter interface {
	Count(ctx context.Context, usage Usage) error
}

// Result describes how a request ended, for service level objectives and counters. Good
// reports whether it got a complete answer; after any error it is false, a refusal for
// quota included. Elapsed is the time from its arrival to its end.
type Result struct {
	Workspace string
	Route     string
	Good      bool
	Elapsed   time.Duration
}

// Config holds the dependencies of a Dispatcher. Local runs tasks on this host, Observe
// is called with the result of each request, and SpreadMarks sends suspicions of crashing
// requests to other hosts. Claims, Meter, Observe and SpreadMarks may be nil. Log is not
// used.
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

// Dispatcher runs requests, each with as many attempts as it needs. Use New.
type Dispatcher struct {
	config Config

	mu     sync.Mutex
	routes map[string]*routeState
}

// routeState holds the retry budget and the observed hedge delay of one route.
type routeState struct {
	budget attempt.Budget
	delay  attempt.HedgeDelay
}

// New returns a Dispatcher.
func New(config Config) *Dispatcher {
	return &Dispatcher{config: config, routes: make(map[string]*routeState)}
}

// route returns the state of a route, which it creates on first use.
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
