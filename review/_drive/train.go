package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Settings of the trainers of all cases.
const (
	maxAttempts = 3
	model       = "m0"
	key         = "Token key1"
)

// item is an item of a batch job.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
	Group   string            `json:"group"`
	Scorer  map[string]any    `json:"scorer"`
}

// result is a result of an item as it is listed.
type result struct {
	ID       string `json:"id"`
	State    string `json:"state"`
	Text     string `json:"text"`
	Versions []int  `json:"versions"`
	Score    string `json:"score"`
}

// group returns the items of a group.
func group(name string, items ...string) []item {
	var all []item
	for _, id := range items {
		all = append(all, item{
			ID: id, Path: "/roll/" + id, Body: []byte("prompt of " + id), Tokens: 100, Group: name,
			Headers: map[string]string{"X-Model": model, "X-Token-Usage": "60,400", "X-Prompt-Prefix": fmt.Sprintf("%x:50,%x:10", name, id)},
			Scorer:  map[string]any{"id": "s-" + id, "host": "site.example", "path": "/score/" + id, "body": []byte("score " + id)},
		})
	}
	return all
}

// rolloutConfig is a configuration with a rollout route, a route for scorers and a plain one.
func rolloutConfig() map[string]any {
	config := map[string]any{
		"routes": []any{
			map[string]any{"name": "roll", "host": "site.example", "path_prefix": "/roll/", "kind": "rollout", "timeout_ms": 10000, "target_latency_ms": 400, "priority": 1, "max_attempts": maxAttempts, "run_deadline_ms": 7500, "item_ttl_s": 40, "service": "llm"},
			map[string]any{"name": "score", "host": "site.example", "path_prefix": "/score/", "kind": "safe", "timeout_ms": 2000, "target_latency_ms": 400, "priority": 2, "max_attempts": 4, "public": true, "service": "app"},
		},
		"services": []any{
			map[string]any{"name": "llm", "health_path": "/healthz", "max_connections": 180, "engine": map[string]any{"models": []any{map[string]any{"name": model}}}},
			map[string]any{"name": "app", "health_path": "/healthz", "max_connections": 110},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
		"tenants": []any{map[string]any{"name": "t1", "api_keys": []string{"key1"}}},
	}
	routes := config["routes"].([]any)
	for _, name := range trainerRoutes {
		routes = append(routes, map[string]any{"name": name, "host": "site.example", "path_prefix": "/" + name + "/", "kind": "rollout", "timeout_ms": 10000, "target_latency_ms": 400, "priority": 1, "max_attempts": maxAttempts, "run_deadline_ms": 7500, "item_ttl_s": 40, "service": "llm"})
	}
	config["routes"] = routes
	return config
}

// trainerRoutes are the routes of three trainers.
var trainerRoutes = []string{"score-mark", "score-alloy", "score-filigree"}

// step is a batch job of a trainer.
type step struct {
	site    *site
	id      string
	items   []item
	desired int
	must    []string // groups that came again
	route   string   // "roll" if empty
	results []result
	submit  time.Time
}

// groupsOf returns which groups are complete, and which aren't.
func (t *step) groups() (complete, open map[string]bool) {
	listed := map[string]bool{}
	for _, r := range t.results {
		listed[r.ID] = true
	}
	complete, open = map[string]bool{}, map[string]bool{}
	for _, i := range t.items {
		complete[i.Group] = true
	}
	for _, i := range t.items {
		if !listed[i.ID] {
			open[i.Group] = true
			delete(complete, i.Group)
		}
	}
	return complete, open
}

// done reports whether the trainer has what it waits for.
func (t *step) done() bool {
	complete, open := t.groups()
	for _, g := range t.must {
		if open[g] {
			return false
		}
	}
	return len(complete) >= t.desired
}

// send submits the batch job until it is accepted, each time at another host.
func (t *step) send(number, minVersion int, at func(n int) *host) bool {
	body, _ := json.Marshal(map[string]any{"step": number, "model": model, "min_version": minVersion, "desired": t.desired, "items": t.items})
	t.submit = time.Now()
	for n := range 20 {
		h := at(n)
		got := h.call("POST", "front", "/"+cmp.Or(t.route, "roll")+"/"+t.id, map[string]string{"Authorization": key, "X-Request-Id": t.id, "Content-Type": "application/json"}, body, 3*time.Second)
		t.site.logf("trainer: %s (step %d, %d items, min_version %d, desired %d) at %s: %d %v", t.id, number, len(t.items), minVersion, t.desired, h.name, got.status, got.err)
		if got.status == http.StatusAccepted {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// read reads the next results from a host.
func (t *step) read(h *host) {
	got := h.call("GET", "front", fmt.Sprintf("/api/lots/%s?after=%d", t.id, len(t.results)), map[string]string{"Authorization": key, "X-Wait-Ms": "300"}, nil, 2500*time.Millisecond)
	var page struct {
		Total, Next int
		Results     []result
	}
	if got.status != 200 || json.Unmarshal(got.body, &page) != nil {
		t.site.logf("trainer: read of %s at %s: %d %v", t.id, h.name, got.status, got.err)
		return
	}
	if len(page.Results) > 50 {
		t.site.logf("trainer: %s lists %d results from position %d on", t.id, len(page.Results), len(t.results))
	}
	for _, r := range page.Results[:min(len(page.Results), 50)] {
		t.site.logf("trainer: %s lists %s as %s, %d bytes, versions %v", t.id, r.ID, r.State, len(r.Text), r.Versions)
	}
	t.results = append(t.results, page.Results...)
}

// end ends the batch job.
func (t *step) end(at func(n int) *host) bool {
	for n := range 30 {
		h := at(n)
		got := h.call("DELETE", "front", "/api/lots/"+t.id, map[string]string{"Authorization": key}, nil, 3*time.Second)
		t.site.logf("trainer: end of %s at %s: %d %v", t.id, h.name, got.status, got.err)
		if got.status == 200 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// nameVersion names a version of the weights.
func (s *site) nameVersion(version int) {
	s.store.Set("versions", model, map[string]any{"model": model, "version": version})
	s.logf("trainer: version %d is named", version)
}

// ownerOf returns the host that runs a batch job, by the record that the system keeps in the store.
func (s *site) ownerOf(id string) *host {
	response, err := http.Get("http://" + s.storeAddr + "/api/objects/hyssopwall-batches/" + id)
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	var found struct {
		Spec string `json:"spec"`
	}
	var record struct {
		Owner string `json:"owner"`
	}
	if json.NewDecoder(response.Body).Decode(&found) != nil || json.Unmarshal([]byte(found.Spec), &record) != nil {
		return nil
	}
	for _, h := range s.hosts {
		if h.name == record.Owner {
			return h
		}
	}
	return nil
}

// rolloutSite starts hosts in four zones, four engines and two plain samplers.
func (s *site) rolloutSite(prepare func(m *sampler)) bool {
	s.config = rolloutConfig()
	s.writeConfig()
	zones := []string{"za", "zb", "zc", "zd"}
	for i := range s.hostCount {
		zone := zones[i%len(zones)]
		if s.addHost(fmt.Sprintf("edge-%s-%d", zone, i), zone).start() != nil {
			return false
		}
	}
	for i := range 6 {
		service, name, slots := "llm", model, 16
		if i >= 4 {
			service, name, slots = "app", "", 6
		}
		m := s.addSampler(service, zones[i%4], name, slots)
		m.gap = func(string) time.Duration { return 40 * time.Millisecond }
		m.events = func(string) int { return 10 }
		if prepare != nil {
			prepare(m)
		}
		if m.start() != nil {
			return false
		}
	}
	if !s.awaitReady(15 * time.Second) {
		return false
	}
	time.Sleep(contact)
	return true
}

// failing counts the answers of 500 to the items that fail at each run.
type failing struct {
	site *site
	long int // events of a long item

	mu       sync.Mutex
	answers  map[string]int
	arrivals map[string][]arrival
}

// arrival is an arrival of an item at a sampler.
type arrival struct {
	at      time.Time
	answers int // of 500 until then
}

// prepare makes a sampler answer 500 to the items whose names begin with dead, and run those whose
// names begin with long for many events.
func (f *failing) prepare(m *sampler) {
	m.gap = func(string) time.Duration { return 80 * time.Millisecond }
	m.events = func(id string) int {
		if strings.HasPrefix(id, "long") {
			return f.long
		}
		return 10
	}
	m.fails = func(id string, _ *http.Request) bool {
		if !strings.HasPrefix(id, "dead") {
			return false
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.arrivals[id] = append(f.arrivals[id], arrival{time.Now(), f.answers[id]})
		f.answers[id]++
		f.site.logf("sampler %s answers 500 to %s, for the %dth time", m.id, id, f.answers[id])
		return true
	}
}
