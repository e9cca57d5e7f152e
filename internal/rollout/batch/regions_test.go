package batch_test

import (
	"cmp"
	"context"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/rollout/batch"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// rankedPeers are peers that rank the hosts of a site in order of their names.
type rankedPeers struct {
	*peers
	hosts []string
}

func (p rankedPeers) First(_ string, count int) []string { return p.hosts[:min(count, len(p.hosts))] }

// Guards against owners that hold the bodies of a batch, or run its items, in a region that
// its route or workspace excludes.
var _ = Describe("a batch that is bound to regions", func() {
	// The engine e1 is in the south; the hosts h1 and h2 are in the north, h3 to h5 in the south.
	regions := map[string]string{"h1": "north", "h2": "north", "h3": "south", "h4": "south", "h5": "south", "z1": "south", "z2": "north"}
	hosts := []string{"h1", "h2", "h3", "h4", "h5"}
	var s *site
	BeforeEach(func() {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		s = newSite(ctx)
		s.configure = func(b *batch.Batches) {
			host := b.Host
			b.Peers = rankedPeers{&peers{site: s, self: host}, hosts}
			b.Region = regions[host]
			b.HostsOutside = func(allowed []string) []string {
				return slices.DeleteFunc(slices.Clone(hosts), func(h string) bool { return h == host || slices.Contains(allowed, regions[h]) })
			}
			b.Log = event.Log{Sink: func(event.Entry, []any) {}}
			b.Pool.RegionOf = func(zone string) string { return regions[zone] }
			b.Pool.Replace([]pool.Server{
				{Name: "e1", Service: "llm", Slots: 64, Zone: "z1", Versions: map[string]uint64{"m": 5}},
				{Name: "e2", Service: "llm", Slots: 64, Zone: "z2", Versions: map[string]uint64{"m": 5}},
			})
		}
		for _, host := range hosts {
			s.start(host, 1)
		}
	})
	owners := func(acceptedBy string) []string { return s.batches(acceptedBy).Owners("llm") }

	DescribeTable("is owned in these regions or that of the host that accepted it", func(ctx SpecContext, by, owner string, lists ...[]string) {
		submitted := submission("b", "i1")
		submitted.SetRegions(lists)
		s.gen.mu.Lock()
		s.gen.hold["i1"] = make(chan struct{})
		s.gen.mu.Unlock()
		Expect(s.batches(by).Accept(ctx, submitted)).To(Succeed())
		Expect(owners(by)).To(Equal([]string{owner}))
		ranOn := func() string { return s.gen.server("i1") }
		Eventually(ranOn, patience).ShouldNot(BeEmpty())
		if len(lists) > 0 {
			Expect(ranOn()).To(Equal("e1"))
		}
	},
		Entry("without lists by the first host in rank", "h4", "h1"),
		Entry("by a host in the region", "h4", "h3", []string{"south"}),
		Entry("by a host in the region of the accepting one", "h2", "h1", []string{"south"}),
		Entry("by both lists", "h5", "h3", []string{"north", "south"}, []string{"south"}),
	)

	It("is taken over by a host in these regions only", func(ctx SpecContext) {
		submitted := submission("b", "i1")
		submitted.SetRegions([][]string{{"south"}})
		s.gen.mu.Lock()
		s.gen.hold["i1"] = make(chan struct{})
		s.gen.mu.Unlock()
		Expect(s.batches("h4").Accept(ctx, submitted)).To(Succeed())
		Expect(owners("h4")).To(Equal([]string{"h3"}))
		s.kill("h3")
		Eventually(func() string {
			return cmp.Or(owners("h4")...)
		}, 10*time.Second).Should(Equal("h4"))
	})

	It("binds its scorers", func() {
		submitted := batch.Batch{Items: []batch.Item{{Scorer: &batch.Scorer{}}, {}}}
		submitted.SetRegions([][]string{{"south"}})
		Expect(submitted.Items[0].Scorer.Regions).To(Equal([][]string{{"south"}}))
	})
})
