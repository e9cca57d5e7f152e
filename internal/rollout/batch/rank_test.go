package batch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a batch that waits for a zone that is cut off, because a host there is
// first in rank, and against two orders of the same hosts.
var _ = DescribeTable("the succession of a batch names other zones first and each host once", func(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for range 50 {
		zoneCount := 1 + rng.IntN(4)
		var ranked []RankedHost
		for n := range 2 + rng.IntN(73) {
			ranked = append(ranked, RankedHost{Name: fmt.Sprintf("h%d", n), Zone: fmt.Sprintf("z%d", rng.IntN(zoneCount))})
		}
		rng.Shuffle(len(ranked), func(i, j int) { ranked[i], ranked[j] = ranked[j], ranked[i] })
		at := func(host string) int {
			return slices.IndexFunc(ranked, func(h RankedHost) bool { return h.Name == host })
		}
		owner, previous := ranked[rng.IntN(len(ranked))], ranked[rng.IntN(len(ranked))]
		order := succession(ranked, owner.Name, previous.Name)
		Expect(order).To(HaveLen(len(ranked) - 1))
		Expect(order).NotTo(ContainElement(owner.Name))
		class := func(host string) int {
			switch {
			case host == previous.Name:
				return 2
			case ranked[at(host)].Zone == owner.Zone:
				return 1
			}
			return 0
		}
		Expect(slices.IsSortedFunc(order, func(a, b string) int {
			if class(a) != class(b) {
				return class(a) - class(b)
			}
			return at(a) - at(b)
		})).To(BeTrue(), "%v of %v, owner %s, previous %s", order, ranked, owner, previous)
	}
}, Entry(nil, uint64(1)), Entry(nil, uint64(2)), Entry(nil, uint64(3)), Entry(nil, uint64(4)))

// Guards against a changed watch over owners on sites that do not ask for it.
var _ = It("watches owners as before without tolerated zones", func() {
	b := &Batches{}
	Expect(b.ownerWatch()).To(Equal(ownerWatch{interval: 400 * time.Millisecond, pingTimeout: 500 * time.Millisecond, parallelPings: 1, missesPerRank: 3}))
	Expect(b.missKey("h", 7)).To(Equal("h"))
})
