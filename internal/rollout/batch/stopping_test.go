package batch

import (
	"context"
	"fmt"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
	"github.com/hyssopwall/hyssopwall/internal/standin/objects"
)

// Guards against a worker that starts while Run already waits for the last ones to end, which the
// race detector reported once: it goes on after the host has stopped.
var _ = It("starts nothing once a host stops right after it has accepted a batch", func(ctx SpecContext) {
	for range 20 {
		b := &Batches{Host: "h", Store: &objects.Store{}, Pool: &pool.Pool{}, Peers: alone{}, StoreReachable: func() bool { return true }, Log: event.Log{Sink: func(event.Entry, []any) {}}}
		runCtx, stop := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			b.Run(runCtx)
		}()
		Eventually(b.AcceptsBatches).Should(BeTrue())
		var accepting sync.WaitGroup
		for i := range 4 {
			accepting.Go(func() {
				_ = b.Accept(ctx, Batch{ID: fmt.Sprint(i), Items: []Item{{ID: "item"}}}) // refused or accepted
			})
		}
		stop()
		<-ended
		accepting.Wait()
		Expect(b.active).To(BeEmpty())
	}
})

// alone is the site of a single host.
type alone struct{ Peers }

func (alone) First(string, int) []string                { return []string{"h"} }
func (alone) RankRevision() uint64                      { return 0 }
func (alone) Rank(string, ...string) int                { return 0 }
func (alone) Ranked(string) []RankedHost                { return nil }
func (alone) End(context.Context, string, string) error { return nil }
