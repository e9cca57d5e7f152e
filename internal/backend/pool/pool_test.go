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

// script is one test case: a list of servers and the steps that change them or select one.
type script struct {
	Pattern string
	Zone    string
	Regions map[string]string // by zone
	Servers []pool.Server
	Steps   []step
}

// step changes the server On or selects a server, or both in this order. Put adds or
// updates a server.
type step struct {
	Pick           *string // the expected server; the empty string expects none
	Need           pool.Need
	Times          int  // number of selections, at least one
	KeepSlot       bool // the selected servers are not released
	On             string
	EventInterval  int // milliseconds between two events of a generation
	Load           *pool.Load
	Fail           bool
	Refuse         bool
	KeepConnection bool // the request's connection stays open
	Leave          bool // the server On announces that it leaves
	Put            *pool.Server
	Remove         bool
	Silent, Answer string // a zone that goes silent, or that answers again
	After          int    // milliseconds that pass before the step
}

var _ = Describe("the selection of a server", func() {
	all, err := cases.Load[script]("testdata/*.hujson")
	if err != nil {
		panic(err)
	}
	for _, c := range all {
		It(c.Name+": "+c.Data.Pattern, func() {
			now := time.Unix(1_800_000_000, 0)
			p := &pool.Pool{Zone: c.Data.Zone, RegionOf: func(zone string) string { return c.Data.Regions[zone] }}
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
	case s.Silent != "":
		p.SetSilent(s.Silent, true)
	case s.Answer != "":
		changed := p.Changed()
		p.SetSilent(s.Answer, false)
		Expect(changed).To(BeClosed(), "step %d", i)
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
		if s.KeepConnection {
			choice.KeepConnection()
		}
		if !s.KeepSlot {
			choice.Release()
			choice.Release() // the second call must have no effect
		}
	}
}

// change sends a request to the server On and records its outcome.
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
	if s.KeepConnection {
		choice.KeepConnection()
	}
	if s.EventInterval > 0 {
		choice.RecordEventInterval(now, time.Duration(s.EventInterval)*time.Millisecond)
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
	It("notifies waiters when a slot is released", func() {
		p := &pool.Pool{}
		p.Replace([]pool.Server{{Name: "a", Service: "s", Slots: 1}})
		choice, ok := p.Pick(time.Now(), pool.Need{Service: "s"})
		Expect(ok).To(BeTrue())
		changed := p.Changed()
		Expect(changed).NotTo(BeClosed())
		choice.Release()
		Expect(changed).To(BeClosed())
	})

	// A server can leave while a request for it waits for a connection.
	It("rejects a choice whose server was removed, replaced or is leaving", func() {
		p := &pool.Pool{}
		a := pool.Server{Name: "a", Service: "s", Slots: 1, Boot: 1}
		p.Replace([]pool.Server{a})
		pick := func() *pool.Choice {
			choice, ok := p.Pick(time.Now(), pool.Need{Service: "s"})
			Expect(ok).To(BeTrue())
			choice.Release()
			Expect(choice.Check()).To(Succeed())
			return choice
		}
		choice := pick()
		p.Remove("a")
		Expect(choice.Check()).To(BeAssignableToTypeOf(&pool.LeftError{}))
		p.Put(a)
		choice = pick()
		p.Put(pool.Server{Name: "a", Service: "s", Slots: 1, Boot: 2})
		Expect(choice.Check()).To(BeAssignableToTypeOf(&pool.LeftError{}), "another server may have its address")
		choice = pick()
		p.MarkLeaving(choice.Server)
		Expect(choice.Check()).To(BeAssignableToTypeOf(&pool.LeftError{}))
	})

	// The entry of a server can change while a rollout queries its weights versions.
	It("sets queried versions without reverting other changes of the entry", func() {
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
		Expect(p.Servers()).To(BeEmpty(), "a removed server must stay removed")
	})

	It("uses a newer weights version from a response before the list shows it", func() {
		p := &pool.Pool{}
		p.Replace([]pool.Server{{Name: "a", Service: "s", Slots: 1, Versions: map[string]uint64{"m": 1}}})
		need := pool.Need{Service: "s", Model: "m", MinVersion: 2}
		Expect(p.UsableCount(need)).To(BeZero())
		choice, ok := p.Pick(time.Now(), pool.Need{Service: "s"})
		Expect(ok).To(BeTrue())
		choice.ObserveVersion("m", 2)
		Expect(p.UsableCount(need)).To(Equal(1))
	})

	It("returns the shortest event interval of another server with a free slot", func() {
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
		Expect(slow.FastestOtherInterval(now, need)).To(BeZero(), "both other servers are full")
		other.Release()
		Expect(slow.FastestOtherInterval(now, need)).To(Equal(50 * time.Millisecond))
		fast.Release()
		Expect(slow.FastestOtherInterval(now, need)).To(Equal(40 * time.Millisecond))
		Expect(fast.FastestOtherInterval(now, need)).To(Equal(50*time.Millisecond), "its own interval must not count")
		Expect(slow.FastestOtherInterval(now.Add(time.Minute), need)).To(BeZero(), "the intervals have expired")
	})

	// Guards against hosts that all open their first connections to the same server.
	DescribeTable("is one of many that choose between equal servers", func(workTime, least, most int) {
		chosen := map[string]int{}
		for range 60 {
			p := &pool.Pool{}
			for n := range 13 {
				p.Put(pool.Server{Name: string(rune('a' + n)), Service: "s", Slots: 6})
			}
			teller, _ := p.Pick(time.Now(), pool.Need{Service: "s"})
			teller.RecordLoad(time.Now(), pool.Load{Slots: 6, WorkTime: workTime})
			teller.Release()
			choice, _ := p.Pick(time.Now(), pool.Need{Service: "s", Avoid: []string{"a"}})
			chosen[choice.Server.Name]++
		}
		Expect(chosen["b"]).To(And(BeNumerically(">=", least), BeNumerically("<=", most)))
	},
		Entry("with work times", 100, 0, 20),
		Entry("without: by name, as before", 0, 60, 60),
	)
})
