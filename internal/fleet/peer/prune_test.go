package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/standin/objects"
)

// zoneDirectory returns the directory of host a0 at a site of three zones of four hosts.
func zoneDirectory() *Directory {
	d := &Directory{Self: Host{Name: "a0", Zone: "a", Address: "x:1"}}
	change := object.Change{Complete: true}
	for _, zone := range []string{"a", "b", "c"} {
		for i := range 4 {
			host := Host{Name: fmt.Sprintf("%s%d", zone, i), Zone: zone, Address: "x:1"}
			value, err := json.Marshal(host)
			Expect(err).NotTo(HaveOccurred())
			change.Objects = append(change.Objects, object.Object{Key: KeyPrefix + host.Name, Version: 7, Value: value})
		}
	}
	Expect(d.ApplyChange(change)).To(BeEmpty())
	return d
}

// play records the calls of a span in which some hosts don't answer, one call a second for each
// host.
func play(d *Directory, from, to time.Time, dead ...string) {
	for at := from; at.Before(to); at = at.Add(time.Second) {
		for _, h := range d.Hosts() {
			if h.Name != d.Self.Name {
				d.recordCall(h.Name, at, !slices.Contains(dead, h.Name))
			}
		}
	}
}

func names(hosts []listedHost) []string {
	var all []string
	for _, h := range hosts {
		Expect(h.version).To(Equal(uint64(7)))
		all = append(all, h.Name)
	}
	return all
}

// Machines are removed for good, with others cut off, frozen or restarting. Guards against ranks
// that count hosts that are gone, which nothing ever removed, and against the removal of hosts
// that only can't be reached.
var _ = Describe("hosts that don't answer", func() {
	start := time.Unix(1e9, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

	It("are passed over after some seconds, and removed only much later", func() {
		d := zoneDirectory()
		play(d, start, at(2), "b1")
		Expect(d.Silent(at(2))).To(BeEmpty())
		play(d, at(2), at(4), "b1")
		Expect(d.Silent(at(4))).To(Equal([]string{"b1"}))
		play(d, at(4), at(19), "b1")
		Expect(d.gone(at(19))).To(BeEmpty())
		play(d, at(19), at(22), "b1")
		Expect(names(d.gone(at(22)))).To(Equal([]string{"b1"}))
		d.recordCall("b1", at(22.5), true)
		Expect(d.Silent(at(22.5))).To(BeEmpty())
		Expect(d.gone(at(22.5))).To(BeEmpty())
	})

	It("are not removed soon if their whole zone is silent, which may be cut off", func() {
		d := zoneDirectory()
		zone := []string{"b0", "b1", "b2", "b3"}
		play(d, start, at(100), zone...)
		Expect(d.Silent(at(100))).To(Equal(zone))
		Expect(d.gone(at(100))).To(BeEmpty())
		play(d, at(100), at(310), zone...)
		Expect(names(d.gone(at(310)))).To(Equal(zone))
	})

	It("are neither passed over nor removed by a host that no other one answers", func() {
		d := zoneDirectory()
		play(d, start, at(2))
		var all []string
		for _, h := range d.Hosts() {
			all = append(all, h.Name)
		}
		play(d, at(2), at(400), all...)
		Expect(d.Silent(at(400))).To(BeEmpty())
		Expect(d.gone(at(400))).To(BeEmpty())
	})

	It("count again once a new process has registered", func() {
		d := zoneDirectory()
		play(d, start, at(30), "b1")
		value, err := json.Marshal(Host{Name: "b1", Zone: "b", Address: "x:2", Incarnation: 2})
		Expect(err).NotTo(HaveOccurred())
		change := object.Change{}
		change.Objects = []object.Object{{Key: KeyPrefix + "b1", Version: 9, Value: value}}
		Expect(d.ApplyChange(change)).To(BeEmpty())
		Expect(d.Silent(at(30))).To(BeEmpty())
	})

	DescribeTable("come last in ranks, whatever fails how often", func(seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 5))
		d := zoneDirectory()
		var dead []string
		for _, h := range d.Hosts() {
			if h.Name != d.Self.Name && rng.IntN(3) == 0 {
				dead = append(dead, h.Name)
			}
		}
		now := time.Now()
		play(d, now.Add(-10*time.Second), now, dead...)
		hosts, answering := d.RankedAnswering("key")
		Expect(hosts).To(HaveLen(12))
		Expect(answering).To(Equal(12 - len(dead)))
		for i, h := range hosts {
			Expect(slices.Contains(dead, h.Name)).To(Equal(i >= answering))
			if h.Name == d.Self.Name {
				Expect(d.RankAnswering("key")).To(Equal(i))
			}
		}
	}, Entry(nil, uint64(1)), Entry(nil, uint64(2)), Entry(nil, uint64(3)))
})

// Guards against an entry of a dead process that stays, and against a host that is missing from
// the list for good since another one removed its entry.
var _ = Describe("the entry of a host", func() {
	It("is removed at a planned stop, but not that of a new process", func(ctx SpecContext) {
		store := &objects.Store{}
		first := &Directory{Self: Host{Name: "a0", Address: "x:1", Incarnation: 1}}
		first.Register(ctx, store)
		second := &Directory{Self: Host{Name: "a0", Address: "x:1", Incarnation: 2}}
		second.Register(ctx, store)
		first.Unregister(ctx, store)
		Expect(store.Keys(KeyPrefix)).To(HaveLen(1))
		second.Unregister(ctx, store)
		Expect(store.Keys(KeyPrefix)).To(BeEmpty())
	})

	It("is written again when a change shows that it is gone", func(ctx SpecContext) {
		store := &objects.Store{}
		d := &Directory{Self: Host{Name: "a0", Address: "x:1", Incarnation: 1}}
		follower := object.Follower{Reader: store, Prefix: KeyPrefix, Now: func() time.Duration { return 0 }, Handle: func(c object.Change) { d.ApplyChange(c) }}
		runCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		go d.KeepRegistered(runCtx, store)
		go follower.Run(runCtx)
		for range 3 {
			Eventually(func() []string { return store.Keys(KeyPrefix) }).Should(HaveLen(1))
			found, err := store.Get(ctx, KeyPrefix+"a0")
			Expect(err).NotTo(HaveOccurred())
			Expect(store.Delete(ctx, KeyPrefix+"a0", found.Version)).To(Succeed())
		}
		Eventually(func() []string { return store.Keys(KeyPrefix) }).Should(HaveLen(1))
	}, SpecTimeout(10*time.Second))
})
