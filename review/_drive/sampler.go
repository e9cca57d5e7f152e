package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// sampler is the stand-in of a sampler, an engine if it has a model.
type sampler struct {
	site              *site
	id, service, zone string
	model             string
	address           string
	slots             int
	gap               func(item string) time.Duration // between two events
	events            func(item string) int
	work              time.Duration // of a plain request
	fails             func(id string, r *http.Request) bool
	onRun             func(id string, r *http.Request)
	crashOn           func(id string) bool
	restartAfter      time.Duration
	version           atomic.Int64
	born              int64
	mu                sync.Mutex
	server            *http.Server
	running, sequence int
	incarnation       int
	eventBytes        int
}

var signatures atomic.Int64

// addSampler starts a sampler and registers it.
func (s *site) addSampler(service, zone, model string, slots int) *sampler {
	sm := &sampler{
		site: s, id: fmt.Sprintf("i-%s-%d", service, len(s.samplers)), service: service, zone: zone, model: model, slots: slots,
		address: fmt.Sprintf("%s%d:%d", s.network, 100+len(s.samplers), samplerPort), work: 25 * time.Millisecond, restartAfter: 2 * time.Second, eventBytes: 320,
	}
	sm.version.Store(1)
	s.samplers = append(s.samplers, sm)
	return sm
}

// start listens, and writes the entry in the store.
func (m *sampler) start() error {
	listener, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/report", m.report)
	mux.HandleFunc("POST /api/order", m.order)
	mux.HandleFunc("/", m.serve)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	m.mu.Lock()
	m.server, m.running, m.sequence, m.born = server, 0, 0, time.Now().UnixMilli()
	m.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	m.register("ready")
	return nil
}

// register writes the entry.
func (m *sampler) register(state string) {
	entry := map[string]any{
		"service": m.service, "address": m.address, "zone": m.zone, "version": "a", "slots": m.slots, "state": state,
		"cold_remaining_ms": 0, "sequence": 1, "born": m.born,
	}
	if m.model != "" {
		entry["models"] = m.models()
	}
	m.site.store.Set("servers", m.id, entry)
}

func (m *sampler) models() []any {
	return []any{map[string]any{"name": m.model, "version": m.version.Load(), "adapters": []string{}}}
}

// crash closes the socket and all connections.
func (m *sampler) crash() {
	m.mu.Lock()
	server := m.server
	m.server = nil
	m.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// fall crashes the sampler; its entry goes after three heartbeats at the latest, and it comes back
// under a new id.
func (m *sampler) fall() {
	m.mu.Lock()
	if m.server == nil {
		m.mu.Unlock()
		return
	}
	m.mu.Unlock()
	m.crash()
	old := m.id
	time.AfterFunc(m.restartAfter, func() {
		m.site.store.Remove("servers", old)
		m.mu.Lock()
		m.incarnation++
		m.id = fmt.Sprintf("%s.%d", strings.SplitN(old, ".", 2)[0], m.incarnation)
		m.mu.Unlock()
		if err := m.start(); err != nil {
			m.site.logf("sampler %s can't start: %v", m.id, err)
		}
	})
}

func (m *sampler) report(w http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"stage": "both", "models": m.models(), "busy": false, "sequence": m.sequence, "queued": 0, "running": m.running, "kv_used": 0, "kv_total": 100000, "handles": 0})
}

func (m *sampler) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Version  int64 `json:"version"`
		Expected *int  `json:"expected"`
		Token    int64 `json:"fencing_token"`
		Holder   string
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(400)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if o.Expected != nil && *o.Expected != m.sequence {
		w.WriteHeader(409)
		return
	}
	if o.Version == m.version.Load() {
		w.WriteHeader(200)
		return
	}
	m.sequence++
	time.AfterFunc(300*time.Millisecond, func() {
		m.version.Store(o.Version)
		m.register("ready")
	})
	w.WriteHeader(202)
}

// eventText is the data of an event. All samplers agree on it.
func eventText(item string, n, size int) string {
	text := fmt.Sprintf("%s.%d.", item, n)
	return text + strings.Repeat("x", max(0, size-len(text)))
}

func (m *sampler) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	m.mu.Lock()
	name := m.id
	m.mu.Unlock()
	if expect := r.Header.Get("X-Expect-Instance"); expect != "" && expect != name {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(421)
		return
	}
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", name)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	m.mu.Lock()
	if m.running >= m.slots || m.server == nil {
		m.mu.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(503)
		return
	}
	m.running++
	w.Header().Set("X-Sampler-Load", fmt.Sprintf("%d,0,%d", m.running, m.slots))
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		m.running--
		m.mu.Unlock()
	}()
	if m.onRun != nil {
		m.onRun(id, r)
	}
	if m.crashOn != nil && m.crashOn(r.URL.Path) {
		m.site.logf("sampler %s begins %s %s and crashes", name, id, r.URL.Path)
		m.fall()
		panic(http.ErrAbortHandler)
	}
	if m.fails != nil && m.fails(id, r) {
		w.WriteHeader(500)
		return
	}
	w.Header().Set("X-Sampler-Signature", fmt.Sprintf("sig.%s.%d", id, signatures.Add(1)))
	if m.model == "" {
		time.Sleep(m.work)
		_, _ = w.Write(append([]byte(id+":"), body...))
		return
	}
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	version := m.version.Load()
	w.Header().Set("X-Weight-Versions", strconv.FormatInt(version, 10))
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	_ = out.Flush()
	for n := from + 1; n <= m.events(id); n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(m.gap(id)):
		}
		line := ""
		if now := m.version.Load(); now != version {
			version = now
			line = fmt.Sprintf("x-weight-versions: %d\n", version)
		}
		_, _ = fmt.Fprintf(w, "%sid: %d\ndata: %s\n\n", line, n, eventText(id, n, m.eventBytes))
		if out.Flush() != nil {
			return
		}
	}
}
