package weights_test

import (
	"context"
	"errors"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/platform/weightstore"
	"github.com/hyssopwall/hyssopwall/internal/rollout/weights"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// bench plays everything that a duty meets. Its clock moves only when the test
// says so: each look of the duty at After waits for a turn.
type bench struct {
	mu      sync.Mutex
	now     time.Time
	turns   chan chan time.Time
	next    chan time.Time // on which the duty waits
	epoch   uint64         // zero when the lease is not held
	release weightstore.Release
	engines []weights.Engine
	answer  error // of orders
	orders  []engine.Command
	events  []event.Number
}

func (b *bench) Now() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.now
}

func (b *bench) After(time.Duration) <-chan time.Time {
	fire := make(chan time.Time, 1)
	b.turns <- fire
	return fire
}

func (b *bench) Held(now time.Time) (uint64, time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.epoch, now.Add(time.Minute), b.epoch > 0
}

func (b *bench) Newest(context.Context, string) (weightstore.Release, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.release, nil
}

func (b *bench) Engines(context.Context, string) ([]weights.Engine, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]weights.Engine(nil), b.engines...), nil
}

func (b *bench) Apply(_ context.Context, _ string, command engine.Command) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.orders = append(b.orders, command)
	return b.answer
}

// turn lets the duty look once, a second later. It returns when the duty waits
// again.
func (b *bench) turn() {
	fire := b.next
	if fire == nil {
		fire = <-b.turns
	}
	b.mu.Lock()
	b.now = b.now.Add(time.Second)
	b.mu.Unlock()
	fire <- b.now
	b.next = <-b.turns
}

func (b *bench) sent() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.orders)
}

var _ = Describe("the duty", func() {
	var b *bench
	var duty *weights.Duty
	BeforeEach(func() {
		b = &bench{
			now: time.Unix(1_800_000_000, 0), turns: make(chan chan time.Time), epoch: 1,
			release: weightstore.Release{Model: "m", Version: 2, Rate: 10},
			engines: []weights.Engine{{Name: "e0", Zone: "a", Version: 1, Boot: "0", Slots: 8}},
		}
		log := event.Log{Sink: func(e event.Entry, _ []any) { b.events = append(b.events, e.Number) }}
		duty = &weights.Duty{Model: "m", Fleet: b, Store: b, Lease: b, Clock: b, Log: log, Policy: weights.Policy{LoadTimeout: 10 * time.Second}}
		duty.Start(context.Background())
	})
	AfterEach(func() {
		if b.next != nil {
			b.next <- time.Time{}
		}
		turns, done := b.turns, make(chan struct{})
		go func() {
			for {
				select {
				case fire := <-turns:
					fire <- time.Time{}
				case <-done:
					return
				}
			}
		}()
		Expect(duty.Close()).To(Succeed())
		close(done)
	})

	It("orders under the epoch of its lease, once", func() {
		b.turn()
		Eventually(b.sent).Should(Equal(1))
		b.turn()
		b.turn()
		Expect(b.sent()).To(Equal(1))
		Expect(b.orders[0].Epoch).To(Equal(uint64(1)))
		Expect(b.orders[0].Version).To(Equal(uint64(2)))
	})

	It("sends nothing while another host holds the lease", func() {
		b.mu.Lock()
		b.epoch = 0
		b.mu.Unlock()
		b.turn()
		b.turn()
		Expect(b.sent()).To(BeZero())
	})

	It("repeats an order under a new epoch with the same ID", func() {
		b.turn()
		Eventually(b.sent).Should(Equal(1))
		b.mu.Lock()
		b.epoch = 3
		b.mu.Unlock()
		b.turn()
		b.turn()
		Eventually(b.sent).Should(Equal(2))
		Expect(b.orders[1].ID).To(Equal(b.orders[0].ID))
		Expect(b.orders[1].Epoch).To(Equal(uint64(3)))
	})

	It("keeps the place of an order whose answer was lost until its time limit", func() {
		b.answer = errors.New("timeout")
		b.turn()
		Eventually(b.sent).Should(Equal(1))
		for range 5 {
			b.turn()
		}
		Expect(b.sent()).To(Equal(1))
		for range 8 {
			b.turn()
		}
		Eventually(b.sent).Should(Equal(2))
	})
})
