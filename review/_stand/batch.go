package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// Item is an item of a batch as a trainer sends it.
type Item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
	Group   string            `json:"group"`
}

// Batch is a batch job as a trainer sends it.
type Batch struct {
	ID         string `json:"-"`
	Step       int    `json:"step"`
	Model      string `json:"model"`
	MinVersion uint64 `json:"min_version"`
	Desired    int    `json:"desired"`
	Items      []Item `json:"items"`
}

// newBatch returns a batch of groups of four items with bodies of the given size.
func newBatch(step, groups, bodyBytes int) Batch {
	b := Batch{ID: randomID(), Step: step, Model: "m0", MinVersion: 1, Desired: (groups*9 + 9) / 10}
	for g := range groups {
		for range 4 {
			item := Item{ID: randomID(), Tokens: 1026, Group: fmt.Sprintf("g%d", g), Body: make([]byte, bodyBytes)}
			item.Path = "/rollout/" + item.ID[:4]
			item.Headers = map[string]string{"X-Model": "m0", "X-Token-Usage": "1016,400", "X-Prompt-Prefix": fmt.Sprintf("%06x:1000,%s:16", g, item.ID[:6])}
			for i := range item.Body {
				item.Body[i] = byte(rand.Uint32())
			}
			b.Items = append(b.Items, item)
		}
	}
	return b
}

func (b Batch) encode() []byte {
	raw, err := json.Marshal(b)
	if err != nil {
		panic(err)
	}
	return raw
}

// Page is a page of results.
type Page struct {
	Total   int `json:"total"`
	Next    int `json:"next"`
	Results []struct {
		ID    string `json:"id"`
		State string `json:"state"`
		Text  string `json:"text"`
	} `json:"results"`
}

// readBatch reads a page of results from a position on.
func readBatch(h *Host, key, id string, after int) (Page, Answer) {
	a := call(h, http.MethodGet, fmt.Sprintf("/api/lots/%s?after=%d", id, after), key, "", map[string]string{"X-Wait-Ms": "500"}, nil, 2500*time.Millisecond)
	var page Page
	if a.Err == nil && a.Status == http.StatusOK {
		a.Err = json.Unmarshal(a.Body, &page)
	}
	return page, a
}

// listedItems reads all results of a batch that are listed now, asking the hosts in turn
// until one answers.
func listedItems(hosts []*Host, key, id string) (map[string]string, error) {
	listed := map[string]string{}
	after, failures := 0, 0
	for {
		page, a := readBatch(hosts[rand.IntN(len(hosts))], key, id, after)
		if a.Err != nil || a.Status != http.StatusOK {
			if failures++; failures > 10 {
				return listed, fmt.Errorf("batch %s can't be read: %v", id, a)
			}
			time.Sleep(200 * time.Millisecond)
			continue
		}
		for _, result := range page.Results {
			listed[result.ID] = result.State
		}
		after = page.Next
		if len(page.Results) == 0 || after >= page.Total {
			return listed, nil
		}
	}
}

// config returns a configuration of the operator with the routes "plain" and "rollout".
func config(version int, plainKind string, plainTimeoutMS int, rollout map[string]any, services []any) map[string]any {
	plain := map[string]any{
		"name": "r-plain", "host": hostName, "path_prefix": "/plain/", "kind": plainKind, "timeout_ms": plainTimeoutMS,
		"target_latency_ms": 400, "priority": 2, "service": "app", "max_attempts": 3, "public": false,
	}
	route := map[string]any{
		"name": "r-rollout", "host": hostName, "path_prefix": "/rollout/", "kind": "rollout", "timeout_ms": 10000, "target_latency_ms": 400,
		"priority": 1, "max_attempts": 3, "public": false, "run_deadline_ms": 7500, "item_ttl_s": 120,
	}
	for name, value := range rollout {
		route[name] = value
	}
	return map[string]any{
		"version": version, "routes": []any{plain, route}, "services": append([]any{map[string]any{"name": "app", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false}}, services...),
		"limits":  map[string]int{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "kaje80", "api_keys": []string{apiKey}, "priority": 1}},
	}
}

// apiKey is the key of the only tenant.
const apiKey = "i9n73hh2b9wu3fexd9dn"

// llm returns the configuration of a service of engines.
func llm(name string) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/healthz", "max_connections": 180, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 16, "kv_capacity": 144391, "models": []any{map[string]any{"name": "m0"}}},
	}
}
