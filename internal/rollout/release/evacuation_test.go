package release_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/fleet/lease"
	"github.com/hyssopwall/hyssopwall/internal/rollout/batch"
	"github.com/hyssopwall/hyssopwall/internal/rollout/release"
	"github.com/hyssopwall/hyssopwall/internal/rollout/weights"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
	"github.com/hyssopwall/hyssopwall/internal/site/policy"
	"github.com/hyssopwall/hyssopwall/internal/standin/objects"
)

// recorder implements release.Engines and records the engines that it is called for.
type recorder struct {
	mu     sync.Mutex
	called map[string]int
}

func (r *recorder) record(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.called[name]++
}

func (r *recorder) count(name string) func() int {
	return func() int {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.called[name]
	}
}

func (r *recorder) Load(_ context.Context, server pool.Server, _ weights.Load, _ int64, _ lease.Grant) error {
	r.record(server.Name)
	return nil
}

func (r *recorder) Status(_ context.Context, server pool.Server) (release.Status, error) {
	r.record(server.Name)
	return release.Status{}, nil
}

// Guards against loads and status queries that are sent to an evacuated zone.
var _ = Describe("engines in an evacuated zone", func() {
	It("get no orders and no queries until the evacuation ends", func() {
		ctx, cancel := context.WithCancel(context.Background())
		quiet := event.Log{Sink: func(event.Entry, []any) {}}
		servers := &pool.Pool{}
		servers.Replace([]pool.Server{{Name: "a", Service: "s", Slots: 4, Zone: "y"}, {Name: "b", Service: "s", Slots: 4, Zone: "z"}})
		servers.SetEvacuated([]string{"z"})
		holder := &lease.Holder{
			Host: "h", Incarnation: 1, Store: &objects.Store{}, Clock: lease.BootClock{}, Duties: []string{"control"}, Log: quiet,
			Config: lease.Config{
				Term: 1700 * time.Millisecond, Margin: 250 * time.Millisecond, OrderTimeout: 700 * time.Millisecond,
				Renew: 200 * time.Millisecond, Poll: 100 * time.Millisecond,
			},
		}
		engines := &recorder{called: map[string]int{}}
		coordinator := &release.Coordinator{
			Pool: servers, Engines: engines, Holder: holder, Duty: "control", Log: quiet,
			Policy: func() *policy.Policy {
				return &policy.Policy{Services: []policy.Service{{Name: "s", Models: []string{"m"}}}}
			},
			Demand: func(string) batch.Demand { return batch.Demand{} },
		}
		coordinator.ObserveRelease("m", 2)
		var group sync.WaitGroup
		group.Go(func() { holder.Run(ctx) })
		group.Go(func() { coordinator.Run(ctx) })
		DeferCleanup(func() {
			cancel()
			group.Wait()
		})
		Eventually(engines.count("a"), 10*time.Second).Should(BeNumerically(">", 2))
		Expect(engines.count("b")()).To(BeZero())
		servers.SetEvacuated(nil)
		Eventually(engines.count("b"), 10*time.Second).Should(BeNumerically(">", 0))
	})
})
