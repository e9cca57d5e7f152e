package object_test

import (
	"context"
	"expvar"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
	"github.com/hyssopwall/hyssopwall/internal/standin/fault"
	"github.com/hyssopwall/hyssopwall/internal/standin/objects"
	"github.com/hyssopwall/hyssopwall/internal/standin/platform"
)

var _ = Describe("Monitor", func() {
	It("logs each loss and return of the platform once, and counts calls", func(ctx SpecContext) {
		server, client := start(platform.Settings{})
		var logged []event.Number
		var vars expvar.Map
		log := event.Log{Sink: func(entry event.Entry, _ []any) { logged = append(logged, entry.Number) }}
		monitor := &object.Monitor{Store: client, Log: log, Vars: &vars}
		calls := []struct {
			outage fault.Kind
			call   func() error
		}{
			{"", func() error { _, err := monitor.Get(ctx, "absent"); return err }},
			{fault.Down, func() error { _, err := monitor.Put(ctx, "a", nil, 0); return err }},
			{fault.Down, func() error { _, err := monitor.List(ctx, ""); return err }},
			{"", func() error { return monitor.Delete(ctx, "a", 9) }}, // a conflict is a response
			{fault.Delay, func() error {
				canceled, cancel := context.WithCancel(ctx)
				cancel()
				_, err := monitor.Watch(canceled, "", 0)
				return err
			}},
		}
		for _, c := range calls {
			server.SetOutage(c.outage)
			Expect(c.call()).NotTo(Succeed())
		}
		Expect(logged).To(Equal([]event.Number{event.PlatformUnreachable, event.PlatformReachable}))
		Expect(vars.Get("platform.get").String()).To(Equal("1"))
		Expect(vars.Get("platform.put.failed").String()).To(Equal("1"))
	})
})

var _ = Describe("monitors of one host", func() {
	// Guards against a loss that is logged several times: the followers and the calls of a
	// host all fail in the same outage.
	It("log a loss and a return of the platform once, and not a single failure", func(ctx SpecContext) {
		store := &objects.Store{}
		down := false
		store.Inject(func(string, string) objects.Fault {
			if down {
				return objects.Down
			}
			return objects.None
		})
		var logged []event.Number
		log := event.Log{Sink: func(e event.Entry, _ []any) { logged = append(logged, e.Number) }}
		now := time.Unix(1_800_000_000, 0)
		outage := &object.OutageDetector{LossTimeout: time.Second, Now: func() time.Time { return now }}
		one := &object.Monitor{Store: store, Log: log, Outage: outage}
		two := &object.Monitor{Store: store, Log: log, Outage: outage}
		call := func() {
			_, _ = one.List(ctx, "k/")
			_, _ = two.List(ctx, "k/")
		}
		call()
		down = true
		call()
		Expect(logged).To(BeEmpty())
		now = now.Add(time.Second)
		call()
		down = false
		call()
		Expect(logged).To(Equal([]event.Number{event.PlatformUnreachable, event.PlatformReachable}))
	})
})
