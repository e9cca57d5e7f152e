package main

import (
	"fmt"
	"syscall"
	"time"

	"github.com/hyssopwall/hyssopwall/platform/soak"
)

// trainFailing runs steps of a trainer whose group "g" comes again in each of them, since one of its
// items takes longer than the trainer waits. The other item of the group fails at each run. It returns
// false if a step couldn't be submitted or ended, or if the group became complete.
func (s *site) trainFailing(steps int, giveUp time.Duration, during func(number int, t *step)) bool {
	const every = 4 * time.Second
	began := time.Now()
	again := group("g", "dead", "long")
	for number := range steps {
		time.Sleep(time.Until(began.Add(time.Duration(number) * every)))
		t := &step{site: s, id: fmt.Sprintf("lot%d", number), desired: 3, items: again}
		if number > 0 {
			t.must = []string{"g"}
		}
		for g := range 3 {
			name := fmt.Sprintf("f%d-%d", number, g)
			t.items = append(t.items, group(name, name+"-a", name+"-b")...)
		}
		anyHost := func(n int) *host { return s.hosts[(number+n)%len(s.hosts)] }
		if !t.send(number, max(1, number), anyHost) {
			return false
		}
		if during != nil {
			go during(number, t)
		}
		for n := 0; time.Since(t.submit) < giveUp && !t.done(); n++ {
			t.read(anyHost(n))
			time.Sleep(400 * time.Millisecond)
		}
		complete, _ := t.groups()
		s.logf("trainer: %s has %d complete groups, the one that comes again is complete: %v", t.id, len(complete), complete["g"])
		if !t.end(anyHost) || complete["g"] {
			return false
		}
		time.Sleep(500 * time.Millisecond)
		s.nameVersion(number + 2)
	}
	return true
}

// checkFailing checks that no item reached a sampler again after three times max_attempts answers of
// 500. All machines are in touch by then.
func (s *site) checkFailing(f *failing) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, all := range f.arrivals {
		for n, a := range all {
			if a.answers >= 3*maxAttempts {
				s.breaks("BUDGET: item %s reached a sampler for the %dth time, after %d answers of 500; %d are the most", id, n+1, a.answers, 3*maxAttempts)
			}
		}
		s.logf("item %s reached samplers %d times, which answered 500 %d times", id, len(all), f.answers[id])
	}
}

// newFailing returns a count of failures.
func (s *site) newFailing(long int) *failing {
	return &failing{site: s, long: long, answers: map[string]int{}, arrivals: map[string][]arrival{}}
}

// takenOverCase kills one process, that which runs the second step, and starts it again half a second
// later.
func takenOverCase(s *site, trouble bool) bool {
	f := s.newFailing(130)
	if !s.rolloutSite(f.prepare) {
		return false
	}
	ok := s.trainFailing(4, 7500*time.Millisecond, func(number int, t *step) {
		if number != 1 || !trouble {
			return
		}
		time.Sleep(1500 * time.Millisecond)
		h := s.ownerOf(t.id)
		if h == nil {
			s.logf("nobody runs %s", t.id)
			return
		}
		s.logf("%s, which runs %s, is killed", h.name, t.id)
		h.signal(syscall.SIGKILL)
		<-h.done
		time.Sleep(500 * time.Millisecond)
		if err := h.start(); err != nil {
			s.logf("%s can't start: %v", h.name, err)
		}
	})
	s.checkFailing(f)
	return ok
}

// outageCase takes the platform's store down for 5.7 s while the trainer ends its second step.
func outageCase(s *site, trouble bool) bool {
	const giveUp = 12 * time.Second
	f := s.newFailing(186)
	if !s.rolloutSite(f.prepare) {
		return false
	}
	ok := s.trainFailing(4, giveUp, func(number int, t *step) {
		if number != 1 || !trouble {
			return
		}
		time.Sleep(time.Until(t.submit.Add(giveUp - 100*time.Millisecond)))
		s.logf("the platform's store is down")
		s.store.SetFault(soak.Busy)
		time.Sleep(5700 * time.Millisecond)
		s.store.SetFault(soak.NoFault)
		s.logf("the platform's store is back")
	})
	s.checkFailing(f)
	return ok
}
