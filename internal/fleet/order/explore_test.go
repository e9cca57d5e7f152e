package order_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/fleet/commit"
	"github.com/hyssopwall/hyssopwall/internal/fleet/explore"
	"github.com/hyssopwall/hyssopwall/internal/fleet/order"
)

var times = flag.Int("explore.times", 1, "multiplies the walks explored")

// The model has one target, the receiver that knows orders by ID and ignores
// epochs, and a holder that may be replaced once. What is wanted changes at
// any time. Orders arrive late, twice, or never, within their time in flight;
// as package lease grants it, the next holder starts when no order of the one
// before is in flight.

const inFlight = 2 * time.Second

// weak is a protocol with a guard removed.
type weak struct {
	doubt, id bool
}

type sent struct {
	intent order.Intent[int]
	until  time.Duration
	left   int
}

type world struct {
	store  explore.ModelStore
	desk   *order.Desk[int]
	wanted int
	wire   []sent
	known  []string // IDs that the receiver has taken
	value  int      // what the target is now

	now    time.Duration
	faults int

	broken error
}

type step = explore.Step[world]

type model struct{ weak weak }

func (w world) clone() world {
	w.desk = w.desk.Clone()
	w.wire = slices.Clone(w.wire)
	w.known = slices.Clone(w.known)
	return w
}

func first(faults int) world {
	w := world{desk: order.New[int]("order", 1, inFlight), faults: faults, wanted: 3}
	w.desk.Want("g", 3)
	return w
}

func (m model) next(w world) []step {
	var steps []step
	add := func(label string, change func(*world)) {
		steps = append(steps, step{Label: label, MakeState: func() world {
			next := w.clone()
			change(&next)
			return next
		}})
	}
	if call, ok := w.clone().desk.Call(); ok {
		m.call(w, call, add)
	}
	for _, intent := range w.desk.Ready() {
		m.send(w, intent, add)
	}
	for j := range w.wire {
		add("an order arrives late", func(n *world) { m.arrive(n, j) })
	}
	if w.wanted < 5 {
		add("another count is wanted", func(n *world) {
			n.wanted++
			n.desk.Want("g", n.wanted)
		})
	}
	if w.now < 8*time.Second {
		add("time passes", func(n *world) { n.pass(time.Second) })
	}
	if w.desk.Epoch == 1 {
		add("another holder follows", func(n *world) {
			n.pass(inFlight + time.Second)
			n.desk = order.New[int]("order", 2, inFlight)
			n.desk.Want("g", n.wanted)
		})
	}
	return steps
}

func (w *world) pass(by time.Duration) {
	w.now += by
	w.wire = slices.DeleteFunc(w.wire, func(s sent) bool { return w.now >= s.until })
}

func (m model) call(w world, call commit.Call, add func(string, func(*world))) {
	add("the platform answers", func(n *world) {
		n.desk.Call()
		n.desk.Answer(n.store.Do(call))
	})
	if w.faults == 0 {
		return
	}
	add("the platform's answer is lost", func(n *world) {
		n.faults--
		n.desk.Call()
		n.store.Do(call)
		n.desk.Answer(commit.Answer{Kind: commit.Unknown})
	})
	if call.Op == commit.Put {
		return
	}
	add("the platform reads an old value", func(n *world) {
		n.faults--
		n.desk.Call()
		n.desk.Answer(n.store.StaleGet(commit.Call{Op: commit.Get, Key: call.Key}))
	})
}

// send lets an order arrive with or without its answer, be refused, or be
// delayed after its sender has given up waiting.
func (m model) send(w world, intent order.Intent[int], add func(string, func(*world))) {
	add("an order is accepted", func(n *world) {
		n.take(intent, m.weak)
		n.desk.Sent(intent, order.Accepted, n.now)
	})
	if w.faults == 0 || len(w.wire) > 2 {
		return
	}
	lost := order.Unclear
	if m.weak.doubt {
		lost = order.Refused
	}
	add("an order is refused", func(n *world) {
		n.faults--
		n.desk.Sent(intent, order.Refused, n.now)
	})
	add("an order's answer is lost", func(n *world) {
		n.faults--
		n.take(intent, m.weak)
		n.desk.Sent(intent, lost, n.now)
	})
	add("an order is delayed", func(n *world) {
		n.faults--
		n.wire = append(n.wire, sent{intent: intent, until: n.now + inFlight, left: 2})
		n.desk.Sent(intent, lost, n.now)
	})
}

func (m model) arrive(w *world, j int) {
	intent := w.wire[j].intent
	if w.wire[j].left--; w.wire[j].left == 0 {
		w.wire = slices.Delete(w.wire, j, j+1)
	}
	w.take(intent, m.weak)
}

// take is the receiver: a known ID changes nothing.
func (w *world) take(intent order.Intent[int], weak weak) {
	if slices.Contains(w.known, intent.ID) && !weak.id {
		return
	}
	w.known = append(w.known, intent.ID)
	w.value = intent.Command
	cell := w.store.Cells[0]
	if cell.Version == 0 {
		w.broken = fmt.Errorf("order %s was sent and no journal stands", intent.ID)
	}
}

// check requires that a target which accepted what is wanted has it, whatever
// arrives late.
func check(w world) error {
	if w.broken != nil {
		return w.broken
	}
	settled, ok := w.desk.Settled("g")
	if ok && len(w.desk.Ready()) == 0 && w.value != settled {
		return fmt.Errorf("the target has %d, and %d was accepted last", w.value, settled)
	}
	return nil
}

func (m model) explored(faults int) explore.Model[world, string] {
	return explore.Model[world, string]{Initial: first(faults), Next: m.next, Check: check, Key: func(w world) string {
		return fmt.Sprint(w.store, w.desk.Dump(), w.wanted, w.wire, w.known, w.value, w.now, w.faults)
	}}
}

// Bounds of the walks in CI; the flag multiplies them.
const (
	walks = 1_000
	steps = 40
	seed  = 1
)

var _ = Describe("the interleavings of orders", func() {
	It("never undo an order that was accepted", func() {
		count := walks * *times
		if testing.Short() {
			count = walks / 10
		}
		report := explore.Walk(model{}.explored(3), seed, count, steps)
		AddReportEntry("order, walks", report.String())
		Expect(report.Violation).NotTo(HaveOccurred(), report.String())
	})

	DescribeTable("are broken without", func(w weak) {
		m := model{weak: w}.explored(3)
		m.Key = nil
		report := explore.Walk(m, seed, 5_000, steps)
		AddReportEntry("without a guard", report.String())
		Expect(report.Violation).To(HaveOccurred(), report.String())
	},
		Entry("repeating an unclear order before the next", weak{doubt: true}),
		Entry("the same ID for a repeat", weak{id: true}),
	)
})
