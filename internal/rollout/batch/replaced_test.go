package batch_test

import (
	"encoding/json"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/rollout/batch"
	"github.com/hyssopwall/hyssopwall/internal/standin/objects"
)

var _ = Describe("a batch on a site that tolerates the loss of a zone", func() {
	// A call to the store that was held up by the partition succeeds once that heals. Guards
	// against a takeover from an owner that was silent only because this host was cut off.
	It("stays with its owner whenever the cut of the first in rank heals", func(ctx SpecContext) {
		s := newZoneSite(ctx, 1, "b1", "a1", "a2", "c1")
		s.hold("a1", "one", "x1")
		for n := range 6 {
			s.cutZone("b")
			time.Sleep(1100*time.Millisecond + time.Duration(n)*60*time.Millisecond)
			s.cutZone("")
			Consistently(s.owner, 500*time.Millisecond).WithArguments("one").Should(Equal("a1"))
		}
	})

	// The owner is replaced and does not know it yet. Guards against readers that find less
	// there than they have read from the new owner.
	It("shows the results of its new owner also at the one before", func(ctx SpecContext) {
		s := newZoneSite(ctx, 1, "a2", "a1", "b1")
		s.gen.hold["x1"], s.gen.hold["x2"] = make(chan struct{}), make(chan struct{})
		Expect(s.batches("a1").Accept(ctx, submission("one", "x1", "x2"))).To(Succeed())
		Eventually(func() []int { return s.gen.resumed("x2") }, patience).ShouldNot(BeEmpty())
		s.batches("a1").ServePartials(ctx, batch.PartialsRequest{Workspace: "w", Route: "r", Items: []string{"x1", "x2"}})
		chunk, err := json.Marshal([]batch.Result{{ID: "x1", State: batch.Errored}})
		Expect(err).NotTo(HaveOccurred())
		_, err = s.store.Put(ctx, batch.LogPrefix+"one/00000", chunk, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.listed("a1", "one")).To(Equal([]string{"x1"}))
	})

	// A host with a busy link writes results, and the answers come too late. Guards against
	// readers that find less at the owner than others have read from the store.
	It("shows results that the store has although their write got no answer", func(ctx SpecContext) {
		s := newSite(ctx, "h1")
		s.store.Inject(func(op, key string) objects.Fault {
			if op == "put" && strings.HasPrefix(key, batch.LogPrefix) {
				return objects.Lost
			}
			return objects.None
		})
		Expect(s.batches("h1").Accept(ctx, submission("one", "x1"))).To(Succeed())
		Eventually(func() []string { return s.listed("h1", "one") }, patience).Should(Equal([]string{"x1"}))
	})
})
