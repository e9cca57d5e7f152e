package pool_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/standin/cases"
)

func TestPool(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Pool Suite")
}

// script is one case: servers, what happens to them, and the servers that the
// requests then get, in order; an empty name stands for none.
type script struct {
	Pattern string
	Zone    string
	Servers []pool.Server
	Steps   []step
}

// step does one thing. Pick names the expected server; Pace, Load, Fail and
// Refuse apply to the server On, Put replaces its entry.
type step struct {
	Pick   *string
	Need   pool.Need
	Times  int
	Keep   bool // the place is not given back
	On     string
	Pace   int // milliseconds between events
	Load   *pool.Load
	Fail   bool
	Refuse bool
	Link   bool // the request's connection is left open
	Leave  bool // the server On says that it leaves
	Put    *pool.Server
	Remove bool
	After  int // milliseconds that pass first
}

var _ = Describe("the choice of a server", func() {
	all, err := cases.Load[script]("testdata/*.hujson")
	if err != nil {
		panic(err)
	}
	for _, c := range all {
		It(c.Name+": "+c.Data.Pattern, func() {
			now := time.Unix(1_800_000_000, 0)
			p := &pool.Pool{Zone: c.Data.Zone}
			Expect(p.HasList()).To(BeFalse())
			p.Replace(c.Data.Servers)
			for i, s := range c.Data.Steps {
				now = now.Add(time.Duration(s.After) * time.Millisecond)
				s.run(p, now, i)
			}
		})
	}
})

func (s step) run(p *pool.Pool, now time.Time, i int) {
	switch {
	case s.Put != nil:
		p.Put(*s.Put)
	case s.Remove:
		p.Remove(s.On)
	case s.Leave:
		for _, server := range p.Servers() {
			if server.Name == s.On {
				p.MarkLeaving(server)
			}
		}
	case s.On != "":
		s.change(p, now, i)
	}
	if s.Pick == nil {
		return
	}
	for range max(1, s.Times) {
		choice, ok := p.Pick(now, s.Need)
		Expect(ok).To(Equal(*s.Pick != ""), "step %d", i)
		if !ok {
			continue
		}
		Expect(choice.Server.Name).To(Equal(*s.Pick), "step %d", i)
		if s.Link {
			choice.KeepConnection()
		}
		if !s.Keep {
			choice.Release()
			choice.Release() // a second one changes nothing
		}
	}
}

// change lets a request meet the server.
func (s step) change(p *pool.Pool, now time.Time, i int) {
	need := s.Need
	for _, server := range p.Servers() {
		if server.Name == s.On {
			need.Service = server.Service
		} else {
			need.Avoid = append(need.Avoid, server.Name)
		}
	}
	choice, ok := p.Pick(now, need)
	Expect(ok).To(BeTrue(), "step %d", i)
	if s.Link {
		choice.KeepConnection()
	}
	if s.Pace > 0 {
		choice.RecordEventInterval(now, time.Duration(s.Pace)*time.Millisecond)
	}
	choice.Release()
	if s.Load != nil {
		choice.RecordLoad(now, *s.Load)
	}
	if s.Fail {
		choice.RecordFailure(now)
	}
	if s.Refuse {
		choice.RecordRefusal(now)
	}
}

var _ = Describe("a pool", func() {
	It("wakes waiters when a place is given back", func() {
		p := &pool.Pool{}
		p.Replace([]pool.Server{{Name: "a", Service: "s", Slots: 1}})
		choice, ok := p.Pick(time.Now(), pool.Need{Service: "s"})
		Expect(ok).To(BeTrue())
		changed := p.Changed()
		Expect(changed).NotTo(BeClosed())
		choice.Release()
		Expect(changed).To(BeClosed())
	})

	// Pattern: a server leaves while a request for it waits for a connection.
	It("says when a place that was chosen may be used no more", func() {
		p := &pool.Pool{}
		a := pool.Server{Name: "a", Service: "s", Slots: 1, Boot: 1}
		p.Replace([]pool.Server{a})
		chosen := func() *pool.Choice {
			choice, ok := p.Pick(time.Now(), pool.Need{Service: "s"})
			Expect(ok).To(BeTrue())
			choice.Release()
			Expect(choice.Check()).To(Succeed())
			return choice
		}
		choice := chosen()
		p.Remove("a")
		Expect(choice.Check()).To(BeAssignableToTypeOf(&pool.LeftError{}))
		p.Put(a)
		choice = chosen()
		p.Put(pool.Server{Name: "a", Service: "s", Slots: 1, Boot: 2})
		Expect(choice.Check()).To(BeAssignableToTypeOf(&pool.LeftError{}), "its address may be another's")
		choice = chosen()
		p.MarkLeaving(choice.Server)
		Expect(choice.Check()).To(BeAssignableToTypeOf(&pool.LeftError{}))
	})

	// Pattern: a roll-out of weights reads entries that change meanwhile.
	It("takes weights that were asked for into the entry as it is now", func() {
		p := &pool.Pool{}
		a := pool.Server{Name: "a", Service: "s", Slots: 1, Boot: 1}
		p.Replace([]pool.Server{a})
		draining := a
		draining.Draining = true
		p.Put(draining)
		p.SetVersions(a, map[string]uint64{"m": 2})
		Expect(p.Servers()).To(HaveExactElements(HaveField("Draining", true)))
		p.Remove("a")
		p.SetVersions(a, map[string]uint64{"m": 3})
		Expect(p.Servers()).To(BeEmpty(), "a server that is gone stays so")
	})

	It("learns newer weights from an answer before the list says so", func() {
		p := &pool.Pool{}
		p.Replace([]pool.Server{{Name: "a", Service: "s", Slots: 1, Versions: map[string]uint64{"m": 1}}})
		need := pool.Need{Service: "s", Model: "m", MinVersion: 2}
		Expect(p.UsableCount(need)).To(BeZero())
		choice, ok := p.Pick(time.Now(), pool.Need{Service: "s"})
		Expect(ok).To(BeTrue())
		choice.ObserveVersion("m", 2)
		Expect(p.UsableCount(need)).To(Equal(1))
	})

	It("knows the pace of the quickest other server that has room", func() {
		now := time.Now()
		p := &pool.Pool{}
		p.Replace([]pool.Server{{Name: "a", Service: "s", Slots: 1}, {Name: "b", Service: "s", Slots: 1}, {Name: "c", Service: "s", Slots: 1}})
		need := pool.Need{Service: "s"}
		slow, _ := p.Pick(now, pool.Need{Service: "s", Avoid: []string{"b", "c"}})
		fast, _ := p.Pick(now, pool.Need{Service: "s", Avoid: []string{"a", "c"}})
		other, _ := p.Pick(now, pool.Need{Service: "s", Avoid: []string{"a", "b"}})
		slow.RecordEventInterval(now, 100*time.Millisecond)
		fast.RecordEventInterval(now, 40*time.Millisecond)
		other.RecordEventInterval(now, 50*time.Millisecond)
		Expect(slow.FastestOtherInterval(now, need)).To(BeZero(), "both are full")
		other.Release()
		Expect(slow.FastestOtherInterval(now, need)).To(Equal(50 * time.Millisecond))
		fast.Release()
		Expect(slow.FastestOtherInterval(now, need)).To(Equal(40 * time.Millisecond))
		Expect(fast.FastestOtherInterval(now, need)).To(Equal(50*time.Millisecond), "not its own")
		Expect(slow.FastestOtherInterval(now.Add(time.Minute), need)).To(BeZero(), "too old")
	})
})
