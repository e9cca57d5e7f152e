package object_test

import (
	"context"
	"expvar"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
	"github.com/hyssopwall/hyssopwall/internal/standin/fault"
	"github.com/hyssopwall/hyssopwall/internal/standin/platform"
)

var _ = Describe("Monitor", func() {
	It("logs each change between lost and back once, and counts calls", func(ctx SpecContext) {
		server, client := start(platform.Settings{})
		var seen []event.Number
		var vars expvar.Map
		log := event.Log{Sink: func(entry event.Entry, _ []any) { seen = append(seen, entry.Number) }}
		monitor := &object.Monitor{Store: client, Log: log, Vars: &vars}
		steps := []struct {
			outage fault.Kind
			call   func() error
		}{
			{"", func() error { _, err := monitor.Get(ctx, "absent"); return err }},
			{fault.Down, func() error { _, err := monitor.Put(ctx, "a", nil, 0); return err }},
			{fault.Down, func() error { _, err := monitor.List(ctx, ""); return err }},
			{"", func() error { return monitor.Delete(ctx, "a", 9) }}, // a conflict is an answer
			{fault.Delay, func() error {
				ended, cancel := context.WithCancel(ctx)
				cancel()
				_, err := monitor.Watch(ended, "", 0)
				return err
			}},
		}
		for _, step := range steps {
			server.SetOutage(step.outage)
			Expect(step.call()).NotTo(Succeed())
		}
		Expect(seen).To(Equal([]event.Number{event.PlatformLost, event.PlatformBack}))
		Expect(vars.Get("platform.get").String()).To(Equal("1"))
		Expect(vars.Get("platform.put.failed").String()).To(Equal("1"))
	})
})
