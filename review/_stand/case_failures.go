package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["failures"] = failuresCase }

// Of the case: an item that fails at each run, and machines that are killed while they run it.
const (
	failAfter   = 1600 * time.Millisecond // how long a sampler works before its 500
	killedFor   = 3500 * time.Millisecond // for_s of node_kill
	maxFailures = 9                       // three times max_attempts
)

// failuresCase kills the process that runs a failing item, after two failures each time.
func failuresCase(rec *Record) ([]string, error) {
	site, err := newSite(rec)
	if err != nil {
		return nil, err
	}
	defer site.close()
	site.Store.Set("config", "main", config(3, "safe", 1500, map[string]any{"service": "quote-llm", "run_deadline_ms": 60000}, []any{llm("quote-llm")}))
	b := newBatch(0, 2, 600)
	failing := b.Items[0].ID
	for i := range 4 {
		engine := &Server{Name: fmt.Sprintf("i-e%d", i), Service: "quote-llm", Zone: []string{"za", "zb"}[i%2], Model: "m0", Slots: 16, Events: 20, Gap: 50 * time.Millisecond, Store: site.Store, Rec: rec}
		engine.Fails = func(r *http.Request) time.Duration {
			if r.Header.Get("X-Request-Id") == failing {
				return failAfter
			}
			return 0
		}
		if err := engine.start(); err != nil {
			return nil, err
		}
	}
	for i := range 6 {
		if err := site.newHost(fmt.Sprintf("edge-%d", i+1), []string{"za", "zb"}[i%2]).start(true); err != nil {
			return nil, err
		}
	}
	if err := awaitReady(15*time.Second, site.Hosts...); err != nil {
		return nil, err
	}
	time.Sleep(contact)
	a := call(site.Hosts[0], "POST", "/rollout/"+b.ID[:6], apiKey, b.ID, nil, b.encode(), 3*time.Second)
	rec.logf("client: batch %s, item %s always fails: %v", b.ID, failing, a)
	if a.Status != 202 {
		return nil, fmt.Errorf("batch: %v", a)
	}
	answers := func() (n int) {
		for _, run := range rec.of(failing) {
			if run.finished {
				n++
			}
		}
		return n
	}
	started := map[*Host]time.Time{}
	var current *Host
	since := 0 // answers before the current owner
	for end := time.Now().Add(70 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		n := answers()
		if now := owner(site, site.Hosts, b.ID); now != current {
			current, since = now, n
			rec.logf("%s runs the batch, after %d answers of 500", now.Name, n)
		}
		if n >= maxFailures+2 || !trouble && n >= 3 {
			break
		}
		if trouble && n < maxFailures && n >= since+2 {
			h := current
			h.signal(syscall.SIGKILL)
			h.awaitExit(time.Second)
			since = 1000
			time.AfterFunc(killedFor, func() {
				_ = h.start(false)
				rec.mu.Lock()
				started[h] = time.Now()
				rec.mu.Unlock()
			})
		}
	}
	rec.logf("%d answers of 500", answers())
	later := 0
	failed := 0
	for _, run := range rec.of(failing) {
		if failed >= maxFailures && current != nil && run.began.After(started[current].Add(contact)) {
			later++
		}
		if run.finished {
			failed++
		}
	}
	if later > 0 {
		return []string{fmt.Sprintf("BUDGET: item %s reached a sampler %d times after %d answers of 500, sent by %s, in touch", failing, later, maxFailures, current.Name)}, nil
	}
	return nil, nil
}
