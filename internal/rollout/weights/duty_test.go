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

// environment implements the interfaces that a duty uses. Its clock advances only in
// turn: each call of After by the duty blocks until turn receives its channel.
type environment struct {
	mu       sync.Mutex
	now      time.Time
	turns    chan chan time.Time
	next     chan time.Time // on which the duty waits
	epoch    uint64         // zero when the lease is not held
	release  weightstore.Release
	engines  []weights.Engine
	applyErr error // returned for orders
	orders   []engine.Command
	events   []event.Number
}

func (e *environment) Now() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.now
}

func (e *environment) After(time.Duration) <-chan time.Time {
	fire := make(chan time.Time, 1)
	e.turns <- fire
	return fire
}

func (e *environment) Held(now time.Time) (uint64, time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.epoch, now.Add(time.Minute), e.epoch > 0
}

func (e *environment) Newest(context.Context, string) (weightstore.Release, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.release, nil
}

func (e *environment) Engines(context.Context, string) ([]weights.Engine, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]weights.Engine(nil), e.engines...), nil
}

func (e *environment) Apply(_ context.Context, _ string, command engine.Command) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, command)
	return e.applyErr
}

// turn advances the clock by a second and lets the duty run one step. It returns when the
// duty waits again.
func (e *environment) turn() {
	fire := e.next
	if fire == nil {
		fire = <-e.turns
	}
	e.mu.Lock()
	e.now = e.now.Add(time.Second)
	e.mu.Unlock()
	fire <- e.now
	e.next = <-e.turns
}

func (e *environment) sent() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.orders)
}

var _ = Describe("the duty", func() {
	var env *environment
	var duty *weights.Duty
	BeforeEach(func() {
		env = &environment{
			now: time.Unix(1_800_000_000, 0), turns: make(chan chan time.Time), epoch: 1,
			release: weightstore.Release{Model: "m", Version: 2, MaxDownloadRate: 10},
			engines: []weights.Engine{{Name: "e0", Zone: "a", Version: 1, Boot: "0", Slots: 8}},
		}
		log := event.Log{Sink: func(entry event.Entry, _ []any) { env.events = append(env.events, entry.Number) }}
		duty = &weights.Duty{Model: "m", Fleet: env, Store: env, Lease: env, Clock: env, Log: log, Policy: weights.Policy{LoadTimeout: 10 * time.Second}}
		duty.Start(context.Background())
	})
	AfterEach(func() {
		if env.next != nil {
			env.next <- time.Time{}
		}
		turns, done := env.turns, make(chan struct{})
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

	It("orders each load once, under the epoch of its lease", func() {
		env.turn()
		Eventually(env.sent).Should(Equal(1))
		env.turn()
		env.turn()
		Expect(env.sent()).To(Equal(1))
		Expect(env.orders[0].Epoch).To(Equal(uint64(1)))
		Expect(env.orders[0].Version).To(Equal(uint64(2)))
	})

	It("sends no order while another host holds the lease", func() {
		env.mu.Lock()
		env.epoch = 0
		env.mu.Unlock()
		env.turn()
		env.turn()
		Expect(env.sent()).To(BeZero())
	})

	It("repeats an order under a new epoch with the same ID", func() {
		env.turn()
		Eventually(env.sent).Should(Equal(1))
		env.mu.Lock()
		env.epoch = 3
		env.mu.Unlock()
		env.turn()
		env.turn()
		Eventually(env.sent).Should(Equal(2))
		Expect(env.orders[1].ID).To(Equal(env.orders[0].ID))
		Expect(env.orders[1].Epoch).To(Equal(uint64(3)))
	})

	It("keeps a load in progress until its timeout if the response to its order was lost", func() {
		env.applyErr = errors.New("timeout")
		env.turn()
		Eventually(env.sent).Should(Equal(1))
		for range 5 {
			env.turn()
		}
		Expect(env.sent()).To(Equal(1))
		for range 8 {
			env.turn()
		}
		Eventually(env.sent).Should(Equal(2))
	})
})
