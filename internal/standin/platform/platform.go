// Package platform is a stand-in for the platform: the object API, the supply
// of backend servers, usage reports, the host list and the weight store, on
// one address. Faults at each step come from a script.
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

// Defaults of Settings.
const (
	DefaultReads     = 2000      // calls per second
	DefaultWrites    = 500       // calls per second
	DefaultDownloads = 4         // weight downloads per second
	DefaultBytes     = 256 << 10 // size of a set of weights
	tickPeriod       = 10 * time.Millisecond
)

// Starter runs backend servers for the platform.
type Starter interface {
	// Start runs the server and returns its address, IP:port or a URL.
	Start(server Server) (string, error)
	// Stop ends it at once.
	Stop(name string)
}

// Settings configures a stand-in. Zero rates mean the defaults. A nil Now means
// the system clock; with a clock of its own, the owner calls Tick.
type Settings struct {
	Reads     float64
	Writes    float64
	Downloads float64
	Bytes     uint64
	HostLag   time.Duration // age of the host list that is shown
	Starter   Starter
	Now       func() time.Time
	Record    bool
	Faults    *fault.Script
}

// Platform is the stand-in.
type Platform struct {
	settings Settings
	server   web.Server
	store    store
	reads    *rate.Limiter
	writes   *rate.Limiter
	loads    *rate.Limiter
	done     chan struct{}
	once     sync.Once

	mu       sync.Mutex
	calls    map[Call]int
	cut      map[string]bool
	outage   fault.Kind
	refused  int // calls that met an outage or a cut
	supply   supplyState
	reports  reportState
	hosts    hostState
	releases map[string]release
}

// New returns a stand-in that doesn't listen yet.
func New(settings Settings) *Platform {
	settings = defaults(settings)
	p := &Platform{
		settings: settings,
		reads:    limiter(settings.Reads),
		writes:   limiter(settings.Writes),
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

// limiter allows a burst of one second.
func limiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Start listens on the address, IP:port; port 0 picks a free one.
func (p *Platform) Start(address string) error {
	if err := p.server.Start(address); err != nil {
		return err
	}
	if p.settings.Now == nil {
		go p.tick()
	}
	return nil
}

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

// URL returns the base URL of every interface.
func (p *Platform) URL() string { return p.server.URL() }

// Faults returns the script of faults.
func (p *Platform) Faults() *fault.Script { return p.settings.Faults }

// Received returns the recorded bytes.
func (p *Platform) Received() []byte { return p.server.Received() }

// Done is closed by Close.
func (p *Platform) Done() <-chan struct{} { return p.done }

// Close stops the stand-in and every connection. It doesn't stop the backend
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

func (p *Platform) routes() http.Handler {
	e := echo.New()
	add := func(method, path string, call Call, do handler) {
		e.Add(method, path, echo.WrapHandler(p.admit(call, do)))
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
