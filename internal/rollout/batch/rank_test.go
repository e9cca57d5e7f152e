package batch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a batch that waits for a zone that is cut off, because a host there is first
// in rank, and against a host that is left out or named twice.
var _ = DescribeTable("the succession of a batch names other zones first and each host once", func(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for range 50 {
		zoneCount, hostCount := 1+rng.IntN(4), 2+rng.IntN(73)
		zone, at := map[string]string{}, map[string]int{}
		var ranked []RankedHost
		for n, name := range rng.Perm(hostCount) {
			h := RankedHost{Name: fmt.Sprintf("h%d", name), Zone: fmt.Sprintf("z%d", rng.IntN(zoneCount))}
			ranked, zone[h.Name], at[h.Name] = append(ranked, h), h.Zone, n
		}
		owner, previous := ranked[rng.IntN(hostCount)].Name, ranked[rng.IntN(hostCount)].Name
		order := succession(ranked, owner, previous)
		position := func(host string) int { // in the expected order
			switch {
			case host == previous:
				return 2 * hostCount
			case zone[host] == zone[owner]:
				return hostCount + at[host]
			}
			return at[host]
		}
		Expect(order).To(HaveLen(hostCount - 1))
		Expect(order).NotTo(ContainElement(owner))
		Expect(slices.IsSortedFunc(order, func(a, b string) int { return position(a) - position(b) })).To(BeTrue(), "%v of %v", order, ranked)
	}
}, Entry(nil, uint64(1)), Entry(nil, uint64(2)), Entry(nil, uint64(3)), Entry(nil, uint64(4)))

// Guards against a batch that nobody takes over because hosts that were removed for good are
// ranked before all others: only the first of the succession watch an owner.
var _ = It("names hosts that answer before silent ones in the succession of a batch", func() {
	ranked := []RankedHost{{Name: "gone1", Zone: "b", Silent: true}, {Name: "owner", Zone: "a", Silent: true}, {Name: "gone2", Zone: "a", Silent: true}, {Name: "b1", Zone: "b"}, {Name: "previous", Zone: "b"}, {Name: "a1", Zone: "a"}}
	Expect(succession(ranked, "owner", "previous")).To(Equal([]string{"b1", "a1", "previous", "gone1", "gone2"}))
})

// countedPeers is a site of many hosts that counts how often they are sorted.
type countedPeers struct {
	Peers
	revision uint64
	sorted   int
}

func (p *countedPeers) RankRevision() uint64 { return p.revision }

func (p *countedPeers) Ranked(string) []RankedHost {
	p.sorted++
	ranked := make([]RankedHost, 390)
	for i := range ranked {
		ranked[i] = RankedHost{Name: fmt.Sprint(i), Zone: fmt.Sprint(i % 14), Silent: p.revision > 1 && i == 0}
	}
	return ranked
}

// Load: each host of a large site asks for its rank four times a second for each open batch. Guards
// against hosts that are sorted each time, and against a rank that stays when hosts change.
var _ = It("keeps the rank for a batch until the hosts or its owner change", func() {
	site := &countedPeers{revision: 1}
	b := &Batches{Host: "1", ToleratedZones: 1, Peers: site}
	k := known{Record: Record{Owner: "15", Epoch: 1}}
	for range 100 {
		Expect(b.takeoverRank("one", k)).To(Equal(362), "in the zone of the owner")
	}
	Expect(site.sorted).To(Equal(1))
	k.Owner, k.Epoch = "14", 2
	Expect(b.takeoverRank("one", k)).To(Equal(0), "in another zone, after those of the owner")
	site.revision = 2
	Expect(b.takeoverRank("one", k)).To(Equal(0))
	Expect(site.sorted).To(Equal(3))
	b.remove("one")
	Expect(b.ranks).To(BeEmpty())
})

// Guards against silent owners that are never replaced: with more than 32 of them, a round of pings
// took longer than one timeout, which counted as a stall of the host that pings.
var _ = It("allows a round of pings the time of all its waves", func() {
	watch := (&Batches{ToleratedZones: 1}).ownerWatch()
	Expect(watch.roundTimeout(0)).To(Equal(480 * time.Millisecond))
	Expect(watch.roundTimeout(32)).To(Equal(480 * time.Millisecond))
	Expect(watch.roundTimeout(33)).To(Equal(810 * time.Millisecond))
})

// Guards against a changed watch over owners on sites that do not ask for it.
var _ = It("watches owners as before without tolerated zones", func() {
	b := &Batches{}
	Expect(b.ownerWatch()).To(Equal(ownerWatch{interval: 400 * time.Millisecond, pingTimeout: 500 * time.Millisecond, parallelPings: 1, missesPerRank: 3}))
	Expect(b.missKey("h", 7)).To(Equal("h"))
})
