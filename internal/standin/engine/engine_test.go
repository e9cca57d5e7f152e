package engine_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/standin/clock"
	standin "github.com/hyssopwall/hyssopwall/internal/standin/engine"
	"github.com/hyssopwall/hyssopwall/internal/standin/fault"
	"github.com/hyssopwall/hyssopwall/internal/standin/platform"
)

func TestEngine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine stand-in")
}

// start starts an engine with version 1 of the model and returns it with a client.
func start(settings standin.Settings) (*standin.Engine, *engine.Client) {
	settings.Model = "assay"
	settings.Version = 1
	settings.Step = 50 * time.Microsecond
	server := standin.New(settings)
	Expect(server.Start("127.0.0.1:0")).To(Succeed())
	DeferCleanup(server.Close)
	return server, &engine.Client{Base: server.URL()}
}

// run generates an answer and returns the weights versions of all its events.
func run(ctx context.Context, client *engine.Client, id, prompt string, priority int) []uint64 {
	stream, err := client.Run(ctx, engine.Request{ID: id, Model: "assay", Prompt: prompt, MaxTokens: 8, Priority: priority})
	Expect(err).NotTo(HaveOccurred())
	defer stream.Close()
	var versions []uint64
	for {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return versions
		}
		Expect(err).NotTo(HaveOccurred())
		versions = append(versions, event.Versions...)
	}
}

// waitLoaded waits until the engine serves a weights version.
func waitLoaded(ctx context.Context, client *engine.Client, version uint64) {
	Eventually(func() uint64 {
		state, err := client.State(ctx)
		Expect(err).NotTo(HaveOccurred())
		return state.Version
	}).WithContext(ctx).Should(Equal(version))
}

var _ = Describe("Engine", func() {
	prompt := strings.Repeat("p", 4*engine.BlockBytes)

	It("publishes cache events late, with gaps, and evicts", func(ctx SpecContext) {
		var now clock.Manual
		server, client := start(standin.Settings{Cache: 3, CacheLag: time.Second, Now: now.Now})
		server.Faults().Add(fault.Rule{Step: standin.Cache, Kind: fault.Gapped, After: 1, Count: 1})
		run(ctx, client, "r-1", prompt, 0)
		events, err := client.CacheEvents(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(events).To(BeEmpty())
		now.Advance(time.Second)
		events, err = client.CacheEvents(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		hashes := engine.PrefixHashes("", prompt)
		Expect(events).To(Equal([]engine.CacheEvent{
			{Sequence: 1, Prefix: hashes[0]},
			{Sequence: 3, Prefix: hashes[2]},
			{Sequence: 4, Prefix: hashes[3]},
			{Sequence: 5, Prefix: hashes[0], Evicted: true},
		}))
	}, SpecTimeout(10*time.Second))

	It("reports the weight versions of the cached blocks that it reuses", func(ctx SpecContext) {
		for _, keep := range []bool{true, false} {
			server, client := start(standin.Settings{KeepCache: keep})
			Expect(run(ctx, client, "r-1", prompt, 0)).To(HaveEach(uint64(1)))
			Expect(client.Apply(ctx, engine.Command{ID: "c", Epoch: 1, Version: 2})).To(Succeed())
			waitLoaded(ctx, client, 2)
			versions := run(ctx, client, "r-2", prompt, 0)
			Expect(versions).To(ContainElement(uint64(2)))
			if keep {
				Expect(versions).To(ContainElement(uint64(1)))
				Expect(server.Counts().Hits).To(Equal(4))
			} else {
				Expect(versions).NotTo(ContainElement(uint64(1)))
			}
		}
	}, SpecTimeout(10*time.Second))

	It("serves a higher priority first and refuses when it is full", func(ctx SpecContext) {
		ticks := make(chan struct{})
		_, client := start(standin.Settings{Slots: 1, Waiting: 2, Ticks: ticks})
		low, err := client.Run(ctx, engine.Request{ID: "low", Model: "assay", Prompt: "a", MaxTokens: 4})
		Expect(err).NotTo(HaveOccurred())
		high, err := client.Run(ctx, engine.Request{ID: "high", Model: "assay", Prompt: "b", MaxTokens: 4, Priority: 9})
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Run(ctx, engine.Request{ID: "more", Model: "assay", Prompt: "c", MaxTokens: 4})
		refused, ok := errors.AsType[*engine.RefusedError](err)
		Expect(ok).To(BeTrue())
		Expect(refused.Code).To(Equal("busy"))
		ticks <- struct{}{}
		event, err := high.Next()
		Expect(err).NotTo(HaveOccurred())
		Expect(event.ID).To(Equal("high"))
		state, err := client.State(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(state.Waiting).To(Equal(1))
		Expect(low.Close()).To(Succeed())
	}, SpecTimeout(10*time.Second))

	It("loads weights at the rate of the store, and keeps the old ones when that fails", func(ctx SpecContext) {
		store := platform.New(platform.Settings{Downloads: 100, Bytes: 1000})
		Expect(store.Start("127.0.0.1:0")).To(Succeed())
		DeferCleanup(store.Close)
		store.Publish("assay")
		store.Publish("assay")
		server, client := start(standin.Settings{Weights: store.URL()})
		second, other := start(standin.Settings{Weights: store.URL()})
		store.Faults().Add(fault.Rule{Step: platform.Download, Kind: fault.Corrupt, Count: 1})
		Expect(client.Apply(ctx, engine.Command{ID: "c-1", Epoch: 1, Version: 2})).To(Succeed())
		Eventually(func() int { return server.Counts().LoadFails }).WithContext(ctx).Should(Equal(1))
		state, err := client.State(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(state.Version).To(Equal(uint64(1)))
		Expect(client.Apply(ctx, engine.Command{ID: "c-2", Epoch: 1, Version: 2})).To(Succeed())
		Expect(other.Apply(ctx, engine.Command{ID: "c-2", Epoch: 1, Version: 2})).To(Succeed())
		waitLoaded(ctx, client, 2)
		waitLoaded(ctx, other, 2)
		Expect(store.Downloads("assay")).To(Equal(3))
		Expect(second.Counts().LoadFails).To(BeZero())
	}, SpecTimeout(10*time.Second))

	It("reports its load with the configured lag, and refuses new generations when it is leaving", func(ctx SpecContext) {
		var now clock.Manual
		server, client := start(standin.Settings{LoadLag: time.Second, Ticks: make(chan struct{}), Now: now.Now})
		before, err := client.State(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Run(ctx, engine.Request{ID: "r", Model: "assay", Prompt: "a", MaxTokens: 4})
		Expect(err).NotTo(HaveOccurred())
		state, err := client.State(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(state.Waiting).To(Equal(before.Waiting))
		now.Advance(time.Second)
		state, err = client.State(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(state.Waiting).To(Equal(1))
		server.Leave()
		_, err = client.Run(ctx, engine.Request{ID: "s", Model: "assay", Prompt: "a", MaxTokens: 4})
		refused, ok := errors.AsType[*engine.RefusedError](err)
		Expect(ok).To(BeTrue())
		Expect(refused.Code).To(Equal("leaving"))
	}, SpecTimeout(10*time.Second))
})
