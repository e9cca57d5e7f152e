package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const contact = 3 * time.Second // contact_ms

// poisonArrival is an arrival of the request at a sampler.
type poisonArrival struct {
	at      time.Time
	request string
	crashes int  // how many samplers the request had crashed before
	inTouch bool // the machine that sent it had been in touch
}

// poison is a request that crashes each sampler that begins to run it.
type poison struct {
	site *site

	mu         sync.Mutex
	arrivals   []poisonArrival
	crashes    int
	thirdCrash time.Time
	hostOf     map[string]*host     // by request
	startedAt  map[string]time.Time // by host
	sent       int                  // sound requests of another client
	served     int
}

// newPoison starts four hosts in four zones and eight samplers of a plain service.
func (s *site) newPoison() (*poison, bool) {
	p := &poison{site: s, hostOf: map[string]*host{}, startedAt: map[string]time.Time{}}
	s.config = map[string]any{
		"routes": []any{
			map[string]any{"name": "status", "host": "site.example", "path_prefix": "/status/", "kind": "safe", "timeout_ms": 4000, "target_latency_ms": 150, "priority": 2, "max_attempts": 2, "service": "app"},
		},
		"services": []any{map[string]any{"name": "app", "health_path": "/healthz", "max_connections": 110}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
		"tenants":  []any{map[string]any{"name": "t1", "api_keys": []string{"key1"}}, map[string]any{"name": "t2", "api_keys": []string{"key2"}}},
	}
	s.writeConfig()
	zones := []string{"za", "zb", "zc", "zd"}
	for i, zone := range zones {
		if s.addHost(fmt.Sprintf("edge-%s-%d", zone, i), zone).start() != nil {
			return nil, false
		}
	}
	for i := range 8 {
		m := s.addSampler("app", zones[i%4], "", 6)
		m.crashOn = func(path string) bool { return path == "/status/poison" }
		m.onRun = p.record
		if m.start() != nil {
			return nil, false
		}
	}
	if !s.awaitReady(15 * time.Second) {
		return nil, false
	}
	for _, h := range s.hosts {
		p.startedAt[h.name] = time.Now()
	}
	time.Sleep(contact)
	return p, true
}

// record records an arrival of the request.
func (p *poison) record(id string, r *http.Request) {
	if r.URL.Path != "/status/poison" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals = append(p.arrivals, poisonArrival{time.Now(), id, p.crashes, time.Since(p.startedAt[p.hostOf[id].name]) > contact})
	if p.crashes++; p.crashes == 3 {
		p.thirdCrash = time.Now()
	}
}

// send sends the request to a host.
func (p *poison) send(id string, h *host) {
	p.mu.Lock()
	p.hostOf[id] = h
	p.mu.Unlock()
	got := h.call("POST", "front", "/status/poison", map[string]string{"Authorization": "Token key1", "X-Request-Id": id, "X-Deadline-Ms": "1500"}, []byte("bad"), 1600*time.Millisecond)
	p.site.logf("client: %s at %s: %d %v, Retry-After %s", id, h.name, got.status, got.err, got.header.Get("Retry-After"))
}

// sendSound sends sound requests of another client, which show that the site serves, until stop is closed.
func (p *poison) sendSound(stop <-chan struct{}) {
	hosts := p.site.hosts
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		got := hosts[n%len(hosts)].call("POST", "front", "/status/sound", map[string]string{"Authorization": "Token key2", "X-Request-Id": fmt.Sprintf("sound-%d", n), "X-Deadline-Ms": "1500"}, []byte("lot"), 1600*time.Millisecond)
		p.mu.Lock()
		p.sent++
		if got.status == http.StatusOK {
			p.served++
		}
		p.mu.Unlock()
	}
}

// check checks the rule. It returns false if the case didn't come about.
func (p *poison) check() bool {
	const allowed = 3 // retries that may reach samplers once the third crash is contact old
	p.mu.Lock()
	defer p.mu.Unlock()
	late := 0
	for _, a := range p.arrivals {
		counted := p.crashes >= 3 && a.crashes >= 3 && a.at.Sub(p.thirdCrash) > contact && a.inTouch
		if counted {
			late++
		}
		p.site.logf("arrival of %s from %s after %d crashes, %.3f s after the third, counted %v", a.request, p.hostOf[a.request].name, a.crashes, a.at.Sub(p.thirdCrash).Seconds(), counted)
	}
	p.site.logf("the request crashed %d samplers; %d retries reached samplers later than contact_ms after the third crash, %d are allowed; sound requests served %d of %d", p.crashes, late, allowed, p.served, p.sent)
	if late > allowed {
		p.site.breaks("BUDGET: %d retries of a request that crashes samplers reached samplers later than contact_ms after it had crashed the third, %d are allowed", late, allowed)
	}
	return p.crashes >= 3 && p.served >= p.sent/2
}

// killedCase sends the request again and again, at one machine after the other. With trouble, all
// processes of the system are killed at once and started again after the request has been recognised.
func killedCase(s *site, trouble bool) bool {
	const (
		interval = 900 * time.Millisecond
		killAt   = 24 * time.Second
		length   = 62 * time.Second
	)
	p, ok := s.newPoison()
	if !ok {
		return false
	}
	stop := make(chan struct{})
	go p.sendSound(stop)
	began := time.Now()
	killed := !trouble
	for n := 0; time.Since(began) < length; n++ {
		if !killed && time.Since(began) >= killAt {
			killed = true
			if !p.killAll() {
				return false
			}
		}
		p.send(fmt.Sprintf("poison-%d", n), s.hosts[n%len(s.hosts)])
		time.Sleep(interval)
	}
	close(stop)
	return p.check()
}

// killAll kills all processes of the system, starts them again a second later and waits until they
// are in touch.
func (p *poison) killAll() bool {
	p.site.logf("all processes of the system are killed")
	for _, h := range p.site.hosts {
		h.kill()
	}
	time.Sleep(time.Second)
	for _, h := range p.site.hosts {
		if h.start() != nil {
			return false
		}
		p.mu.Lock()
		p.startedAt[h.name] = time.Now()
		p.mu.Unlock()
	}
	if !p.site.awaitReady(15 * time.Second) {
		return false
	}
	time.Sleep(contact + 500*time.Millisecond)
	return true
}

// manyCase sends the request four times in each round: with trouble at all machines at the same time,
// else at one after the other.
func manyCase(s *site, trouble bool) bool {
	const (
		round  = time.Second
		length = 30 * time.Second
	)
	p, ok := s.newPoison()
	if !ok {
		return false
	}
	stop := make(chan struct{})
	go p.sendSound(stop)
	began := time.Now()
	for n := 0; time.Since(began) < length; n++ {
		var group sync.WaitGroup
		for i, h := range s.hosts {
			group.Go(func() {
				if !trouble {
					time.Sleep(time.Duration(i) * round / 4)
				}
				p.send(fmt.Sprintf("poison-%d-%d", n, i), h)
			})
		}
		time.Sleep(time.Until(began.Add(time.Duration(n+1) * round)))
		group.Wait()
	}
	close(stop)
	return p.check()
}
