package demo_test

import (
	"fmt"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/examples"
	"github.com/hyssopwall/hyssopwall/internal/host/demo"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
	"github.com/hyssopwall/hyssopwall/internal/standin/caller"
	"github.com/hyssopwall/hyssopwall/internal/standin/load"
	"github.com/hyssopwall/hyssopwall/internal/standin/trainer"
)

var _ = Describe("the log of a site", func() {
	It("contains no key, prompt or answer text", func(ctx SpecContext) {
		var mu sync.Mutex
		var logged []string
		site, err := demo.Start(ctx, demo.Options{
			Document: examples.Forge, HostsPerZone: 1,
			Servers: map[string]int{"quote-llm": 2, "orderbook-app": 1, "quote-scorer": 1},
			Scorers: map[string]bool{"quote-scorer": true},
			Log: event.Log{Sink: func(entry event.Entry, pairs []any) {
				mu.Lock()
				defer mu.Unlock()
				logged = append(logged, fmt.Sprint(entry.Number, pairs))
			}},
		})
		Expect(err).NotTo(HaveOccurred())
		quoteTrainer := trainer.New(trainer.Settings{
			Client: &caller.Client{Hosts: site.URLs(), Key: "demo-hcm-south-quote-training"},
			Name:   "t1", Model: "quote-llm", Bound: 2, Tokens: 16, Score: "quote-scorer",
			Groups: []trainer.Group{{Prompt: "secret-prompt", Samples: 4, Seed: 1}},
			Newest: func() uint64 { return 1 },
		})
		quoteTrainer.Run(ctx, 1, 1)
		_ = load.Run(ctx, load.Settings{
			Hosts: site.URLs(), Duration: time.Second, Seed: 1,
			Workspaces: []load.Workspace{
				{Name: "planning", Key: "demo-hcm-south-planning", Kind: load.Stream, Rate: 5, Model: "quote-llm"},
				{Name: "buyers", Key: "demo-hcm-south-wrong", Kind: load.Stream, Rate: 5, Model: "quote-llm"},
			},
		})
		site.Close()
		mu.Lock()
		defer mu.Unlock()
		Expect(logged).To(ContainElement(HavePrefix(event.StepCompleted.String())))
		for _, line := range logged {
			Expect(line).NotTo(ContainSubstring("demo-hcm-south"))
			Expect(strings.ToLower(line)).NotTo(ContainSubstring("secret-prompt"))
		}
	}, SpecTimeout(time.Minute))
})
