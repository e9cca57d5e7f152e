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

var walkSeed = flag.Uint64("explore.seed", seed, "seed of the walks")

var multiplier = flag.Int("explore.times", 1, "multiplies the states and walks explored")

// The model has two processes, one duty, and the platform's store. The sending of a call,
// the moment when it takes effect, and the processing of its answer are separate steps, so
// that a pause can occur between any two of them. Within one unit of time the first process
// moves before the second. The receiver of the orders ignores epochs: the first process may
// have one order in flight, and the second sends one as soon as it holds the duty.

const (
	unit       = time.Duration(1000) // unit of the model's time
	negligible = time.Duration(1)    // stands for a time of zero, for which Config uses its default
	clockLead  = time.Duration(2)    // lead of the second clock in a unit, more than negligible
	hosts      = 2                   // processes, also where both are of one host
)

// startState is the state in which the search starts.
type startState int

const (
	free      startState = iota // no process has held the duty
	otherHost                   // the first process holds it, the second is of another host
	sameHost                    // the first process holds it, the second is a later one of the same host
)

// guards names safeguards of the protocol. A model leaves out those that are set.
type guards struct {
	margin, orderTimeout, expulsion, readBack, suspendClock bool
}

func (without guards) config() lease.Config {
	c := lease.Config{Term: 2 * unit, Margin: unit, OrderTimeout: unit, Renew: unit, Poll: unit}
	if without.margin {
		c.Margin = negligible
	}
	if without.orderTimeout {
		c.OrderTimeout = negligible
	}
	return c
}

// pendingCall is a call of a process. done is set once it has its answer.
type pendingCall struct {
	active, done bool
	call         commit.Call
	answer       commit.Answer
}

type process struct {
	clock   time.Duration
	session lease.Session
	duty    lease.Duty
	calls   [2]pendingCall // the session's and the duty's
}

// order is an order of the first process that passed the check of the lease. ended is set
// once its context has ended; the order may be in flight for one unit more.
type order struct {
	inFlight, ended bool
	epoch           uint64
	until           time.Duration
}

// world is a state of the model.
type world struct {
	store   explore.ModelStore
	hosts   [hosts]process
	turn    int         // index of the process that moves
	delayed commit.Call // a write that may still take effect
	order   order
	faults  int // number that may still occur
	drifts  int // number of clock errors that may still occur
	crashed bool
	highest uint64 // highest epoch of the orders that arrived
	stale   bool   // an order of an earlier epoch arrived after one of the highest
}

// model is the protocol without some guards, explored from one start state to an instant of
// the second process's clock.
type model struct {
	without guards
	start   startState
	until   time.Duration
}

type step = explore.Step[world]

// initial returns the state in which the search starts. Unless the start state is free, the
// first process has taken the duty without a fault.
func (m model) initial(faults, drifts int) world {
	w := world{faults: faults, drifts: drifts}
	w.hosts[0] = m.newProcess("a", 1)
	w.hosts[1] = m.newProcess("b", 1)
	if m.start == sameHost {
		w.hosts[1] = m.newProcess("a", 2)
	}
	for m.start != free && !w.hosts[0].held() {
		faultless := w
		faultless.faults = 0
		w.store, w.hosts = m.callSteps(faultless, 0)[0].State.store, m.callSteps(faultless, 0)[0].State.hosts
	}
	return w
}

func (m model) newProcess(name string, incarnation uint64) process {
	return process{
		session: lease.Session{Host: name, Incarnation: incarnation, Config: m.without.config()},
		duty:    lease.Duty{Name: "d", Config: m.without.config()},
	}
}

func (p process) held() bool {
	_, ok := p.duty.Held(p.session, p.clock)
	return ok
}

// callSteps returns the next steps of a process's calls.
func (m model) callSteps(w world, i int) []step {
	var steps []step
	for kind := range 2 {
		pending := w.hosts[i].calls[kind]
		switch {
		case !pending.active:
			steps = append(steps, m.send(w, i, kind)...)
		case !pending.done:
			steps = append(steps, m.effect(w, i, kind)...)
		default:
			steps = append(steps, m.processAnswer(w, i, kind))
		}
	}
	return steps
}

// name returns the label of a step of a process's call.
func name(i, kind int, verb string) string {
	return [hosts]string{"first ", "second "}[i] + [2]string{"session ", "duty "}[kind] + verb
}

// send returns the step in which a process sends its next call, if it has one. A read
// takes effect in the same step.
func (m model) send(w world, i, kind int) []step {
	p := &w.hosts[i]
	var (
		call commit.Call
		ok   bool
	)
	if kind == 0 {
		// A restarted host has another duty as well, for which it opens its session.
		wanted := p.duty.NeedsSession(p.clock) || m.start == sameHost && i == 1
		p.session, call, ok = p.session.Next(wanted, p.clock)
	} else {
		p.duty, call, ok = p.duty.Next(p.session, true, p.clock)
	}
	if !ok {
		return nil
	}
	p.calls[kind] = pendingCall{active: true, call: call}
	if call.Op == commit.Get {
		return m.effect(w, i, kind) // a read that takes effect later returns the same or a newer value
	}
	return []step{{Label: name(i, kind, "sends"), State: w}}
}

// effect returns the ways in which a call ends: it takes effect, or a fault occurs.
func (m model) effect(w world, i, kind int) []step {
	call := w.hosts[i].calls[kind].call
	steps := []step{{Label: name(i, kind, "takes effect"), State: w}}
	regular := &steps[0].State
	regular.answer(i, kind, m.do(regular, call))
	if w.faults == 0 {
		return steps
	}
	w.faults--
	add := func(verb string, applied bool, delayed bool, answer commit.Answer) {
		next := w
		if applied {
			m.do(&next, call)
		}
		if delayed {
			next.delayed = call
		}
		next.answer(i, kind, answer)
		steps = append(steps, step{Label: name(i, kind, verb), State: next})
	}
	add("is refused", false, false, commit.Answer{Kind: commit.NoEffect})
	if call.Op == commit.Get {
		add("reads the old value", false, false, w.store.StaleGet(call))
		return steps
	}
	lost := commit.Answer{Kind: commit.Unknown}
	if m.without.readBack {
		lost = commit.Answer{Kind: commit.OK, Version: w.store.Revision + 1}
	}
	add("takes effect, the answer is lost", true, false, lost)
	add("is lost", false, false, lost)
	if w.delayed.Key == "" {
		add("is delayed, the answer is lost", false, true, lost)
	}
	return steps
}

func (w *world) answer(i, kind int, answer commit.Answer) {
	w.hosts[i].calls[kind].done = true
	w.hosts[i].calls[kind].answer = answer
}

// do makes a call take effect. Without the guard of expulsion, the update that marks a
// session expelled has no effect.
func (m model) do(w *world, call commit.Call) commit.Answer {
	if m.without.expulsion && call.Op == commit.Put && strings.Contains(call.Value, "expelled") {
		return commit.Answer{Kind: commit.OK, Version: w.store.Revision}
	}
	return w.store.Do(call)
}

// processAnswer returns the step in which a process takes the answer to a call. The second
// process sends an order, which arrives at once, whenever it holds the duty after a step.
func (m model) processAnswer(w world, i, kind int) step {
	p := &w.hosts[i]
	pending := p.calls[kind]
	p.calls[kind] = pendingCall{}
	if kind == 0 {
		p.session = p.session.Apply(pending.answer, p.clock)
	} else {
		p.duty = p.duty.Apply(pending.answer, p.clock)
	}
	if grant, ok := w.hosts[1].duty.Held(w.hosts[1].session, w.hosts[1].clock); ok {
		w.arrive(grant.Epoch)
	}
	return step{Label: name(i, kind, "processes its answer"), State: w}
}

// arrive records that an order of an epoch arrived.
func (w *world) arrive(epoch uint64) {
	w.stale = w.stale || epoch < w.highest
	w.highest = max(w.highest, epoch)
}

// next returns the steps that can follow a state.
func (m model) next(w world) []step {
	steps := m.callSteps(w, w.turn)
	if w.order.inFlight {
		steps = append(steps, arrival(w))
	}
	if w.turn == 0 {
		steps = append(steps, m.sendOrder(w)...)
		if w.faults > 0 && !w.crashed && m.start != sameHost {
			steps = append(steps, m.crash(w))
		}
		w.turn = 1
		return append(steps, step{Label: "the second moves", State: w})
	}
	if w.delayed.Key != "" {
		arrived := w
		arrived.store.Do(arrived.delayed)
		arrived.delayed = commit.Call{}
		steps = append(steps, step{Label: "a delayed write arrives", State: arrived})
	}
	return append(steps, m.ticks(w)...)
}

// arrival returns the step in which the order in flight arrives.
func arrival(w world) step {
	w.arrive(w.order.epoch)
	w.order = order{}
	return step{Label: "the first's order arrives", State: w}
}

// sendOrder returns the step in which the first process checks the lease and sends an order.
func (m model) sendOrder(w world) []step {
	p := w.hosts[0]
	grant, held := p.duty.Held(p.session, p.clock)
	if !held || w.order.inFlight {
		return nil
	}
	w.order = order{inFlight: true, epoch: grant.Epoch, until: grant.Until}
	return []step{{Label: "the first passes the check", State: w}}
}

// crash returns the step in which the first process crashes and its host starts another.
func (m model) crash(w world) step {
	w.faults--
	w.crashed = true
	clock := w.hosts[0].clock
	w.hosts[0] = m.newProcess("a", 2)
	w.hosts[0].clock = clock
	w.order.ended = true
	return step{Label: "the first crashes and restarts", State: w}
}

// ticks returns the steps in which one unit of time passes. As a drift, the first process's
// clock may stand still or the second's may run ahead. Without a clock that counts suspend
// the first's may stand still at any time.
func (m model) ticks(w world) []step {
	if w.hosts[1].clock >= m.until {
		return nil
	}
	steps := []step{m.tick(w, unit, unit+clockLead, "tick")}
	if m.without.suspendClock {
		steps = append(steps, m.tick(w, 0, unit+clockLead, "tick, the first suspended"))
	}
	if w.drifts > 0 {
		w.drifts--
		steps = append(steps,
			m.tick(w, 0, unit+clockLead, "tick, the first slow"),
			m.tick(w, unit, 2*unit, "tick, the second fast"))
	}
	return steps
}

// tick returns the step in which the two clocks advance by the given times.
func (m model) tick(w world, first, second time.Duration, label string) step {
	w.turn = 0
	w.hosts[0].clock += first
	w.hosts[1].clock += second
	switch {
	case w.order.ended:
		w.order = order{}
	case w.order.inFlight && w.hosts[0].clock >= w.order.until:
		w.order.ended = true
	}
	return step{Label: label, State: w}
}

// check returns an error if a state breaks the guarantees of the protocol.
func (m model) check(w world) error {
	if w.hosts[0].held() && w.hosts[1].held() {
		return errors.New("two processes hold the duty")
	}
	if w.stale {
		return errors.New("an order of an earlier holder arrived after one of a later")
	}
	return nil
}

// explored returns the model for package explore.
func (m model) explored(faults, drifts int) explore.Model[world, world] {
	return explore.Model[world, world]{
		Initial: m.initial(faults, drifts),
		Next:    m.next,
		Key:     func(w world) world { return w },
		Check:   m.check,
	}
}

// Bounds of the searches in CI, which explore.times multiplies.
const (
	states = 5_000
	walks  = 1_500
	steps  = 80
	seed   = uint64(1)
)

// scaled returns a bound for this run: a tenth with -short, or multiplied.
func scaled(standard int) int {
	if testing.Short() {
		return standard / 10
	}
	return standard * *multiplier
}

var _ = Describe("the interleavings of a lease", func() {
	DescribeTable("never give the duty or an order to two", func(s startState, until, faults, drifts int) {
		m := model{start: s, until: time.Duration(until) * unit}.explored(faults, drifts)
		searched := explore.Search(m, scaled(states))
		AddReportEntry("lease, search", searched.String())
		Expect(searched.Violation).NotTo(HaveOccurred(), searched.String())
		walked := explore.Walk(m, *walkSeed, scaled(walks), steps)
		AddReportEntry("lease, walks", walked.String())
		Expect(walked.Violation).NotTo(HaveOccurred(), walked.String())
	},
		Entry("when both take a free duty", free, 6, 3, 1),
		Entry("when a host is silent", otherHost, 14, 3, 1),
		Entry("when a host restarts beside its paused process", sameHost, 12, 2, 1),
	)

	DescribeTable("are broken without", func(s startState, without guards, until, faults, drifts int) {
		m := model{without: without, start: s, until: time.Duration(until) * unit}.explored(faults, drifts)
		m.Key = nil
		report := explore.Walk(m, max(seed, *walkSeed), 20_000, steps)
		AddReportEntry("without a guard", report.String())
		Expect(report.Violation).To(HaveOccurred(), report.String())
	},
		Entry("the margin", sameHost, guards{margin: true}, 8, 0, 1),
		Entry("the time in flight", sameHost, guards{orderTimeout: true, margin: true}, 8, 0, 0),
		Entry("the expulsion", otherHost, guards{expulsion: true}, 10, 0, 0),
		Entry("reading back", free, guards{readBack: true}, 2, 1, 0),
		Entry("a clock that counts suspend", sameHost, guards{suspendClock: true}, 8, 0, 0),
	)
})
