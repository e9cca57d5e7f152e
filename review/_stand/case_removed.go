package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"syscall"
	"time"
)

func init() { cases["removed"] = removedCase }

const (
	fleet       = 4                // entry hosts at any time
	openBatches = 8                // steps that are open when the last machine is removed
	runDeadline = 20 * time.Second // of the route
	contact     = 3 * time.Second  // contact_ms
	idleBound   = 5 * time.Second  // of the rule
)

// rounds is how often the whole fleet is replaced before the last removal.
func rounds() int {
	if n, err := strconv.Atoi(os.Getenv("ROUNDS")); err == nil {
		return n
	}
	if !trouble {
		return 0
	}
	return 12
}

// removedCase replaces the machines of the fleet, one generation after the other, by machines
// with new names and addresses, and then removes the machine that runs some steps. Others
// have to run what is missing.
func removedCase(rec *Record) ([]string, error) {
	site, err := newSite(rec)
	if err != nil {
		return nil, err
	}
	defer site.close()
	site.Store.Set("config", "main", config(3, "safe", 1500, map[string]any{"service": "quote-llm", "run_deadline_ms": runDeadline.Milliseconds()}, []any{llm("quote-llm")}))
	const slots = 64
	var engines []*Server
	for i := range 4 {
		engines = append(engines, &Server{Name: fmt.Sprintf("i-e%d", i), Service: "quote-llm", Zone: []string{"za", "zb"}[i%2], Model: "m0", Slots: slots, Events: 40, Gap: 100 * time.Millisecond, Store: site.Store, Rec: rec})
		if err := engines[i].start(); err != nil {
			return nil, err
		}
	}
	generation := func(first bool) ([]*Host, error) {
		var hosts []*Host
		for i := range fleet {
			zone := []string{"za", "zb"}[i%2]
			h := site.newHost(fmt.Sprintf("edge-%s-%d", zone, site.next/2+1), zone)
			if err := h.start(first); err != nil {
				return nil, err
			}
			hosts = append(hosts, h)
		}
		return hosts, awaitReady(15*time.Second, hosts...)
	}
	live, err := generation(true)
	if err != nil {
		return nil, err
	}
	for range rounds() {
		next, err := generation(false)
		if err != nil {
			return nil, err
		}
		for _, h := range live {
			h.signal(syscall.SIGTERM) // removed for good, as planned
		}
		live = next
		time.Sleep(500 * time.Millisecond)
	}
	for _, h := range site.Hosts[:len(site.Hosts)-fleet] {
		if !h.awaitExit(10 * time.Second) {
			return nil, fmt.Errorf("host %s does not stop", h.Name)
		}
	}
	time.Sleep(contact) // all are in touch again

	var batches []Batch
	submitted := time.Now()
	for range openBatches {
		b := newBatch(0, 2, 600)
		a := call(live[0], "POST", "/rollout/"+b.ID[:6], apiKey, b.ID, nil, b.encode(), 3*time.Second)
		rec.logf("client: batch %s of %d items at %s: %v", b.ID, len(b.Items), live[0].Name, a)
		if a.Status != 202 {
			return nil, fmt.Errorf("batch %s: %v", b.ID, a)
		}
		batches = append(batches, b)
	}
	time.Sleep(1500 * time.Millisecond)
	victim := owner(site, live, batches[0].ID)
	if victim == nil {
		return nil, fmt.Errorf("no live host runs batch %s", batches[0].ID)
	}
	lost := time.Now()
	if trouble {
		rec.logf("machine %s is removed for good", victim.Name)
		victim.signal(syscall.SIGKILL)
	}
	var left []*Host
	for _, h := range live {
		if h != victim || !trouble {
			left = append(left, h)
		}
	}
	time.Sleep(time.Until(submitted.Add(runDeadline)))
	rec.logf("the steps have run out of time; %d requests are at the servers, which have %d places", rec.running(), slots*len(engines))
	underHalf := 2*rec.running() < slots*len(engines)
	var broken []string
	for _, b := range batches {
		listed, err := listedItems(left, apiKey, b.ID)
		idle, begun := 0, 0
		for _, item := range b.Items {
			runs := rec.of(item.ID)
			if len(runs) > 0 {
				begun++
			}
			if listed[item.ID] == "" && idleSince(runs, lost.Add(contact)) >= idleBound {
				idle++
			}
		}
		rec.logf("batch %s: %d of %d items listed, %d had begun, %d at no server for %v of steady state; reading: %v", b.ID, len(listed), len(b.Items), begun, idle, idleBound, err)
		if idle > 0 && begun > 0 && underHalf {
			broken = append(broken, fmt.Sprintf("LOST: the step of batch %s ran out of time with %d of %d items at no server for %v; all servers were idle", b.ID, idle, len(b.Items), idleBound))
		}
	}
	if len(broken) > 0 {
		time.Sleep(20 * time.Second)
		rec.logf("20 s later:")
		for _, b := range batches {
			listed, err := listedItems(left, apiKey, b.ID)
			rec.logf("batch %s: %d of %d items listed; reading: %v", b.ID, len(listed), len(b.Items), err)
		}
	}
	return broken, nil
}

// idleSince returns how long an item that no server has finished has been at no server, not
// counting the time before the given instant. It is zero for an item that one has finished.
func idleSince(runs []Run, since time.Time) time.Duration {
	for _, run := range runs {
		if run.finished || !run.done {
			return 0
		}
		if run.ended.After(since) {
			since = run.ended
		}
	}
	return time.Since(since)
}

// owner returns the host that the platform's store names as the one that runs a batch.
func owner(site *Site, live []*Host, id string) *Host {
	raw, _ := site.Store.Get("hyssopwall-batches", id)
	var text string
	var record struct {
		Owner string `json:"owner"`
	}
	if json.Unmarshal(raw, &text) != nil || json.Unmarshal([]byte(text), &record) != nil {
		return nil
	}
	for _, h := range live {
		if h.Name == record.Owner {
			return h
		}
	}
	return nil
}
