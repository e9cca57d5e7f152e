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

// The model has one target, whose receiver detects duplicate orders by ID and
// ignores epochs, and a holder that may be replaced once. The desired command
// changes at any time. Orders arrive late, twice, or never, within
// orderTimeout; the next holder starts when no order of the previous one is in
// flight, as package lease guarantees.

const orderTimeout = 2 * time.Second

// removedGuards selects the guards of the protocol that the model leaves out. Without
// unknownOutcome an unknown outcome is recorded as a refusal; without receiverIDs the
// receiver executes a repeated order again.
type removedGuards struct {
	unknownOutcome, receiverIDs bool
}

// delayedOrder is an order that arrives after its sender has stopped waiting.
type delayedOrder struct {
	intent order.Intent[int]
	until  time.Duration // when it is no longer in flight
	left   int           // arrivals left
}

// modelState is one state of the model.
type modelState struct {
	store   explore.ModelStore
	orders  *order.State[int]
	desired int
	delayed []delayedOrder
	known   []string // IDs that the receiver has accepted
	value   int      // the command that the target follows

	now    time.Duration
	faults int // faults left

	violation error
}

type step = explore.Step[modelState]

type model struct{ removed removedGuards }

func (s modelState) clone() modelState {
	s.orders = s.orders.Clone()
	s.delayed = slices.Clone(s.delayed)
	s.known = slices.Clone(s.known)
	return s
}

func initialState(faults int) modelState {
	s := modelState{orders: order.New[int]("order", 1, orderTimeout), faults: faults, desired: 3}
	s.orders.SetDesired("g", 3)
	return s
}

// next returns the steps that are possible in a state.
func (m model) next(s modelState) []step {
	var steps []step
	add := func(label string, change func(*modelState)) {
		steps = append(steps, step{Label: label, MakeState: func() modelState {
			next := s.clone()
			change(&next)
			return next
		}})
	}
	if call, ok := s.clone().orders.Call(); ok {
		m.addCallSteps(s, call, add)
	}
	for _, intent := range s.orders.Sendable() {
		m.addSendSteps(s, intent, add)
	}
	for j := range s.delayed {
		add("an order arrives late", func(n *modelState) { m.deliverDelayed(n, j) })
	}
	if s.desired < 5 {
		add("the desired count changes", func(n *modelState) {
			n.desired++
			n.orders.SetDesired("g", n.desired)
		})
	}
	if s.now < 8*time.Second {
		add("time passes", func(n *modelState) { n.advance(time.Second) })
	}
	if s.orders.Epoch == 1 {
		add("another holder takes over", func(n *modelState) {
			n.advance(orderTimeout + time.Second)
			n.orders = order.New[int]("order", 2, orderTimeout)
			n.orders.SetDesired("g", n.desired)
		})
	}
	return steps
}

// advance moves the clock and drops the orders that are no longer in flight.
func (s *modelState) advance(by time.Duration) {
	s.now += by
	s.delayed = slices.DeleteFunc(s.delayed, func(d delayedOrder) bool { return s.now >= d.until })
}

// addCallSteps adds the possible results of a call to the platform.
func (m model) addCallSteps(s modelState, call commit.Call, add func(string, func(*modelState))) {
	add("the platform answers", func(n *modelState) {
		n.orders.Call()
		n.orders.Apply(n.store.Do(call))
	})
	if s.faults == 0 {
		return
	}
	add("the platform's answer is lost", func(n *modelState) {
		n.faults--
		n.orders.Call()
		n.store.Do(call)
		n.orders.Apply(commit.Answer{Kind: commit.Unknown})
	})
	if call.Op == commit.Put {
		return
	}
	add("the platform returns a stale value", func(n *modelState) {
		n.faults--
		n.orders.Call()
		n.orders.Apply(n.store.StaleGet(commit.Call{Op: commit.Get, Key: call.Key}))
	})
}

// addSendSteps adds the possible results of sending an intent: it is accepted
// with or without the response arriving, refused, or delayed until after its
// sender has stopped waiting.
func (m model) addSendSteps(s modelState, intent order.Intent[int], add func(string, func(*modelState))) {
	add("an order is accepted", func(n *modelState) {
		n.receive(intent, m.removed)
		n.orders.RecordOutcome(intent, order.Accepted, n.now)
	})
	if s.faults == 0 || len(s.delayed) > 2 {
		return
	}
	noResponse := order.OutcomeUnknown
	if m.removed.unknownOutcome {
		noResponse = order.Refused
	}
	add("an order is refused", func(n *modelState) {
		n.faults--
		n.orders.RecordOutcome(intent, order.Refused, n.now)
	})
	add("the response to an order is lost", func(n *modelState) {
		n.faults--
		n.receive(intent, m.removed)
		n.orders.RecordOutcome(intent, noResponse, n.now)
	})
	add("an order is delayed", func(n *modelState) {
		n.faults--
		n.delayed = append(n.delayed, delayedOrder{intent: intent, until: n.now + orderTimeout, left: 2})
		n.orders.RecordOutcome(intent, noResponse, n.now)
	})
}

// deliverDelayed delivers a delayed order, at most twice.
func (m model) deliverDelayed(s *modelState, j int) {
	intent := s.delayed[j].intent
	if s.delayed[j].left--; s.delayed[j].left == 0 {
		s.delayed = slices.Delete(s.delayed, j, j+1)
	}
	s.receive(intent, m.removed)
}

// receive is the receiver of orders: it ignores an order whose ID it knows.
func (s *modelState) receive(intent order.Intent[int], removed removedGuards) {
	if slices.Contains(s.known, intent.ID) && !removed.receiverIDs {
		return
	}
	s.known = append(s.known, intent.ID)
	s.value = intent.Command
	cell := s.store.Cells[0]
	if cell.Version == 0 {
		s.violation = fmt.Errorf("order %s was sent before a journal was stored", intent.ID)
	}
}

// check requires that a target follows the command that it accepted last once no
// intent is open, even if earlier orders arrive late.
func check(s modelState) error {
	if s.violation != nil {
		return s.violation
	}
	confirmed, ok := s.orders.Confirmed("g")
	if ok && len(s.orders.Sendable()) == 0 && s.value != confirmed {
		return fmt.Errorf("the target has %d, and %d was accepted last", s.value, confirmed)
	}
	return nil
}

func (m model) explored(faults int) explore.Model[modelState, string] {
	return explore.Model[modelState, string]{Initial: initialState(faults), Next: m.next, Check: check, Key: func(s modelState) string {
		return fmt.Sprint(s.store, s.orders.Dump(), s.desired, s.delayed, s.known, s.value, s.now, s.faults)
	}}
}

// Limits of the walks in CI; the flag multiplies the number of walks.
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

	DescribeTable("violate an invariant without", func(removed removedGuards) {
		m := model{removed: removed}.explored(3)
		m.Key = nil
		report := explore.Walk(m, seed, 5_000, steps)
		AddReportEntry("without a guard", report.String())
		Expect(report.Violation).To(HaveOccurred(), report.String())
	},
		Entry("the repeat of an order with unknown outcome before the next order", removedGuards{unknownOutcome: true}),
		Entry("the same ID for a repeat", removedGuards{receiverIDs: true}),
	)
})
