package usage_test

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/billing/usage"
	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

var _ = Describe("a meter whose copies can't be reached", func() {
	It("logs it once, and once more when they are reachable again", func(ctx SpecContext) {
		running, stop := context.WithCancel(ctx)
		defer stop()
		f := newFleet(running, "b", "c")
		var alone atomic.Bool
		alone.Store(true)
		logged := make(chan event.Number, 16)
		m := &usage.Meter{
			Self: view.Member{Host: "a", Incarnation: 1}, Peers: f, Alive: f.alive, Now: f.wall,
			Hosts: func() []view.Member {
				if alone.Load() {
					return nil
				}
				return f.living()
			},
			Log: event.Log{Sink: func(entry event.Entry, _ []any) { logged <- entry.Number }},
		}
		go m.Run(running)
		count := func() error { return m.Add(ctx, "w", usage.Count{Requests: 1}) }
		Expect(count()).NotTo(Succeed())
		Expect(count()).NotTo(Succeed())
		alone.Store(false)
		Expect(count()).To(Succeed())
		Eventually(ctx, logged).Should(Receive(Equal(event.UsageUnderReplicated)))
		Eventually(ctx, logged).Should(Receive(Equal(event.UsageReplicated)))
		Consistently(logged, 50*time.Millisecond).ShouldNot(Receive())
	})
})
