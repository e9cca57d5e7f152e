package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// memory plays the part of the platform that ends processes above their memory and starts them again.
type memory struct {
	site    *site
	limitMB int

	mu   sync.Mutex
	ends map[string]int // by host
	peak map[string]int
}

// rssMB returns the resident memory of a process in MB.
func rssMB(pid int) int {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(raw), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb >> 10
		}
	}
	return 0
}

// watch ends the process of a host whenever it uses more than the limit, and starts it a second later.
func (m *memory) watch(h *host, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		used := rssMB(h.cmd.Process.Pid)
		m.mu.Lock()
		m.peak[h.name] = max(m.peak[h.name], used)
		m.mu.Unlock()
		if used <= m.limitMB {
			continue
		}
		m.site.logf("%s uses %d MB, %d MB are allowed: its process is ended", h.name, used, m.limitMB)
		h.kill()
		m.mu.Lock()
		m.ends[h.name]++
		m.mu.Unlock()
		time.Sleep(time.Second)
		if err := h.start(); err != nil {
			m.site.logf("%s can't start: %v", h.name, err)
			return
		}
	}
}

// largeStep is a step of 2,048 samples with bodies of 3,600 bytes, which are scored with as much.
func (s *site) largeStep(id, route string) *step {
	const items, bodyBytes = 2048, 3600
	t := &step{site: s, id: id, route: route, desired: items / 8}
	for i := range items {
		one := group(fmt.Sprintf("%s-g%d", id, i/8), fmt.Sprintf("%s-%d", id, i))[0]
		one.Path = "/" + route + "/" + one.ID
		one.Body = []byte(strings.Repeat("a", bodyBytes))
		one.Scorer["body"] = []byte(strings.Repeat("b", bodyBytes))
		t.items = append(t.items, one)
	}
	return t
}

// memoryCase lets three trainers, each along its own route, ask steps; the next one when the one
// before is whole or 30 s old. With trouble each trainer has several steps open at a time, else only one
// trainer asks, one step at a time.
func memoryCase(s *site, trouble bool) bool {
	const (
		length   = 85 * time.Second
		patience = 30 * time.Second
		open     = 4 // steps of a trainer at a time
	)
	s.memoryMB, s.hostCount = 134, 8
	if !s.rolloutSite(func(m *sampler) {
		m.gap = func(string) time.Duration { return 20 * time.Millisecond }
		if m.model == "" {
			m.slots = 64
		}
	}) {
		return false
	}
	m := &memory{site: s, limitMB: s.memoryMB, ends: map[string]int{}, peak: map[string]int{}}
	stop := make(chan struct{})
	var watches, trainers sync.WaitGroup
	for _, h := range s.hosts {
		watches.Go(func() { m.watch(h, stop) })
	}
	count := 1
	if trouble {
		count = open * len(trainerRoutes)
	}
	began := time.Now()
	var mu sync.Mutex
	accepted, whole := 0, 0
	for c := range count {
		route := trainerRoutes[c%len(trainerRoutes)]
		trainers.Go(func() {
			time.Sleep(time.Duration(c) * 700 * time.Millisecond)
			for n := 0; time.Since(began) < length-10*time.Second; n++ {
				t := s.largeStep(fmt.Sprintf("%s-%d-%d", route, c, n), route)
				anyHost := func(n int) *host { return s.hosts[(c+n)%len(s.hosts)] }
				if !t.send(0, 1, anyHost) {
					continue
				}
				t.items = nil // they take memory here
				for r := 0; time.Since(t.submit) < patience && len(t.results) < 2048 && time.Since(began) < length; r++ {
					t.read(anyHost(r))
					time.Sleep(400 * time.Millisecond)
				}
				s.logf("trainer: %s has %d of 2048 results after %.1f s", t.id, len(t.results), time.Since(t.submit).Seconds())
				mu.Lock()
				accepted++
				if len(t.results) == 2048 {
					whole++
				}
				mu.Unlock()
				t.end(anyHost)
			}
		})
	}
	trainers.Wait()
	close(stop)
	watches.Wait()
	often := 0
	for _, h := range s.hosts {
		s.logf("%s: ended %d times, %d MB at the most", h.name, m.ends[h.name], m.peak[h.name])
		if m.ends[h.name] >= 3 {
			often++
		}
	}
	s.logf("%d steps were accepted, %d were whole", accepted, whole)
	if often >= 2 {
		s.breaks("Fault: processes ended by themselves three times, for memory over the limit, on %d of %d machines; two are too many", often, len(s.hosts))
	}
	return accepted > 0
}
