// Package engine implements a stand-in for a model engine. It batches continuously,
// caches prompt prefixes in limited memory, labels each event with the weights versions
// that computed it, and accepts commands. Its text depends only on prompt and seed, so
// a test can detect an answer that belongs to another request.
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

// Defaults of the fields of Settings.
const (
	DefaultSlots   = 8
	DefaultWaiting = 64
	DefaultStep    = 2 * time.Millisecond
	DefaultBurst   = 4
	DefaultPrefill = 16
	DefaultCache   = 1024
)

// The steps at which a fault script can inject faults. The subject of Run, Stream and
// Import is the prompt, that of Cancel and Export the ID of the generation, that of
// Command and Load the ID of the command. The subject of State and Cache is empty.
const (
	Run     fault.Step = "run"     // POST /v1/run, before the generation is queued
	Stream  fault.Step = "stream"  // the response stream of a generation
	Cancel  fault.Step = "cancel"  // POST /v1/cancel
	Export  fault.Step = "export"  // POST /v1/export
	Import  fault.Step = "import"  // the check of the cache that a resumed generation brings along
	Command fault.Step = "command" // POST /v1/commands
	Load    fault.Step = "load"    // the load of weights or an adapter after its command was accepted
	State   fault.Step = "state"   // GET /v1/state
	Cache   fault.Step = "cache"   // GET /v1/cache; for fault.Gapped, the recording of one cache event
)

// Settings configures a stand-in. Zero counts and a zero Step mean the defaults, a nil
// Faults an empty script, and a nil Now the system clock. If Ticks is set, each value
// received runs one step of the batch and Step is unused.
type Settings struct {
	Name          string
	Model         string
	Version       uint64 // weights version at each start; zero for none
	Slots         int    // limit of running generations
	Waiting       int    // limit of waiting generations
	Step          time.Duration
	Ticks         <-chan struct{}
	Burst         int           // tokens that one generation produces per step
	Prefill       int           // prompt blocks that one generation computes per step
	Cache         int           // capacity in prompt blocks
	KeepCache     bool          // keep cached blocks when the weights change
	LoadTime      time.Duration // duration of a load of weights or an adapter, besides the download
	LoadLag       time.Duration // age at which the reported load is refreshed
	CacheLag      time.Duration // delay until cache events are published
	Weights       string        // base URL of the weight store; if empty, nothing is downloaded
	IgnoreFencing bool          // accept commands of older epochs
	Poison        string        // a prompt with this text crashes the engine
	Restart       time.Duration // time from a crash to the next start; zero for never
	Record        bool          // record all received bytes
	Faults        *fault.Script
	Now           func() time.Time
}

// Counts holds the counters of an engine since New, across restarts.
type Counts struct {
	Started   int // generations admitted to a slot
	Canceled  int // generations canceled, exported, abandoned by their caller, or truncated by a fault
	Tokens    int // tokens generated
	Crashes   int
	Peak      int // maximum of generations running at once
	Hits      int // prompt blocks found in the cache
	Misses    int // prompt blocks not found in the cache
	Stale     int // accepted commands of an older epoch, including repeats
	LoadFails int // failed loads, including those that a crash ended
}

// Engine is a stand-in model engine that can be crashed and restarted. It remembers the
// commands and their greatest epoch across restarts.
type Engine struct {
	settings Settings
	server   web.Server
	done     chan struct{}

	mu       sync.Mutex
	closed   bool
	boot     *boot // nil while the process isn't running
	leaving  bool
	epoch    uint64 // greatest epoch of an accepted command
	counts   Counts
	commands []engine.Command
	known    map[string]bool // by ID of an accepted command
}

// boot is the state of one run of the process; a crash discards it.
type boot struct {
	id           string
	gone         chan struct{} // closed when the process ends
	wake         chan struct{} // signals that a generation was added
	model        string
	version      uint64
	target       uint64 // latest version commanded, possibly still loading
	adapters     []string
	role         string
	batch        batch
	cache        cache
	reportedLoad engine.State // load as last refreshed; see Settings.LoadLag
}

// New returns an engine; Start makes it listen.
func New(settings Settings) *Engine {
	e := &Engine{settings: defaults(settings), done: make(chan struct{}), known: make(map[string]bool)}
	e.server = web.Server{Handler: e.routes(), Record: settings.Record}
	return e
}

// defaults replaces zero settings by their defaults.
func defaults(settings Settings) Settings {
	setDefault := func(value *int, fallback int) {
		if *value == 0 {
			*value = fallback
		}
	}
	setDefault(&settings.Slots, DefaultSlots)
	setDefault(&settings.Waiting, DefaultWaiting)
	setDefault(&settings.Burst, DefaultBurst)
	setDefault(&settings.Prefill, DefaultPrefill)
	setDefault(&settings.Cache, DefaultCache)
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
	add := func(method, path string, handler http.HandlerFunc) {
		router.Add(method, path, echo.WrapHandler(handler))
	}
	add(http.MethodPost, "/v1/run", e.run)
	add(http.MethodPost, "/v1/cancel", e.cancel)
	add(http.MethodPost, "/v1/export", e.export)
	add(http.MethodPost, "/v1/commands", e.command)
	add(http.MethodGet, "/v1/state", e.state)
	add(http.MethodGet, "/v1/cache", e.cacheEvents)
	return router
}

// Start listens on an address of the form IP:port and starts the process. Port 0
// selects a free port. It returns an error if the process is running.
func (e *Engine) Start(address string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.server.Start(address); err != nil {
		return err
	}
	e.startProcess()
	return nil
}

// startProcess creates the state of a new process and starts its batch loop.
func (e *Engine) startProcess() {
	b := &boot{
		id:      uuid.NewString(),
		gone:    make(chan struct{}),
		wake:    make(chan struct{}, 1),
		model:   e.settings.Model,
		version: e.settings.Version,
	}
	b.cache = cache{limit: e.settings.Cache, dropEvent: e.dropsCacheEvent}
	e.boot = b
	go e.loop(b)
}

// dropsCacheEvent reports whether a fault drops the next cache event.
func (e *Engine) dropsCacheEvent() bool {
	_, due := e.settings.Faults.Take(Cache, "", fault.Gapped)
	return due
}

// Crash ends the process at once; its connections, generations and cache are lost. The
// process starts again after Settings.Restart, if set, or by a call of Restart.
func (e *Engine) Crash() {
	if !e.terminate() {
		return
	}
	if wait := e.settings.Restart; wait > 0 {
		time.AfterFunc(wait, func() { _ = e.Restart() })
	}
}

// terminate ends the process, counts a crash and closes the connections. It does nothing
// and returns false if the process is not running.
func (e *Engine) terminate() bool {
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

// Restart starts a crashed process again, on the same address and with a new ID in the
// field Boot of its state. It does nothing if the process is running or the engine is
// closed.
func (e *Engine) Restart() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed || e.boot != nil {
		return nil
	}
	if err := e.server.Restart(); err != nil {
		return err
	}
	e.startProcess()
	return nil
}

// Close stops the engine permanently.
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

// Leave makes the engine refuse new generations, also after a restart. Accepted
// generations go on. The state of the engine does not report it.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// URL returns the base URL of the engine.
func (e *Engine) URL() string { return e.server.URL() }

// Done returns a channel that Close closes.
func (e *Engine) Done() <-chan struct{} { return e.done }

// Faults returns the engine's fault script.
func (e *Engine) Faults() *fault.Script { return e.settings.Faults }

// Received returns all received bytes, if Settings.Record is set.
func (e *Engine) Received() []byte { return e.server.Received() }

// Counts returns a copy of the counters.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Commands returns the accepted commands in order, without repeats.
func (e *Engine) Commands() []engine.Command {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]engine.Command(nil), e.commands...)
}
