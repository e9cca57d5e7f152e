package batch_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/backend/warmup"
	"github.com/hyssopwall/hyssopwall/internal/entry/forward"
	"github.com/hyssopwall/hyssopwall/internal/rollout/batch"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// coldEngine is an engine that refuses every second request while it is cold, and breaks off
// the others after one event.
type coldEngine struct {
	*engine
	mu      sync.Mutex
	warmAt  time.Time
	sends   []time.Time
	refused bool // whether the latest request was refused
	resumed bool // whether a request resumed a text
}

func (e *coldEngine) Generate(ctx context.Context, server pool.Server, request forward.Request) (batch.Stream, error) {
	if err := request.BeforeSend(); err != nil {
		return nil, &forward.NotRunError{Reason: err.Error()}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sends = append(e.sends, time.Now())
	e.resumed = e.resumed || request.ResumeAfter > 0
	cold := time.Now().Before(e.warmAt)
	e.refused = cold && !e.refused
	if e.refused {
		return nil, &forward.NotRunError{Reason: "loading", Load: &pool.Load{Running: 1, Slots: 64}}
	}
	opened, err := e.engine.Generate(ctx, server, request)
	if inner, ok := opened.(*stream); ok && cold {
		inner.cut = request.ResumeAfter + 1
	}
	return opened, err
}

// mostPerSecond returns the largest number of sends within a second before the engine is warm.
func (e *coldEngine) mostPerSecond() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	most := 0
	for i, from := range e.sends {
		count := 0
		for _, at := range e.sends[i:] {
			if at.Sub(from) < time.Second && at.Before(e.warmAt) {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// Guards against items that flood a cold engine: at the start, after refusals, and when their
// text is resumed after a stream has broken off.
var _ = Describe("a batch whose only engine is cold", func() {
	It("sends it a few items, retries and resumed texts per second, and completes once it is warm", func(ctx SpecContext) {
		const coldTime = 2500 * time.Millisecond
		s := newSite(ctx)
		engine := &coldEngine{engine: s.gen, warmAt: time.Now().Add(coldTime)}
		servers := &pool.Pool{}
		servers.SetWarmUps(map[string]warmup.Rules{"llm": {Rate: 7.9, Overage: 1.5, Slack: 5}})
		// Each break is a failure, after which the server is checked.
		servers.Hooks.CheckHealth = func(server pool.Server, started time.Time) {
			go servers.RecordHealth(server, started, true)
		}
		servers.Replace([]pool.Server{{Name: "e1", Service: "llm", Slots: 64, Versions: map[string]uint64{"m": 5}, WarmUpLeft: coldTime}})
		batches := &batch.Batches{
			Host: "h", Incarnation: 1, Store: s.store, Peers: &peers{site: s, self: "h"}, Pool: servers,
			Engine: engine, ScorerClient: s.gen, StoreReachable: func() bool { return true }, RetryAfter: func() time.Duration { return time.Second },
			Log: event.Log{Sink: func(event.Entry, []any) {}},
		}
		runCtx, cancel := context.WithCancel(ctx)
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			batches.Run(runCtx)
		}()
		DeferCleanup(func() {
			cancel()
			<-stopped
		})
		Eventually(batches.AcceptsBatches, patience).Should(BeTrue())
		var items []string
		for i := range 20 {
			items = append(items, string(rune('a'+i)))
		}
		Expect(batches.Accept(ctx, submission("b", items...))).To(Succeed())
		Expect(batches.Owners("llm")).To(Equal([]string{"h"}))
		Eventually(func() int {
			page, err := batches.Read(ctx, "b", "w", 0, 0)
			if err != nil {
				return 0
			}
			return len(page.Results)
		}, 20*time.Second).Should(Equal(20))
		Expect(engine.mostPerSecond()).To(And(BeNumerically(">", 1), BeNumerically("<=", 5)))
		Expect(engine.resumed).To(BeTrue())
	})
})
