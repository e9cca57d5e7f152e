package lease_test

import (
	"errors"
	"flag"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/fleet/commit"
	"github.com/hyssopwall/hyssopwall/internal/fleet/explore"
	"github.com/hyssopwall/hyssopwall/internal/fleet/lease"
)

var from = flag.Uint64("explore.seed", seed, "seed of the walks")

var deep = flag.Int("explore.times", 1, "multiplies the states and walks explored")

// The model has two processes, one duty, and the platform. The call, the moment
// when it takes effect, and the moment when its answer is looked at are steps
// of their own, so that a pause fits between any two. Within one unit of time
// the first process moves before the second. A receiver that ignores epochs
// takes the orders: the first process may have one in flight, and the second
// sends one as soon as it holds the duty.

const (
	unit  = time.Duration(1000) // of the model's time
	none  = time.Duration(1)    // as good as zero
	hair  = time.Duration(2)    // the second clock's lead in a unit, to outrun none
	hosts = 2
)

// scene is where the search starts.
type scene int

const (
	free    scene = iota // nobody has held the duty
	foreign              // the first process holds it, the second is another host
	reborn               // the second process is a restart of the first one's host
)

// weak is a protocol with a guard removed.
type weak struct {
	margin, flight, expel, readBack, suspend bool
}

func (w weak) config() lease.Config {
	c := lease.Config{Term: 2 * unit, Margin: unit, OrderTimeout: unit, Renew: unit, Poll: unit}
	if w.margin {
		c.Margin = none
	}
	if w.flight {
		c.OrderTimeout = none
	}
	return c
}

type flight struct {
	on, done bool
	call     commit.Call
	answer   commit.Answer
}

type process struct {
	clock   time.Duration
	session lease.Session
	duty    lease.Duty
	lanes   [2]flight // the session's and the duty's call
}

// wire is an order of the first process that passed the check. Ended says that
// its context has ended; it may be in flight for one unit more.
type wire struct {
	on, ended bool
	epoch     uint64
	until     time.Duration
}

type world struct {
	store   explore.ModelStore
	hosts   [hosts]process
	turn    int
	late    commit.Call // a copy of a write that may still arrive
	order   wire
	faults  int // left to happen
	drifts  int
	crashed bool
	highest uint64 // epoch of the last order that arrived
	stale   bool   // an order of an earlier epoch arrived after it
}

type model struct {
	weak  weak
	scene scene
	until time.Duration
}

type step = explore.Step[world]

func (m model) first(faults, drifts int) world {
	w := world{faults: faults, drifts: drifts}
	w.hosts[0] = m.born("a", 1)
	w.hosts[1] = m.born("b", 1)
	if m.scene == reborn {
		w.hosts[1] = m.born("a", 2)
	}
	for m.scene != free && !w.hosts[0].held() {
		clean := w
		clean.faults = 0
		w.store, w.hosts = m.calls(clean, 0)[0].State.store, m.calls(clean, 0)[0].State.hosts
	}
	return w
}

func (m model) born(name string, incarnation uint64) process {
	return process{
		session: lease.Session{Host: name, Incarnation: incarnation, Config: m.weak.config()},
		duty:    lease.Duty{Name: "d", Config: m.weak.config()},
	}
}

func (p process) held() bool {
	_, ok := p.duty.Held(p.session, p.clock)
	return ok
}

// calls returns the steps of a process's calls.
func (m model) calls(w world, i int) []step {
	var steps []step
	for lane := range 2 {
		f := w.hosts[i].lanes[lane]
		switch {
		case !f.on:
			steps = append(steps, m.send(w, i, lane)...)
		case !f.done:
			steps = append(steps, m.effect(w, i, lane)...)
		default:
			steps = append(steps, m.look(w, i, lane))
		}
	}
	return steps
}

func name(i, lane int, verb string) string {
	return [hosts]string{"first ", "second "}[i] + [2]string{"session ", "duty "}[lane] + verb
}

func (m model) send(w world, i, lane int) []step {
	p := &w.hosts[i]
	var (
		call commit.Call
		ok   bool
	)
	if lane == 0 {
		// A restarted host has another duty too, so that it opens its session.
		wanted := p.duty.NeedsSession(p.clock) || m.scene == reborn && i == 1
		p.session, call, ok = p.session.Next(wanted, p.clock)
	} else {
		p.duty, call, ok = p.duty.Next(p.session, true, p.clock)
	}
	if !ok {
		return nil
	}
	p.lanes[lane] = flight{on: true, call: call}
	if call.Op == commit.Get {
		return m.effect(w, i, lane) // a read that takes effect later sees no less
	}
	return []step{{Label: name(i, lane, "sends"), State: w}}
}

func (m model) effect(w world, i, lane int) []step {
	call := w.hosts[i].lanes[lane].call
	steps := []step{{Label: name(i, lane, "takes effect"), State: w}}
	good := &steps[0].State
	good.answer(i, lane, m.do(good, call))
	if w.faults == 0 {
		return steps
	}
	w.faults--
	add := func(verb string, applied bool, late bool, answer commit.Answer) {
		next := w
		if applied {
			m.do(&next, call)
		}
		if late {
			next.late = call
		}
		next.answer(i, lane, answer)
		steps = append(steps, step{Label: name(i, lane, verb), State: next})
	}
	add("is refused", false, false, commit.Answer{Kind: commit.NoEffect})
	if call.Op == commit.Get {
		add("reads the old value", false, false, w.store.StaleGet(call))
		return steps
	}
	lost := commit.Answer{Kind: commit.Unknown}
	if m.weak.readBack {
		lost = commit.Answer{Kind: commit.OK, Version: w.store.Revision + 1}
	}
	add("takes effect, the answer is lost", true, false, lost)
	add("is lost", false, false, lost)
	if w.late.Key == "" {
		add("is delayed, the answer is lost", false, true, lost)
	}
	return steps
}

func (w *world) answer(i, lane int, answer commit.Answer) {
	w.hosts[i].lanes[lane].done = true
	w.hosts[i].lanes[lane].answer = answer
}

// do makes a call take effect, but for a guard that was removed.
func (m model) do(w *world, call commit.Call) commit.Answer {
	if m.weak.expel && call.Op == commit.Put && strings.Contains(call.Value, "expelled") {
		return commit.Answer{Kind: commit.OK, Version: w.store.Revision}
	}
	return w.store.Do(call)
}

func (m model) look(w world, i, lane int) step {
	p := &w.hosts[i]
	f := p.lanes[lane]
	p.lanes[lane] = flight{}
	if lane == 0 {
		p.session = p.session.Apply(f.answer, p.clock)
	} else {
		p.duty = p.duty.Apply(f.answer, p.clock)
	}
	if grant, ok := w.hosts[1].duty.Held(w.hosts[1].session, w.hosts[1].clock); ok {
		w.arrive(grant.Epoch)
	}
	return step{Label: name(i, lane, "looks at its answer"), State: w}
}

func (w *world) arrive(epoch uint64) {
	w.stale = w.stale || epoch < w.highest
	w.highest = max(w.highest, epoch)
}

func (m model) next(w world) []step {
	steps := m.calls(w, w.turn)
	if w.order.on {
		steps = append(steps, arrival(w))
	}
	if w.turn == 0 {
		steps = append(steps, m.passes(w)...)
		if w.faults > 0 && !w.crashed && m.scene != reborn {
			steps = append(steps, m.crash(w))
		}
		w.turn = 1
		return append(steps, step{Label: "the second moves", State: w})
	}
	if w.late.Key != "" {
		late := w
		late.store.Do(late.late)
		late.late = commit.Call{}
		steps = append(steps, step{Label: "a delayed write arrives", State: late})
	}
	return append(steps, m.ticks(w)...)
}

func arrival(w world) step {
	w.arrive(w.order.epoch)
	w.order = wire{}
	return step{Label: "the first's order arrives", State: w}
}

// passes lets the first process check the lease for an order.
func (m model) passes(w world) []step {
	p := w.hosts[0]
	grant, held := p.duty.Held(p.session, p.clock)
	if !held || w.order.on {
		return nil
	}
	w.order = wire{on: true, epoch: grant.Epoch, until: grant.Until}
	return []step{{Label: "the first passes the check", State: w}}
}

func (m model) crash(w world) step {
	w.faults--
	w.crashed = true
	clock := w.hosts[0].clock
	w.hosts[0] = m.born("a", 2)
	w.hosts[0].clock = clock
	w.order.ended = true
	return step{Label: "the first crashes and restarts", State: w}
}

// ticks lets time pass. A process's clock may stand still or run ahead; without
// the clock that counts suspend the first's may stand still at any time.
func (m model) ticks(w world) []step {
	if w.hosts[1].clock >= m.until {
		return nil
	}
	steps := []step{m.tick(w, unit, unit+hair, "tick")}
	if m.weak.suspend {
		steps = append(steps, m.tick(w, 0, unit+hair, "tick, the first suspended"))
	}
	if w.drifts > 0 {
		w.drifts--
		steps = append(steps,
			m.tick(w, 0, unit+hair, "tick, the first slow"),
			m.tick(w, unit, 2*unit, "tick, the second fast"))
	}
	return steps
}

func (m model) tick(w world, one, two time.Duration, label string) step {
	w.turn = 0
	w.hosts[0].clock += one
	w.hosts[1].clock += two
	switch {
	case w.order.ended:
		w.order = wire{}
	case w.order.on && w.hosts[0].clock >= w.order.until:
		w.order.ended = true
	}
	return step{Label: label, State: w}
}

func (m model) check(w world) error {
	if w.hosts[0].held() && w.hosts[1].held() {
		return errors.New("two processes hold the duty")
	}
	if w.stale {
		return errors.New("an order of an earlier holder arrived after one of a later")
	}
	return nil
}

func (m model) explored(faults, drifts int) explore.Model[world, world] {
	return explore.Model[world, world]{
		Initial: m.first(faults, drifts),
		Next:    m.next,
		Key:     func(w world) world { return w },
		Check:   m.check,
	}
}

// Bounds of the searches in CI; the flag multiplies them.
const (
	states = 5_000
	walks  = 1_500
	steps  = 80
	seed   = uint64(1)
)

func scaled(standard int) int {
	if testing.Short() {
		return standard / 10
	}
	return standard * *deep
}

var _ = Describe("the interleavings of a lease", func() {
	DescribeTable("never give the duty or an order to two", func(s scene, until, faults, drifts int) {
		m := model{scene: s, until: time.Duration(until) * unit}.explored(faults, drifts)
		first := explore.Search(m, scaled(states))
		AddReportEntry("lease, search", first.String())
		Expect(first.Violation).NotTo(HaveOccurred(), first.String())
		far := explore.Walk(m, *from, scaled(walks), steps)
		AddReportEntry("lease, walks", far.String())
		Expect(far.Violation).NotTo(HaveOccurred(), far.String())
	},
		Entry("when both take a free duty", free, 6, 3, 1),
		Entry("when a host is silent", foreign, 14, 3, 1),
		Entry("when a host restarts beside its paused process", reborn, 12, 2, 1),
	)

	DescribeTable("are broken without", func(s scene, w weak, until, faults, drifts int) {
		m := model{weak: w, scene: s, until: time.Duration(until) * unit}.explored(faults, drifts)
		m.Key = nil
		report := explore.Walk(m, max(seed, *from), 20_000, steps)
		AddReportEntry("without a guard", report.String())
		Expect(report.Violation).To(HaveOccurred(), report.String())
	},
		Entry("the margin", reborn, weak{margin: true}, 8, 0, 1),
		Entry("the time in flight", reborn, weak{flight: true, margin: true}, 8, 0, 0),
		Entry("the expulsion", foreign, weak{expel: true}, 10, 0, 0),
		Entry("reading back", free, weak{readBack: true}, 2, 1, 0),
		Entry("a clock that counts suspend", reborn, weak{suspend: true}, 8, 0, 0),
	)
})
