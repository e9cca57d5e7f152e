package order_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/fleet/explore"
	"github.com/hyssopwall/hyssopwall/internal/fleet/lease"
	"github.com/hyssopwall/hyssopwall/internal/fleet/order"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/platform/supply"
)

func TestOrder(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Order Suite")
}

// holder grants the duty under an epoch that the test sets; zero is none.
type holder struct {
	epoch uint64
	now   time.Duration
}

func (h *holder) Now() time.Duration { return h.now }

func (h *holder) Held(string) (lease.Grant, bool) { return lease.Grant{Epoch: h.epoch}, h.epoch > 0 }

func (h *holder) Do(ctx context.Context, duty string, send func(context.Context, lease.Grant) error) error {
	if h.epoch == 0 {
		return &lease.NotHeldError{Duty: duty}
	}
	return send(ctx, lease.Grant{Epoch: h.epoch})
}

// yard is an ordering interface that keeps orders by ID and can lose answers.
type yard struct {
	mu     sync.Mutex
	ids    map[string]int
	placed []supply.Order
	errs   []error // returned in turn after the order took effect
}

func (y *yard) Servers(context.Context, string) ([]supply.Server, error) { return nil, nil }

func (y *yard) Place(_ context.Context, o supply.Order) error {
	y.mu.Lock()
	defer y.mu.Unlock()
	if y.ids == nil {
		y.ids = map[string]int{}
	}
	if y.ids[o.ID]++; y.ids[o.ID] == 1 {
		y.placed = append(y.placed, o)
	}
	for _, known := range y.placed {
		if known.ID == o.ID && known.Epoch != o.Epoch {
			return &object.ConflictError{Key: o.ID, Want: o.Epoch, Have: known.Epoch}
		}
	}
	if len(y.errs) == 0 {
		return nil
	}
	err := y.errs[0]
	y.errs = y.errs[1:]
	return err
}

var _ = Describe("a placer", func() {
	var (
		store explore.FakeStore
		to    *yard
		h     *holder
	)
	BeforeEach(func() {
		store = explore.FakeStore{}
		to = &yard{}
		h = &holder{epoch: 1}
	})
	newPlacer := func() *order.Placer[order.Fleet] {
		return &order.Placer[order.Fleet]{Duty: "order", Leases: h, Store: &store, Clock: h, Flight: time.Second, Send: order.ToSupply(to)}
	}
	turn := func(p *order.Placer[order.Fleet], times int) {
		for range times {
			var group sync.WaitGroup
			p.Turn(context.Background(), &group)
			group.Wait()
			h.now += order.Retry
		}
	}
	want := func(count int) order.Fleet {
		return order.Fleet{Zone: "rufisque", Pool: "assay", Class: supply.Spot, Count: count}
	}
	lost := &object.UnknownError{Key: "o", Err: errors.New("lost")}

	It("repeats an order with a lost answer as the same order, before the next", func() {
		p := newPlacer()
		to.errs = []error{lost, lost}
		p.Want("g", want(3))
		turn(p, 1)
		p.Want("g", want(4))
		turn(p, 6)
		Expect(to.placed).To(HaveLen(2))
		Expect(to.placed[0].Count).To(Equal(3))
		Expect(to.placed[1].Count).To(Equal(4))
		Expect(to.ids[to.placed[0].ID]).To(Equal(3))
	})

	It("leaves an open order to the next holder, under the same ID and the new epoch", func() {
		p := newPlacer()
		to.errs = []error{lost}
		p.Want("g", want(3))
		turn(p, 1)
		h.epoch = 2
		q := newPlacer()
		q.Want("g", want(3))
		turn(q, 3)
		Expect(to.placed).To(HaveLen(1))
		Expect(to.ids[to.placed[0].ID]).To(Equal(2))
	})

	It("drops an order that was refused and is wanted no longer", func() {
		p := newPlacer()
		to.errs = []error{&object.OutageError{Err: errors.New("down")}}
		p.Want("g", want(3))
		turn(p, 1)
		p.Want("g", want(4))
		turn(p, 3)
		Expect(to.placed[len(to.placed)-1].Count).To(Equal(4))
		Expect(to.ids[to.placed[0].ID]).To(Equal(1))
	})

	It("sends nothing without the lease, or while the journal can't be written", func() {
		h.epoch = 0
		p := newPlacer()
		p.Want("g", want(3))
		turn(p, 2)
		h.epoch = 1
		store.SetFault(func(op, _ string) explore.Fault {
			if op == "put" {
				return explore.LoseAnswer
			}
			return explore.NoFault
		})
		turn(p, 2)
		Expect(to.placed).To(BeEmpty())
		store.SetFault(nil)
		turn(p, 4)
		Expect(to.placed).To(HaveLen(1), "a conflict and a read tell that the write took effect")
	})

	It("stops when the journal belongs to a later holder", func() {
		p := newPlacer()
		h.epoch = 2
		q := newPlacer()
		q.Want("g", want(5))
		turn(q, 2)
		h.epoch = 1
		p.Want("g", want(3))
		turn(p, 3)
		Expect(to.placed).To(HaveLen(1))
		Expect(to.placed[0].Count).To(Equal(5))
	})

	It("orders once more what a target lacks, and nothing that it was seen to follow", func() {
		p := newPlacer()
		turn(p, 1)
		p.Observe("g", want(3), true)
		p.Want("g", want(3))
		turn(p, 2)
		Expect(to.placed).To(BeEmpty())
		p.Observe("g", order.Fleet{}, false)
		turn(p, 2)
		Expect(to.placed).To(HaveLen(1))
	})

	It("stops when an engine has seen a higher epoch", func() {
		sends := 0
		p := &order.Placer[order.Load]{Duty: "weights", Leases: h, Store: &store, Clock: h, Flight: time.Second}
		p.Send = order.ToEngines(func(string) (order.Applier, bool) {
			sends++
			return fenced{}, true
		})
		p.Want("e", order.Load{Engine: "e", Version: 7})
		for range 3 {
			var group sync.WaitGroup
			p.Turn(context.Background(), &group)
			group.Wait()
			h.now += order.Retry
		}
		Expect(sends).To(Equal(1))
	})
})

type fenced struct{}

func (fenced) Apply(context.Context, engine.Command) error {
	return &engine.RefusedError{Code: "fenced"}
}
