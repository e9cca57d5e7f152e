package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Server is a stand-in for a backend server: an engine if Model is set, else a plain
// service.
type Server struct {
	Name, Service, Zone, Model string
	Slots                      int
	Events                     int                               // events of each text
	Gap                        time.Duration                     // between two events
	Work                       func(path string) time.Duration   // of a plain request
	Fails                      func(*http.Request) time.Duration // zero if a request doesn't fail
	Store                      *Store
	Rec                        *Record

	mu      sync.Mutex
	version uint64
	orders  int
	busy    bool
	running int
	born    int64
	address string
}

// start listens on a free port and registers the server in the store.
func (s *Server) start() error {
	listener, err := net.Listen("tcp", loopback(250)+":0")
	if err != nil {
		return err
	}
	s.address, s.born = listener.Addr().String(), time.Now().UnixMilli()
	s.version = max(1, s.version)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/report", s.report)
	mux.HandleFunc("POST /api/order", s.order)
	mux.HandleFunc("/", s.serve)
	go func() { _ = (&http.Server{Handler: mux}).Serve(listener) }()
	s.register()
	return nil
}

func (s *Server) models() []any {
	if s.Model == "" {
		return nil
	}
	return []any{map[string]any{"name": s.Model, "version": s.version, "adapters": []string{}}}
}

func (s *Server) register() {
	s.mu.Lock()
	entry := map[string]any{
		"service": s.Service, "address": s.address, "zone": s.Zone, "version": "v1", "slots": s.Slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 1, "born": s.born, "stage": "both",
	}
	if s.Model != "" {
		entry["models"] = s.models()
	}
	s.mu.Unlock()
	s.Store.Set("servers", s.Name, entry)
}

func (s *Server) report(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{
		"stage": "both", "models": s.models(), "busy": s.busy, "sequence": s.orders, "queued": 0, "running": s.running,
		"kv_used": 0, "kv_total": 100000, "handles": 0, "born": s.born,
	})
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op       string `json:"op"`
		Model    string `json:"model"`
		Version  uint64 `json:"version"`
		Holder   string `json:"holder"`
		Token    uint64 `json:"fencing_token"`
		Expected *int   `json:"expected"`
	}
	raw, _ := io.ReadAll(r.Body)
	if json.Unmarshal(raw, &o) != nil || o.Op != "version" || o.Holder == "" || o.Token == 0 || o.Model != s.Model {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if expect := r.Header.Get("X-Expect-Instance"); expect != "" && expect != s.Name {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.busy || o.Expected != nil && *o.Expected != s.orders:
		w.WriteHeader(http.StatusConflict)
	case s.version == o.Version:
		w.WriteHeader(http.StatusOK)
	default:
		s.orders++
		s.busy = true
		s.Rec.logf("engine %s: accepted order of version %d by %s, token %d", s.Name, o.Version, o.Holder, o.Token)
		time.AfterFunc(300*time.Millisecond, func() {
			s.mu.Lock()
			s.version, s.busy = o.Version, false
			s.mu.Unlock()
			s.register()
		})
		w.WriteHeader(http.StatusAccepted)
	}
}

func (s *Server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,0,%d", s.running, s.Slots)
}

// serve runs a request, after the checks that the pages demand.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	refuse := func(status int) {
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("X-Sampler-Load", s.load())
		w.WriteHeader(status)
	}
	if expect := r.Header.Get("X-Expect-Instance"); expect != "" && expect != s.Name {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	if s.running >= s.Slots || s.busy {
		s.mu.Unlock()
		refuse(http.StatusServiceUnavailable)
		return
	}
	s.running++
	version := s.version
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	run := s.Rec.begin(s, r, id, body)
	defer s.Rec.end(run)
	w.Header().Set("X-Sampler-Signature", fmt.Sprintf("%s.%s.%d", s.Name, id, run.number))
	w.Header().Set("X-Sampler-Load", s.load())
	if s.Fails != nil {
		if after := s.Fails(r); after > 0 {
			select {
			case <-time.After(after):
				s.Rec.finish(run)
				w.WriteHeader(http.StatusInternalServerError)
			case <-r.Context().Done():
			}
			return
		}
	}
	if s.Model == "" {
		select {
		case <-time.After(s.Work(r.URL.Path)):
		case <-r.Context().Done():
			return
		}
		s.Rec.finish(run)
		_, _ = w.Write([]byte("answer to " + id))
		return
	}
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("X-Weight-Versions", strconv.FormatUint(version, 10))
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	_ = out.Flush()
	for n := from + 1; n <= s.Events; n++ {
		select {
		case <-time.After(s.Gap):
		case <-r.Context().Done():
			return
		}
		if n == s.Events {
			s.Rec.finish(run) // before the last event, so that a result is never read earlier
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s.%d\n\n", n, id, n); err != nil || out.Flush() != nil {
			return
		}
	}
}
