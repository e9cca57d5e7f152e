// Package engine is a stand-in for a model engine. It batches continuously,
// caches prompt prefixes in limited memory, names the weight versions behind
// each event, and takes commands. Its text follows from prompt and seed alone,
// so a test can tell an answer that belongs to another request.
package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/standin/fault"
	"github.com/hyssopwall/hyssopwall/internal/standin/web"
)

// Defaults of Settings.
const (
	DefaultSlots   = 8
	DefaultWaiting = 64
	DefaultStep    = 2 * time.Millisecond
	DefaultBurst   = 4
	DefaultPrefill = 16
	DefaultCache   = 1024
)

// The steps at which a script can bring about faults.
const (
	Run     fault.Step = "run"
	Stream  fault.Step = "stream"
	Cancel  fault.Step = "cancel"
	Export  fault.Step = "export"
	Import  fault.Step = "import"
	Command fault.Step = "command"
	Load    fault.Step = "load"
	State   fault.Step = "state"
	Cache   fault.Step = "cache"
)

// Settings configures a stand-in. Zero counts and Step mean the defaults. With
// Ticks each value received runs one step of the batch, and Step is not used.
type Settings struct {
	Name          string
	Model         string
	Version       uint64 // weights at each start; zero for none
	Slots         int    // generations that run at once
	Waiting       int    // generations that wait at most
	Step          time.Duration
	Ticks         <-chan struct{}
	Burst         int           // tokens of a generation per step
	Prefill       int           // prompt blocks that one generation computes per step
	Cache         int           // prefix blocks that fit
	KeepCache     bool          // blocks outlive a change of weights
	LoadTime      time.Duration // time to put weights or an adapter in force
	LoadLag       time.Duration // greatest age of the load figures
	CacheLag      time.Duration // age at which cache events are published
	Weights       string        // base URL of the weight store; empty loads nothing
	IgnoreFencing bool
	Poison        string        // a prompt with this text crashes the engine
	Restart       time.Duration // time from a crash to the next start; zero for never
	Record        bool          // keep each received byte
	Faults        *fault.Script
	Now           func() time.Time
}

// Counts tells a test what the engine did since it was made.
type Counts struct {
	Started   int // generations that ran
	Canceled  int
	Tokens    int
	Crashes   int
	Peak      int // most generations at once
	Hits      int // prompt blocks found in the cache
	Misses    int
	Stale     int // commands of an old epoch that were accepted
	LoadFails int
}

// Engine is the stand-in.
type Engine struct {
	settings Settings
	server   web.Server
	done     chan struct{}

	mu       sync.Mutex
	closed   bool
	boot     *boot
	leaving  bool
	epoch    uint64
	counts   Counts
	commands []engine.Command
	known    map[string]bool
}

// boot is the state that a crash loses.
type boot struct {
	id       string
	gone     chan struct{}
	wake     chan struct{}
	model    string
	version  uint64
	target   uint64 // version being loaded
	adapters []string
	role     string
	batch    batch
	cache    cache
	figures  engine.State
}

// New returns an engine that doesn't listen yet.
func New(settings Settings) *Engine {
	e := &Engine{settings: defaults(settings), done: make(chan struct{}), known: make(map[string]bool)}
	e.server = web.Server{Handler: e.routes(), Record: settings.Record}
	return e
}

func defaults(settings Settings) Settings {
	orInt := func(value *int, other int) {
		if *value == 0 {
			*value = other
		}
	}
	orInt(&settings.Slots, DefaultSlots)
	orInt(&settings.Waiting, DefaultWaiting)
	orInt(&settings.Burst, DefaultBurst)
	orInt(&settings.Prefill, DefaultPrefill)
	orInt(&settings.Cache, DefaultCache)
	if settings.Step == 0 {
		settings.Step = DefaultStep
	}
	if settings.Faults == nil {
		settings.Faults = &fault.Script{}
	}
	if settings.Now == nil {
		settings.Now = time.Now
	}
	return settings
}

func (e *Engine) routes() http.Handler {
	router := echo.New()
	add := func(method, path string, do http.HandlerFunc) {
		router.Add(method, path, echo.WrapHandler(do))
	}
	add(http.MethodPost, "/v1/run", e.run)
	add(http.MethodPost, "/v1/cancel", e.cancel)
	add(http.MethodPost, "/v1/export", e.export)
	add(http.MethodPost, "/v1/commands", e.command)
	add(http.MethodGet, "/v1/state", e.state)
	add(http.MethodGet, "/v1/cache", e.cacheEvents)
	return router
}

// Start listens on the address, IP:port; port 0 picks a free one.
func (e *Engine) Start(address string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.server.Start(address); err != nil {
		return err
	}
	e.begin()
	return nil
}

// begin makes the state of a new process and runs its batch.
func (e *Engine) begin() {
	b := &boot{
		id:      uuid.NewString(),
		gone:    make(chan struct{}),
		wake:    make(chan struct{}, 1),
		model:   e.settings.Model,
		version: e.settings.Version,
	}
	b.cache = cache{limit: e.settings.Cache, lose: e.loses}
	e.boot = b
	go e.loop(b)
}

func (e *Engine) loses() bool {
	_, due := e.settings.Faults.Take(Cache, "", fault.Gapped)
	return due
}

// Crash ends the process at once: its connections, generations and cache are
// lost. It starts again after Settings.Restart, or by Restart.
func (e *Engine) Crash() {
	if !e.fall() {
		return
	}
	if wait := e.settings.Restart; wait > 0 {
		time.AfterFunc(wait, func() { _ = e.Restart() })
	}
}

func (e *Engine) fall() bool {
	e.mu.Lock()
	b := e.boot
	if b == nil {
		e.mu.Unlock()
		return false
	}
	e.boot = nil
	e.counts.Crashes++
	close(b.gone)
	e.mu.Unlock()
	e.server.Stop()
	return true
}

// Restart starts a crashed process again, on the same address and with a new
// Boot.
func (e *Engine) Restart() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed || e.boot != nil {
		return nil
	}
	if err := e.server.Restart(); err != nil {
		return err
	}
	e.begin()
	return nil
}

// Close stops the engine for good.
func (e *Engine) Close() {
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return
	}
	e.closed = true
	if e.boot != nil {
		close(e.boot.gone)
		e.boot = nil
	}
	e.mu.Unlock()
	e.server.Stop()
	close(e.done)
}

// Leave makes the engine refuse new generations.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// URL returns the base URL.
func (e *Engine) URL() string { return e.server.URL() }

// Done is closed by Close.
func (e *Engine) Done() <-chan struct{} { return e.done }

// Faults returns the script of faults.
func (e *Engine) Faults() *fault.Script { return e.settings.Faults }

// Received returns the recorded bytes.
func (e *Engine) Received() []byte { return e.server.Received() }

// Counts returns what the engine did so far.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Commands returns the accepted commands, repeats left out.
func (e *Engine) Commands() []engine.Command {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]engine.Command(nil), e.commands...)
}
