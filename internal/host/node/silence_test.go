package node

import (
	"context"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/backend/silence"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
	"github.com/hyssopwall/hyssopwall/internal/standin/objects"
)

var _ = Describe("silent zones", func() {
	quiet := event.Log{Sink: func(event.Entry, []any) {}}

	// Guards against a changed behavior of sites that need not tolerate the loss of a zone.
	It("are not detected unless the settings call for it", func() {
		n := New(Settings{Host: "h", UsageWindow: time.Second}, memoryPlatform(&objects.Store{}), quiet)
		Expect(n.zones).To(BeNil())
		Expect(n.Batches.Zones).To(BeNil())
		Expect(n.Forwarder.Zones).To(BeNil())
		n.watchZones(context.Background()) // returns at once
	})

	// Guards against a zone that gets no requests after its return because nothing is sent
	// there that could be answered, or because the probes go to a single, crashed server.
	It("are used again once a health check there is answered", func(ctx SpecContext) {
		platform := memoryPlatform(&objects.Store{})
		platform.CheckHealth = func(_ context.Context, server pool.Server, _ string) error {
			if server.Name == "a2" {
				return nil
			}
			return errors.New("crashed")
		}
		n := New(Settings{Host: "h", UsageWindow: time.Second, ToleratedZones: 1}, platform, quiet)
		n.Pool.Replace([]pool.Server{{Name: "a1", Service: "s", Zone: "a", Slots: 1}, {Name: "a2", Service: "s", Zone: "a", Slots: 1}})
		now := time.Now()
		for _, server := range []string{"a1", "a2", "a3"} {
			n.zones.Begin("a", server, func() {}).Event(now)
		}
		for range 12 {
			n.zones.Arrived(now, "b")
			n.zones.Check(now, map[string]int{"a": 3})
			now = now.Add(silence.CheckInterval)
		}
		_, ok := n.Pool.Pick(now, pool.Need{Service: "s"})
		Expect(ok).To(BeFalse())
		go n.watchZones(ctx)
		Eventually(func() bool {
			_, ok := n.Pool.Pick(now, pool.Need{Service: "s"})
			return ok
		}, 8*time.Second).Should(BeTrue())
	})
})
