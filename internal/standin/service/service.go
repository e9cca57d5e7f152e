// Package service is a stand-in for a plain service: it echoes what it gets,
// and counts how often each call was carried out, so that a test can tell a
// call that ran twice.
package service

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/hyssopwall/hyssopwall/internal/backend/service"
	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
	"github.com/hyssopwall/hyssopwall/internal/standin/fault"
	"github.com/hyssopwall/hyssopwall/internal/standin/web"
)

// Call is the only step.
const Call fault.Step = "call"

// The faults of a call, before and after it runs.
var (
	faultsBefore = []fault.Kind{fault.DropBefore, fault.Refuse, fault.Down, fault.Limit}
	faultsAfter  = []fault.Kind{fault.Crash, fault.DropAfter, fault.Crossed, fault.Truncated, fault.Corrupt, fault.Slow}
)

// Catalog lists the faults of a call.
func Catalog() fault.Catalog {
	return fault.Catalog{Call: slices.Concat([]fault.Kind{fault.Delay}, faultsBefore, faultsAfter)}
}

// HeaderKey names a call that its caller may send again.
const HeaderKey = "Idempotency-Key"

// Settings configures a stand-in. Answer, when set, makes the answer's body;
// otherwise the request's body comes back. A body with Poison crashes it, and
// it starts again after Restart; zero means never.
type Settings struct {
	Answer  func(path string, body []byte) []byte
	Slots   int // calls at once; zero for no bound
	Poison  string
	Restart time.Duration
	Record  bool
	Faults  *fault.Script
}

// Service is the stand-in. It gives no protection of its own against repeats.
type Service struct {
	settings Settings
	server   web.Server
	done     chan struct{}

	life   sync.Mutex // held while the service starts again or closes
	closed bool

	mu      sync.Mutex
	ran     map[string]int
	total   int
	running int
	peak    int
	crashes int
}

// New returns a service that doesn't listen yet.
func New(settings Settings) *Service {
	if settings.Faults == nil {
		settings.Faults = &fault.Script{}
	}
	s := &Service{settings: settings, done: make(chan struct{}), ran: make(map[string]int)}
	router := echo.New()
	router.Any("/*", echo.WrapHandler(http.HandlerFunc(s.call)))
	s.server = web.Server{Handler: router, Record: settings.Record}
	return s
}

// Start listens on the address, IP:port; port 0 picks a free one.
func (s *Service) Start(address string) error { return s.server.Start(address) }

// URL returns the base URL.
func (s *Service) URL() string { return s.server.URL() }

// Faults returns the script of faults.
func (s *Service) Faults() *fault.Script { return s.settings.Faults }

// Received returns the recorded bytes.
func (s *Service) Received() []byte { return s.server.Received() }

// Done is closed by Close.
func (s *Service) Done() <-chan struct{} { return s.done }

// Crash ends the process at once. Counts stay, since tests read them.
func (s *Service) Crash() {
	s.mu.Lock()
	s.crashes++
	s.mu.Unlock()
	s.server.Stop()
	if wait := s.settings.Restart; wait > 0 {
		time.AfterFunc(wait, func() { _ = s.Restart() })
	}
}

// Restart listens again on the same address, unless the service is closed or
// listens already.
func (s *Service) Restart() error {
	s.life.Lock()
	defer s.life.Unlock()
	if s.closed || s.server.Listening() {
		return nil
	}
	return s.server.Restart()
}

// Close stops the service for good.
func (s *Service) Close() {
	s.life.Lock()
	defer s.life.Unlock()
	s.server.Stop()
	if !s.closed {
		s.closed = true
		close(s.done)
	}
}

// Executions returns how often a call was carried out. Its name is its
// Idempotency-Key, or its body when it came without one.
func (s *Service) Executions(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[name]
}

// Total returns how many calls were carried out.
func (s *Service) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Doubled returns the names of the calls that were carried out more than once.
func (s *Service) Doubled() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := []string{}
	for name, count := range s.ran {
		if count > 1 {
			names = append(names, name)
		}
	}
	return names
}

// Crashes returns how often the service crashed.
func (s *Service) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

func name(r *http.Request, body []byte) string {
	if key := r.Header.Get(HeaderKey); key != "" {
		return key
	}
	return string(body)
}

// enter takes a slot for a call, and carries it out at once.
func (s *Service) enter(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.settings.Slots > 0 && s.running >= s.settings.Slots {
		return false
	}
	s.running++
	s.peak = max(s.peak, s.running)
	s.ran[name]++
	s.total++
	return true
}

func (s *Service) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, web.MaxBody))
	if err != nil {
		web.Drop()
	}
	id := r.Header.Get(service.HeaderRequest)
	w.Header().Set(service.HeaderRequest, id)
	if s.before(w, r, string(body)) {
		return
	}
	if !s.enter(name(r, body)) {
		web.Refuse(w, http.StatusServiceUnavailable, rest.Problem{Code: "busy", RetryAfterMillis: 1000})
		return
	}
	defer s.leave()
	s.answer(w, r, id, body)
}

// before brings about the faults that keep a call from running.
func (s *Service) before(w http.ResponseWriter, r *http.Request, subject string) bool {
	script := s.settings.Faults
	if rule, due := script.Take(Call, subject, fault.Delay); due {
		rule.Wait(r.Context())
	}
	rule, due := script.Take(Call, subject, faultsBefore...)
	if !due {
		return false
	}
	problem := rest.Problem{Code: "refused", RetryAfterMillis: 1000}
	switch rule.Kind {
	case fault.DropBefore:
		web.Drop()
	case fault.Refuse:
		web.Refuse(w, http.StatusServiceUnavailable, problem)
	case fault.Limit:
		web.Refuse(w, http.StatusTooManyRequests, problem)
	default:
		web.Fail(w, http.StatusServiceUnavailable, problem)
	}
	return true
}

// answer writes the answer of a call that has run.
func (s *Service) answer(w http.ResponseWriter, r *http.Request, id string, body []byte) {
	rule, _ := s.settings.Faults.Take(Call, string(body), faultsAfter...)
	if s.poisoned(body) || rule.Kind == fault.Crash {
		s.Crash()
		web.Drop()
	}
	out := body
	if s.settings.Answer != nil {
		out = s.settings.Answer(r.URL.Path, body)
	}
	w.Header().Set(service.HeaderDigest, service.Digest(out))
	switch rule.Kind {
	case fault.DropAfter:
		web.Drop()
	case fault.Crossed:
		w.Header().Set(service.HeaderRequest, id+"-other")
	case fault.Corrupt:
		out = append([]byte{'#'}, out...)
	case fault.Slow:
		rule.Wait(r.Context())
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	w.WriteHeader(http.StatusOK)
	if rule.Kind == fault.Truncated {
		web.Cut(w, out)
	}
	_, _ = w.Write(out)
}

func (s *Service) poisoned(body []byte) bool {
	return s.settings.Poison != "" && bytes.Contains(body, []byte(s.settings.Poison))
}
