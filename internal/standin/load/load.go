// Package load sends an open load to entry hosts: requests arrive by a seeded
// random process and never wait for each other, and latency counts from the
// time at which a request was due, so that a stalled service can't hide its
// stall. Each answer is checked to be the whole answer to its own request.
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

// Kind says what a workspace sends.
type Kind string

// The kinds of requests.
const (
	Completion Kind = "completion" // POST /v1/completions, whole
	Stream     Kind = "stream"     // the same as server-sent events
	Service    Kind = "service"    // POST to a plain service that echoes
)

// Defaults of Settings.
const (
	DefaultInFlight = 4096
	DefaultTimeout  = 30 * time.Second
	DefaultTokens   = 64
)

// Workspace is one source of load.
type Workspace struct {
	Name    string
	Key     string
	Kind    Kind
	Rate    float64 // requests per second
	Model   string  // for Completion and Stream
	Service string  // for Service: the path after /v1/services/
	Tokens  int     // most tokens of an answer
	Prefix  string  // shared start of every prompt
	Keyed   bool    // send an Idempotency-Key
}

// Settings configures a run. A request counts as good when its whole answer
// comes within Target; zero accepts any time.
type Settings struct {
	Hosts      []string
	HTTP       *http.Client
	Workspaces []Workspace
	Duration   time.Duration
	Seed       uint64
	InFlight   int // most requests at once
	Timeout    time.Duration
	Target     time.Duration
	// Trust skips the comparison of texts with those of the engine stand-in.
	Trust bool
}

// Run sends the load and returns when every request has ended.
func Run(ctx context.Context, settings Settings) Report {
	settings = defaults(settings)
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

func defaults(settings Settings) Settings {
	if settings.InFlight == 0 {
		settings.InFlight = DefaultInFlight
	}
	if settings.Timeout == 0 {
		settings.Timeout = DefaultTimeout
	}
	return settings
}

// source sends the requests of one workspace.
type source struct {
	settings  Settings
	workspace Workspace
	meter     *meter
	slots     chan struct{}
	start     time.Time
	client    *caller.Client
}

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
		if !s.await(ctx, due) {
			return
		}
		select {
		case s.slots <- struct{}{}:
		default:
			s.meter.fail("unsent") // the load tool is full; the request is not delayed
			continue
		}
		requests.Go(func() {
			defer func() { <-s.slots }()
			s.send(ctx, number, s.start.Add(due))
		})
	}
}

// seed differs between workspaces, so that their bursts don't coincide.
func (s *source) seed() uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(s.workspace.Name))
	return s.settings.Seed ^ sum.Sum64()
}

func (s *source) await(ctx context.Context, due time.Duration) bool {
	timer := time.NewTimer(time.Until(s.start.Add(due)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *source) send(ctx context.Context, number int, due time.Time) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.Timeout)
	defer cancel()
	// The number makes each request's body its own.
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
	s.meter.add(result, time.Since(due))
}
