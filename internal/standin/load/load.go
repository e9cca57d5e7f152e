// Package load generates open-loop load against entry hosts. Requests arrive by
// a seeded Poisson process and never wait for each other. Latency is measured
// from the scheduled arrival time, so that a stalled service can't hide its
// stall (coordinated omission). Each response is checked to be complete and to
// belong to its own request.
package load

import (
	"context"
	"fmt"
	"hash/fnv"
	"net/http"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/standin/caller"
)

// Kind is the kind of request that a workspace sends.
type Kind string

// The kinds of requests.
const (
	Completion Kind = "completion" // POST /v1/completions, response in one piece
	Stream     Kind = "stream"     // the same as server-sent events
	Service    Kind = "service"    // POST to a plain service that echoes
)

// Defaults of Settings.InFlight, Settings.Timeout and Workspace.Tokens.
const (
	DefaultInFlight = 4096
	DefaultTimeout  = 30 * time.Second
	DefaultTokens   = 64
)

// Workspace describes the load that one workspace generates.
type Workspace struct {
	Name               string
	Key                string
	Kind               Kind
	Rate               float64 // requests per second
	Model              string  // for Completion and Stream
	Service            string  // for Service: the path after /v1/services/
	Tokens             int     // max_tokens of a request; zero means DefaultTokens
	Prefix             string  // common prefix of every prompt or service body
	SendIdempotencyKey bool    // for Service: send an Idempotency-Key, made of Settings.Seed and the body
}

// Settings configures a run. A request counts as good when its complete response
// arrives within Target; a zero Target accepts any latency.
type Settings struct {
	Hosts      []string
	HTTP       *http.Client
	Workspaces []Workspace
	Duration   time.Duration
	Seed       uint64
	InFlight   int           // maximum number of requests in flight, of all workspaces; see Line.Sent
	Timeout    time.Duration // of a request
	Target     time.Duration
	// SkipTextCheck disables the comparison of response texts with the expected ones: the
	// engine stand-in's text for a completion, the request body for a service.
	SkipTextCheck bool
}

// Run generates the load and returns once every request has ended.
func Run(ctx context.Context, settings Settings) Report {
	settings = withDefaults(settings)
	slots := make(chan struct{}, settings.InFlight)
	meters := make([]*meter, len(settings.Workspaces))
	start := time.Now()
	var sources sync.WaitGroup
	for i, workspace := range settings.Workspaces {
		meters[i] = newMeter(workspace.Name, settings.Target)
		source := &source{settings: settings, workspace: workspace, meter: meters[i], slots: slots, start: start}
		sources.Go(func() { source.run(ctx) })
	}
	sources.Wait()
	return summarize(meters, time.Since(start))
}

// withDefaults returns settings with the zero limits replaced by the defaults.
func withDefaults(settings Settings) Settings {
	if settings.InFlight == 0 {
		settings.InFlight = DefaultInFlight
	}
	if settings.Timeout == 0 {
		settings.Timeout = DefaultTimeout
	}
	return settings
}

// source sends the requests of one workspace on their schedule.
type source struct {
	settings  Settings
	workspace Workspace
	meter     *meter
	slots     chan struct{} // holds an element per request in flight, of all workspaces
	start     time.Time     // of the run
	client    *caller.Client
}

// run sends each scheduled request in its own goroutine until ctx ends, and waits for all
// of them.
func (s *source) run(ctx context.Context) {
	s.client = &caller.Client{
		Hosts:   s.settings.Hosts,
		Key:     s.workspace.Key,
		HTTP:    s.settings.HTTP,
		Timeout: s.settings.Timeout,
	}
	var requests sync.WaitGroup
	defer requests.Wait()
	for number, due := range Schedule(s.seed(), s.workspace.Rate, s.settings.Duration) {
		if !s.waitUntilDue(ctx, due) {
			return
		}
		select {
		case s.slots <- struct{}{}:
		default:
			s.meter.recordError("unsent") // at the in-flight limit; delaying the request would close the loop
			continue
		}
		requests.Go(func() {
			defer func() { <-s.slots }()
			s.send(ctx, number, s.start.Add(due))
		})
	}
}

// seed returns the run's seed mixed with the workspace name, so that the bursts of
// different workspaces don't coincide.
func (s *source) seed() uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(s.workspace.Name))
	return s.settings.Seed ^ sum.Sum64()
}

// waitUntilDue waits until due after the start of the run. It returns false if ctx
// ends first.
func (s *source) waitUntilDue(ctx context.Context, due time.Duration) bool {
	timer := time.NewTimer(time.Until(s.start.Add(due)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// send makes one request and records its result and its latency since due.
func (s *source) send(ctx context.Context, number int, due time.Time) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.Timeout)
	defer cancel()
	// The number makes the body unique to the request.
	body := fmt.Sprintf("%s%s request %d", s.workspace.Prefix, s.workspace.Name, number)
	var result result
	switch s.workspace.Kind {
	case Service:
		result = s.call(ctx, body)
	case Stream:
		result = s.stream(ctx, body, int64(number))
	default:
		result = s.complete(ctx, body, int64(number))
	}
	s.meter.record(result, time.Since(due))
}
