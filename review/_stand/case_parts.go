package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["parts"] = partsCase }

// The disruption: platform_lost, "x (.3) of the writes are done and not answered".
const (
	lostShare = 0.35
	lostFor   = 4500 * time.Millisecond
)

// nextService is the name of the second service of the route.
func nextService() string {
	if name := os.Getenv("NEXT"); name != "" {
		return name
	}
	return "quote-llm-new"
}

// partsCase submits large steps along a route that is split between two services while the
// store loses answers to writes. No server may run an
// item with another body than the trainer's, and each accepted item has to be listed or to give
// its body.
func partsCase(rec *Record) ([]string, error) {
	rec.quiet = true
	site, err := newSite(rec)
	if err != nil {
		return nil, err
	}
	defer site.close()
	site.Store.Set("config", "main", config(3, "safe", 1500, map[string]any{
		"traffic_split":   []any{map[string]any{"service": "quote-llm", "weight": 50}, map[string]any{"service": nextService(), "weight": 50}},
		"run_deadline_ms": 30000,
	}, []any{llm("quote-llm"), llm(nextService())}))
	for i, service := range []string{"quote-llm", "quote-llm", nextService(), nextService()} {
		engine := &Server{Name: fmt.Sprintf("i-e%d", i), Service: service, Zone: []string{"za", "zb", "zc"}[i%3], Model: "m0", Slots: 64, Events: 6, Gap: 15 * time.Millisecond, Store: site.Store, Rec: rec}
		if err := engine.start(); err != nil {
			return nil, err
		}
	}
	for i := range 6 {
		if err := site.newHost(fmt.Sprintf("edge-%d", i+1), []string{"za", "zb", "zc"}[i%3]).start(true); err != nil {
			return nil, err
		}
	}
	if err := awaitReady(15*time.Second, site.Hosts...); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)

	var losing atomic.Bool
	site.Store.LoseAnswer = func(string, string, string) bool { return losing.Load() && rand.Float64() < lostShare }
	if trouble {
		losing.Store(true)
		rec.logf("the store loses the answers to %.2f of the writes for %v", lostShare, lostFor)
		time.AfterFunc(lostFor, func() {
			losing.Store(false)
			rec.logf("the store answers all writes again")
		})
	}
	const batches = 10
	var group sync.WaitGroup
	accepted := make([]*Batch, batches)
	for i := range batches {
		group.Go(func() {
			b := newBatch(0, 512, 2000) // 2,048 samples
			if submit(rec, site.Hosts, b, 25*time.Second) {
				accepted[i] = &b
			}
		})
	}
	group.Wait()
	rec.logf("all submissions have ended")
	for _, h := range site.Hosts {
		now, peak := h.memoryMB()
		rec.logf("host %s: %.0f MB, %.0f MB at its peak", h.Name, now, peak)
	}

	var (
		mu     sync.Mutex
		broken []string
		end    = time.Now().Add(settleTime)
	)
	for _, b := range accepted {
		if b == nil {
			continue
		}
		group.Go(func() {
			found := checkBatch(rec, site.Hosts, *b, end)
			mu.Lock()
			defer mu.Unlock()
			broken = append(broken, found...)
		})
	}
	group.Wait()
	return broken, nil
}

// settleTime is how long after the submissions the batches get to complete; each takes some
// seconds.
const settleTime = 35 * time.Second

// checkBatch reads a batch until it is complete or the time is over, and then checks each item.
func checkBatch(rec *Record, hosts []*Host, b Batch, end time.Time) []string {
	var (
		listed map[string]string
		err    error
	)
	for {
		listed, err = listedItems(hosts, apiKey, b.ID)
		if err == nil && len(listed) == len(b.Items) || time.Now().After(end) {
			break
		}
		time.Sleep(time.Second)
	}
	ran := 0
	for _, item := range b.Items {
		if len(rec.of(item.ID)) > 0 {
			ran++
		}
	}
	rec.logf("batch %s: %d of %d items listed, %d began to run, reading: %v", b.ID, len(listed), len(b.Items), ran, err)
	return append(lostItems(rec, hosts, b, listed), changedItems(rec, b, listed)...)
}

// submit submits a batch as a trainer does: again at another host after each failure.
func submit(rec *Record, hosts []*Host, b Batch, limit time.Duration) bool {
	raw := b.encode()
	end := time.Now().Add(limit)
	last := -1
	for attempt := 1; time.Now().Before(end); attempt++ {
		at := rand.IntN(len(hosts))
		if at == last {
			at = (at + 1) % len(hosts)
		}
		last = at
		a := call(hosts[at], http.MethodPost, "/rollout/"+b.ID[:6], apiKey, b.ID, map[string]string{"Content-Type": "application/json"}, raw, 4*time.Second)
		rec.logf("client: batch %s (%d items, %d bytes), attempt %d at %s: %v", b.ID, len(b.Items), len(raw), attempt, hosts[at].Name, a)
		if a.Status == http.StatusAccepted {
			return true
		}
		after, _ := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
		time.Sleep(time.Duration(min(2, after)*1000)*time.Millisecond + 50*time.Millisecond)
	}
	return false
}

// How many bodies of a batch are asked for, and how often after failures.
const (
	bodiesAsked  = 3
	bodyAttempts = 4
)

// lostItems asks for the bodies of items that are not listed, again after each failure.
func lostItems(rec *Record, hosts []*Host, b Batch, listed map[string]string) []string {
	asked, lost := 0, 0
	var last Answer
	for _, item := range b.Items {
		if listed[item.ID] != "" {
			continue
		}
		if asked++; asked > bodiesAsked {
			break
		}
		given := false
		for range bodyAttempts {
			last = call(hosts[rand.IntN(len(hosts))], http.MethodGet, "/api/items/"+b.ID+"?id="+url.QueryEscape(item.ID), apiKey, "", nil, nil, 2500*time.Millisecond)
			rec.logf("client: body of item %s of batch %s: %v", item.ID, b.ID, last)
			if last.Err == nil && last.Status == http.StatusOK {
				given = sum(last.Body) == sum(item.Body)
				break
			}
			time.Sleep(300 * time.Millisecond)
		}
		if !given {
			lost++
		}
	}
	if lost == 0 {
		return nil
	}
	return []string{fmt.Sprintf("LOST: batch %s was accepted; %d of %d items are not listed, and %d of %d asked don't give their body (last: %v)",
		b.ID, len(b.Items)-len(listed), len(b.Items), lost, min(asked, bodiesAsked), last)}
}

// changedItems returns whether servers ran items with other bodies than the trainer's.
func changedItems(rec *Record, b Batch, listed map[string]string) []string {
	changed := 0
	var first string
	for _, item := range b.Items {
		for _, run := range rec.of(item.ID) {
			if run.bodySum == sum(item.Body) {
				continue
			}
			rec.logf("item %s of batch %s: sent with body %s of %d bytes, run %d at %s read body %s of %d bytes; the run ended: %t, listed as: %s",
				item.ID, b.ID, sum(item.Body), len(item.Body), run.number, run.server, run.bodySum, run.bodyBytes, run.finished, listed[item.ID])
			if changed++; changed == 1 {
				first = fmt.Sprintf("item %s at %s", item.ID, run.server)
			}
		}
	}
	if changed == 0 {
		return nil
	}
	return []string{fmt.Sprintf("UNASKED: %d runs of items of batch %s had another body than the trainer's, the first one %s", changed, b.ID, first)}
}
