package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"syscall"
	"time"
)

func init() { cases["history"] = historyCase }

const (
	trainers     = 3   // of the site, each with a batch job each 4 s
	poinconMB    = 134 // memory_mb of its edge machines
	endsOfRule   = 3   // of a process, on two machines
	restartDelay = time.Second
	watchTime    = 70 * time.Second
)

// historyBatches is the number of batch jobs that were ended before: those of four days, or
// of an hour without the trouble.
func historyBatches() int {
	hours := 1
	if trouble {
		hours = 4 * 24
	}
	return trainers * hours * 3600 / 4
}

// historyCase restarts the hosts of a site that has served for some days. The platform
// ends each process that uses more than memory_mb and starts it again.
func historyCase(rec *Record) ([]string, error) {
	site, err := newSite(rec)
	if err != nil {
		return nil, err
	}
	defer site.close()
	site.MemoryMB = poinconMB
	site.Store.Set("config", "main", config(3, "safe", 1500, map[string]any{"service": "assay-models"}, []any{llm("assay-models")}))
	engine := &Server{Name: "i-e0", Service: "assay-models", Zone: "za", Model: "m0", Slots: 12, Events: 4, Gap: 20 * time.Millisecond, Store: site.Store, Rec: rec}
	if err := engine.start(); err != nil {
		return nil, err
	}
	for i := range 2 {
		if err := site.newHost(fmt.Sprintf("edge-z%c-1", 'a'+i), fmt.Sprintf("z%c", 'a'+i)).start(true); err != nil {
			return nil, err
		}
	}
	if err := awaitReady(15*time.Second, site.Hosts...); err != nil {
		return nil, err
	}
	// One batch job of the project's own making, from its submission to its end.
	b := newBatch(0, 2, 600)
	h := site.Hosts[0]
	a := call(h, "POST", "/rollout/"+b.ID[:6], apiKey, b.ID, nil, b.encode(), 3*time.Second)
	rec.logf("client: batch %s: %v", b.ID, a)
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(300 * time.Millisecond) {
		listed, err := listedItems(site.Hosts, apiKey, b.ID)
		if err == nil && len(listed) == len(b.Items) {
			break
		}
		if time.Now().After(end) {
			return nil, fmt.Errorf("batch %s: %d of %d listed, %w", b.ID, len(listed), len(b.Items), err)
		}
	}
	a = call(h, "DELETE", "/api/lots/"+b.ID, apiKey, "", nil, nil, 3*time.Second)
	rec.logf("client: end of batch %s: %v", b.ID, a)
	time.Sleep(time.Second)
	record, _ := site.Store.Get("hyssopwall-batches", b.ID)
	rec.logf("what stays of it in the store for good: %s", record)
	for _, h := range site.Hosts {
		now, _ := h.memoryMB()
		rec.logf("host %s uses %.0f MB", h.Name, now)
		h.signal(syscall.SIGTERM)
	}
	for _, h := range site.Hosts {
		if !h.awaitExit(10 * time.Second) {
			return nil, fmt.Errorf("host %s does not stop", h.Name)
		}
	}
	if err := site.Store.repeat("hyssopwall-batches", record, historyBatches()); err != nil {
		return nil, err
	}
	rec.logf("%d batch jobs were ended before, as this one was", historyBatches())

	ends := map[*Host]int{}
	for _, h := range site.Hosts {
		if err := h.start(false); err != nil {
			return nil, err
		}
	}
	for end := time.Now().Add(watchTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		enough := 0
		for _, h := range site.Hosts {
			if now, _ := h.memoryMB(); now > poinconMB {
				rec.logf("platform: host %s uses %.0f MB, more than %d, and is ended", h.Name, now, poinconMB)
				h.signal(syscall.SIGKILL)
				h.awaitExit(5 * time.Second)
				ends[h]++
				time.AfterFunc(restartDelay, func() { _ = h.start(false) })
			}
			if ends[h] >= endsOfRule {
				enough++
			}
		}
		if enough >= 2 {
			time.Sleep(restartDelay)
			return []string{fmt.Sprintf("Fault: the processes of %d of %d machines were ended %d times each, for memory over the limit of %d MB, with no disruption there", enough, len(site.Hosts), endsOfRule, poinconMB)}, nil
		}
	}
	for _, h := range site.Hosts {
		now, peak := h.memoryMB()
		rec.logf("host %s uses %.0f MB, %.0f at its peak; ended %d times", h.Name, now, peak, ends[h])
	}
	return nil, nil
}

// repeat adds copies of the record of a batch under other names. Each was submitted by one of the
// trainers four seconds before the next, the last one just now.
func (s *Store) repeat(kind string, spec json.RawMessage, copies int) error {
	var text string
	var record map[string]any
	if err := errors.Join(json.Unmarshal(spec, &text), json.Unmarshal([]byte(text), &record)); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kind(kind)
	now := time.Now()
	for i := range copies {
		record["submitted"] = now.Add(-time.Duration(i/trainers) * 4 * time.Second).UnixMilli()
		raw, err := json.Marshal(record)
		if err != nil {
			return err
		}
		if raw, err = json.Marshal(string(raw)); err != nil {
			return err
		}
		s.revision++
		name := randomID()
		k.objects[name] = &object{Metadata: metadata{Name: name, Revision: s.revision, Created: s.revision, Finalizers: []string{}}, Spec: raw}
		k.names = append(k.names, name)
	}
	sort.Strings(k.names)
	return nil
}
