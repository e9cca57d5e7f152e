package engine_test

import (
	"context"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	standin "github.com/hyssopwall/hyssopwall/internal/standin/engine"
	"github.com/hyssopwall/hyssopwall/internal/standin/fault"
)

// reachStep makes an engine execute a step and waits for its result. Errors are ignored:
// they come from the injected fault.
func reachStep(ctx context.Context, server *standin.Engine, client *engine.Client, step fault.Step, kind fault.Kind) {
	request := engine.Request{ID: "r", Model: "assay", Prompt: strings.Repeat("p", engine.BlockBytes), MaxTokens: 12}
	switch step {
	case standin.Cancel:
		_ = client.Cancel(ctx, "r")
	case standin.Export:
		_, _ = client.Export(ctx, "r")
	case standin.State:
		_, _ = client.State(ctx)
	case standin.Command:
		epoch := uint64(3)
		if kind == fault.IgnoreFencing {
			epoch = 1 // older than the epoch of the first command
		}
		_ = client.Apply(ctx, engine.Command{ID: "next", Epoch: epoch, Role: "decode"})
	case standin.Load:
		_ = client.Apply(ctx, engine.Command{ID: "new", Epoch: 2, Version: 2})
		Eventually(func() bool {
			state, err := client.State(ctx)
			return err != nil || state.Version == 2 || server.Counts().LoadFails > 0
		}).WithContext(ctx).Should(BeTrue())
	default:
		if step == standin.Import {
			request.Resume = &engine.Resume{Cache: []byte("cache")}
		}
		if stream, err := client.Run(ctx, request); err == nil {
			for err == nil {
				_, err = stream.Next()
			}
			_ = stream.Close()
		}
		_, _ = client.CacheEvents(ctx, 0)
	}
}

var _ = Describe("Catalog", func() {
	It("holds exactly the faults that can happen", func(ctx SpecContext) {
		for step, kinds := range standin.Catalog() {
			for _, kind := range fault.Kinds() {
				settings := standin.Settings{}
				if step == standin.Cancel || step == standin.Export {
					settings.Ticks = make(chan struct{}) // never steps, so the generation stays queued
				}
				server, client := start(settings)
				Expect(client.Apply(ctx, engine.Command{ID: "first", Epoch: 2, Role: "prefill"})).To(Succeed())
				server.Faults().Add(fault.Rule{Step: step, Kind: kind, Count: 1})
				// Cancel and Export need a waiting generation.
				if step == standin.Cancel || step == standin.Export {
					stream, err := client.Run(ctx, engine.Request{ID: "r", Model: "assay", Prompt: "p", MaxTokens: 4000})
					Expect(err).NotTo(HaveOccurred())
					defer stream.Close()
				}
				reachStep(ctx, server, client, step, kind)
				want := 0
				if slices.Contains(kinds, kind) {
					want = 1
				}
				Expect(server.Faults().Injected(step, kind)).To(Equal(want), "%s %s", step, kind)
				server.Close()
			}
		}
	}, SpecTimeout(30*time.Second))
})
