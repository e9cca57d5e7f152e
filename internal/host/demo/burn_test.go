package demo_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/billing/burn"
	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
	"github.com/hyssopwall/hyssopwall/internal/host/demo"
	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
	"github.com/hyssopwall/hyssopwall/internal/standin/caller"
	"github.com/hyssopwall/hyssopwall/internal/standin/load"
	"github.com/hyssopwall/hyssopwall/internal/standin/trainer"
)

// longestBurn merges the burn snapshots of all hosts and returns the counts of the longest
// window, keyed by workspace and measure.
func longestBurn(ctx context.Context, site *demo.Site) (map[string]burn.Rate, error) {
	var merged burn.Merged
	for _, url := range site.URLs() {
		body, err := rest.Caller{Base: url}.Do(ctx, rest.Call{Method: http.MethodGet, Path: "/debug/burn"})
		if err != nil {
			return nil, err
		}
		snapshot, err := wire.Decode[burn.Snapshot](body)
		if err != nil {
			return nil, err
		}
		if _, err := merged.Add(snapshot); err != nil {
			return nil, err
		}
	}
	rates := make(map[string]burn.Rate)
	for _, workspace := range merged.Report(time.Now()).Workspaces {
		for _, line := range workspace.Lines {
			rates[workspace.Workspace+" "+line.Measure] = line.Rates[len(line.Rates)-1]
		}
	}
	return rates, nil
}

var _ = Describe("the burn of a site", func() {
	It("counts the requests and samples served by all hosts", func(ctx SpecContext) {
		site := start(ctx)
		served := load.Run(ctx, load.Settings{
			Hosts: site.URLs(), Duration: time.Second, Seed: 1,
			Workspaces: []load.Workspace{
				{Name: "billing", Key: "demo-hcm-south-billing", Kind: load.Service, Rate: 20, Service: "orderbook-app/quotes", SendIdempotencyKey: true},
			},
		})
		quoteTrainer := trainer.New(trainer.Settings{
			Client: &caller.Client{Hosts: site.URLs(), Key: "demo-hcm-south-quote-training"},
			Name:   "t1", Model: "quote-llm", Bound: 2, Tokens: 32,
			Groups: []trainer.Group{{Prompt: "crank", Samples: 8, Seed: 1}},
			Newest: func() uint64 { return 1 },
		})
		quoteTrainer.Run(ctx, 1, 2)
		Expect(quoteTrainer.Report().Whole).To(Equal(2))
		Eventually(func() (map[string]burn.Rate, error) { return longestBurn(ctx, site) }).WithContext(ctx).Should(And(
			HaveKeyWithValue("billing success", HaveField("Good", BeEquivalentTo(served.Lines[0].Good))),
			HaveKeyWithValue("quote-training fresh", HaveField("Good", BeEquivalentTo(16))),
			HaveKeyWithValue("quote-training step", HaveField("Good", BeEquivalentTo(2))),
		))
	}, SpecTimeout(time.Minute))
})
