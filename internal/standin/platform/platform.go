// Package platform is a stand-in for the platform: the object API, the supply
// of backend servers, usage reports, the host list and the weight store, on
// one address. A script injects faults into each kind of call.
package platform

import (
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"github.com/hyssopwall/hyssopwall/internal/standin/fault"
	"github.com/hyssopwall/hyssopwall/internal/standin/web"
)

// Defaults of Settings, and the period at which Tick is called.
const (
	DefaultReads     = 2000      // calls per second
	DefaultWrites    = 500       // calls per second
	DefaultDownloads = 4         // weight downloads per second
	DefaultBytes     = 256 << 10 // size of a set of weights in bytes
	tickPeriod       = 10 * time.Millisecond
)

// Starter starts and stops the backend servers that orders ask for. Its methods must not
// call the Platform, which is locked meanwhile.
type Starter interface {
	// Start runs the server and returns its address, IP:port or a URL.
	Start(server Server) (string, error)
	// Stop stops the named server immediately.
	Stop(name string)
}

// Settings configures a stand-in. Zero rates and zero Bytes mean the defaults, and nil
// Faults an empty script. A nil Now means the system clock. With any other clock, the
// caller must call Tick itself.
type Settings struct {
	Reads     float64       // calls per second
	Writes    float64       // calls per second
	Downloads float64       // weight downloads per second
	Bytes     uint64        // size of a set of weights
	HostLag   time.Duration // age of the host list that is returned
	Starter   Starter       // nil: no server is started, and the servers of orders have no address
	Now       func() time.Time
	Record    bool // keep the received bytes for Received
	Faults    *fault.Script
}

// Platform serves all interfaces of the platform from memory.
type Platform struct {
	settings Settings
	server   web.Server
	store    store
	reads    *rate.Limiter
	writes   *rate.Limiter
	loads    *rate.Limiter // of weight downloads
	done     chan struct{}
	once     sync.Once

	mu       sync.Mutex
	calls    map[Call]int
	cut      map[string]bool // by source of a call, see rest.HeaderSource
	outage   fault.Kind      // empty without an outage
	refused  int             // calls rejected by an outage or a cut
	supply   supplyState
	reports  reportState
	hosts    hostState
	releases map[string]release
}

// New returns a stand-in that isn't listening yet.
func New(settings Settings) *Platform {
	settings = defaults(settings)
	p := &Platform{
		settings: settings,
		reads:    newLimiter(settings.Reads),
		writes:   newLimiter(settings.Writes),
		loads:    rate.NewLimiter(rate.Limit(settings.Downloads), 1),
		done:     make(chan struct{}),
		calls:    make(map[Call]int),
		cut:      make(map[string]bool),
		releases: make(map[string]release),
	}
	p.server = web.Server{Handler: p.routes(), Record: settings.Record}
	return p
}

func defaults(settings Settings) Settings {
	if settings.Reads == 0 {
		settings.Reads = DefaultReads
	}
	if settings.Writes == 0 {
		settings.Writes = DefaultWrites
	}
	if settings.Downloads == 0 {
		settings.Downloads = DefaultDownloads
	}
	if settings.Bytes == 0 {
		settings.Bytes = DefaultBytes
	}
	if settings.Faults == nil {
		settings.Faults = &fault.Script{}
	}
	return settings
}

// newLimiter returns a rate limiter whose burst is one second of calls.
func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Start listens on the address, IP:port. Port 0 picks a free port. With the system clock,
// it also starts the calls of Tick.
func (p *Platform) Start(address string) error {
	if err := p.server.Start(address); err != nil {
		return err
	}
	if p.settings.Now == nil {
		go p.tick()
	}
	return nil
}

// tick calls Tick periodically until Close.
func (p *Platform) tick() {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.Tick()
		case <-p.done:
			return
		}
	}
}

// URL returns the base URL that all interfaces share.
func (p *Platform) URL() string { return p.server.URL() }

// Faults returns the script of faults.
func (p *Platform) Faults() *fault.Script { return p.settings.Faults }

// Received returns the bytes received so far, if Settings.Record is set.
func (p *Platform) Received() []byte { return p.server.Received() }

// Done returns a channel that Close closes.
func (p *Platform) Done() <-chan struct{} { return p.done }

// Close stops the stand-in and closes all connections. It doesn't stop the backend
// servers.
func (p *Platform) Close() {
	p.once.Do(func() { close(p.done) })
	p.store.wake()
	p.server.Stop()
}

func (p *Platform) now() time.Time {
	if p.settings.Now != nil {
		return p.settings.Now()
	}
	return time.Now()
}

// routes maps each method and path to its kind of call and handler.
func (p *Platform) routes() http.Handler {
	e := echo.New()
	add := func(method, path string, call Call, run handler) {
		e.Add(method, path, echo.WrapHandler(p.admit(call, run)))
	}
	add(http.MethodGet, "/v1/object", Get, p.get)
	add(http.MethodPut, "/v1/object", Put, p.put)
	add(http.MethodDelete, "/v1/object", Delete, p.remove)
	add(http.MethodGet, "/v1/objects", List, p.list)
	add(http.MethodGet, "/v1/watch", Watch, p.watch)
	add(http.MethodPost, "/v1/orders", Place, p.place)
	add(http.MethodGet, "/v1/servers", Servers, p.servers)
	add(http.MethodPost, "/v1/reports", Report, p.report)
	add(http.MethodGet, "/v1/hosts", Hosts, p.listHosts)
	add(http.MethodGet, "/v1/weights", Newest, p.newest)
	add(http.MethodGet, "/v1/weights/data", Download, p.download)
	return e
}
