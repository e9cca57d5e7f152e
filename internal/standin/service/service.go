// Package service is a stand-in for a plain service: it echoes the request body and
// counts the executions of each call, so that a test can detect a call that was
// executed twice.
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

// Call is the only step at which a service injects faults. Its subject is the request body.
const Call fault.Step = "call"

// The faults that a call can have before and after its execution.
var (
	faultsBefore = []fault.Kind{fault.DropBefore, fault.Refuse, fault.Down, fault.Limit}
	faultsAfter  = []fault.Kind{fault.Crash, fault.DropAfter, fault.Crossed, fault.Truncated, fault.Corrupt, fault.Slow}
)

// Catalog returns the kinds of faults that a call can have.
func Catalog() fault.Catalog {
	return fault.Catalog{Call: slices.Concat([]fault.Kind{fault.Delay}, faultsBefore, faultsAfter)}
}

// HeaderKey is the header with the idempotency key of a call.
const HeaderKey = "Idempotency-Key"

// Settings configures a service. Answer, when set, returns the response body;
// otherwise the request body is echoed. A request body that contains Poison crashes
// the service. After a crash it starts again once Restart has passed; zero means never.
// Record keeps the received bytes for Received. Nil Faults mean an empty script.
type Settings struct {
	Answer  func(path string, body []byte) []byte
	Slots   int // maximum number of concurrent calls; zero for no limit
	Poison  string
	Restart time.Duration
	Record  bool
	Faults  *fault.Script
}

// Service is a stand-in for a plain service. It doesn't deduplicate repeated calls.
type Service struct {
	settings Settings
	server   web.Server
	done     chan struct{}

	lifecycle sync.Mutex // held during Restart and Close
	closed    bool

	mu      sync.Mutex
	ran     map[string]int // executions by name of the call; see Executions
	total   int            // executions of all calls
	running int            // calls being executed
	peak    int            // maximum of running
	crashes int
}

// New returns a service that isn't listening yet.
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

// Received returns the bytes received so far, if Settings.Record is set.
func (s *Service) Received() []byte { return s.server.Received() }

// Done returns a channel that Close closes.
func (s *Service) Done() <-chan struct{} { return s.done }

// Crash simulates a crash of the process: the listener and all connections end at
// once. The counts stay, since tests read them. The service starts again after
// Settings.Restart, if set, or by a call of Restart.
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
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	if s.closed || s.server.Listening() {
		return nil
	}
	return s.server.Restart()
}

// Close stops the service permanently.
func (s *Service) Close() {
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	s.server.Stop()
	if !s.closed {
		s.closed = true
		close(s.done)
	}
}

// Executions returns how often a call was executed, including executions that ended in a
// crash. The name of a call is its Idempotency-Key, or its body if it has none.
func (s *Service) Executions(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[name]
}

// Total returns the number of executions of all calls.
func (s *Service) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Duplicates returns the names of the calls that were executed more than once, in no
// particular order.
func (s *Service) Duplicates() []string {
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

// callName returns the name under which a call is counted.
func callName(r *http.Request, body []byte) string {
	if key := r.Header.Get(HeaderKey); key != "" {
		return key
	}
	return string(body)
}

// begin takes a slot for a call and counts its execution. It returns false if no
// slot is free.
func (s *Service) begin(name string) bool {
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

// end frees the slot of a call.
func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// call handles a request to any path. A body above web.MaxBody drops the connection.
func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, web.MaxBody))
	if err != nil {
		web.Drop()
	}
	id := r.Header.Get(service.HeaderRequest)
	w.Header().Set(service.HeaderRequest, id)
	if s.injectBefore(w, r, string(body)) {
		return
	}
	if !s.begin(callName(r, body)) {
		web.Refuse(w, http.StatusServiceUnavailable, rest.Problem{Code: "busy", RetryAfterMillis: 1000})
		return
	}
	defer s.end()
	s.respond(w, r, id, body)
}

// injectBefore injects the faults that precede a call. It reports whether one of
// them prevented the execution.
func (s *Service) injectBefore(w http.ResponseWriter, r *http.Request, subject string) bool {
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

// respond writes the response to an executed call, with the faults that follow it. The id
// is the request ID that the caller sent.
func (s *Service) respond(w http.ResponseWriter, r *http.Request, id string, body []byte) {
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

// poisoned reports whether a body crashes the service.
func (s *Service) poisoned(body []byte) bool {
	return s.settings.Poison != "" && bytes.Contains(body, []byte(s.settings.Poison))
}
