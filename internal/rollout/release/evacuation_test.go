package release

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/fleet/lease"
	"github.com/hyssopwall/hyssopwall/internal/rollout/weights"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// recorder implements Engines and records the engines that it is called for.
type recorder struct{ called []string }

func (r *recorder) Load(_ context.Context, server pool.Server, _ weights.Load, _ int64, _ lease.Grant) error {
	r.called = append(r.called, server.Name)
	return nil
}

func (r *recorder) Status(_ context.Context, server pool.Server) (Status, error) {
	r.called = append(r.called, server.Name)
	return Status{}, nil
}

// Guards against loads and status queries that are sent to an evacuated zone, also if the zone
// was evacuated after they were planned.
var _ = Describe("engines in an evacuated zone", func() {
	It("get no orders and no queries", func(ctx SpecContext) {
		a, b := pool.Server{Name: "a", Service: "s", Zone: "y"}, pool.Server{Name: "b", Service: "s", Zone: "z"}
		engines := &recorder{}
		c := &Coordinator{Pool: &pool.Pool{}, Engines: engines, status: map[string]engineStatus{}, Log: event.Log{Sink: func(event.Entry, []any) {}}}
		c.Pool.Replace([]pool.Server{a, b})
		Expect(c.engines("s")).To(ConsistOf(a, b))
		c.Pool.SetEvacuated([]string{"z"})
		Expect(c.engines("s")).To(ConsistOf(a))
		for _, server := range []pool.Server{a, b} {
			c.queryStatus(ctx, server)
			_ = c.sendLoad(ctx, weights.Load{}, server, 0, lease.Grant{}) // the error of b names the zone
		}
		Expect(engines.called).To(Equal([]string{"a", "a"}))
	})
})
