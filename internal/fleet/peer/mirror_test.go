package peer_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/fleet/peer"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/standin/objects"
)

// clock is a host's clock, set by hand.
type clock struct {
	mu  sync.Mutex
	now time.Duration
}

func (c *clock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) set(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = now
}

// Pattern: many hosts of a zone, few calls to the store.
var _ = Describe("a source", func() {
	const prefix = "k/"
	var (
		mirror *peer.Mirror
		time0  *clock
		store  *objects.Store
		server *httptest.Server
		source *peer.Source
	)
	change := func(whole bool, revision uint64, keys ...string) object.Change {
		c := object.Change{Whole: whole, Known: time0.Now()}
		c.Revision = revision
		for _, key := range keys {
			c.Objects = append(c.Objects, object.Object{Key: prefix + key, Version: revision})
		}
		return c
	}
	BeforeEach(func() {
		time0, store = &clock{now: time.Hour}, &objects.Store{}
		mirror = &peer.Mirror{Now: time0.Now, MaxUpdateAge: time.Second}
		mux := http.NewServeMux()
		peer.ServeMirrors(mux, map[string]*peer.Mirror{prefix: mirror})
		server = httptest.NewServer(mux)
		_, port, err := net.SplitHostPort(server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		var hosts []peer.Host
		for i := range 8 {
			hosts = append(hosts, peer.Host{Name: fmt.Sprintf("h%d", i), Zone: "z", Address: "127.0.0.1:" + port})
		}
		all := learned("x", hosts...)
		all.Self.Zone = "elsewhere"
		// A host of the zone that is none of its watchers.
		self := all.First("watch", 9)
		last := self[len(self)-1]
		if last == "x" {
			last = self[len(self)-2]
		}
		source = &peer.Source{Direct: store, ShortWait: store, Directory: learned(last, hosts...), Wait: 50 * time.Millisecond}
	})
	AfterEach(func() { server.Close() })

	It("follows a watcher without a call to the store", func(ctx SpecContext) {
		mirror.ApplyChange(change(true, 3, "a", "b"), peer.LevelStore)
		list, err := source.List(ctx, prefix)
		Expect(err).NotTo(HaveOccurred())
		Expect(list.Objects).To(HaveLen(2))
		Expect(list.Revision).To(Equal(uint64(3)))
		Expect(source.Level()).To(Equal(peer.LevelStore + 1))

		time0.set(time.Hour + 300*time.Millisecond)
		time.AfterFunc(10*time.Millisecond, func() { time0.set(time.Hour + 340*time.Millisecond) })
		none, err := source.Watch(ctx, prefix, 3)
		Expect(err).NotTo(HaveOccurred())
		Expect(none.Objects).To(BeEmpty())
		Expect(none.Age).To(Equal(340*time.Millisecond), "as of the end of the wait")
		Expect(none.Held).To(Equal(40 * time.Millisecond))

		mirror.ApplyChange(change(false, 5, "c"), peer.LevelStore)
		next, err := source.Watch(ctx, prefix, 3)
		Expect(err).NotTo(HaveOccurred())
		Expect(next.Objects).To(HaveLen(1))
		Expect(next.Revision).To(Equal(uint64(5)))
		Expect(store.Calls).To(BeZero())
	})

	It("reads everything again after more changes than the watcher keeps", func(ctx SpecContext) {
		mirror.ApplyChange(change(true, 1, "a"), peer.LevelStore)
		for i := range 1100 {
			mirror.ApplyChange(change(false, uint64(2+i), "a"), peer.LevelStore)
		}
		_, err := source.Watch(ctx, prefix, 1)
		Expect(err).To(BeAssignableToTypeOf(&object.CompactedError{}))
		list, err := source.List(ctx, prefix)
		Expect(err).NotTo(HaveOccurred())
		Expect(list.Objects).To(HaveLen(1))
	})

	DescribeTable("turns to the store when the watcher", func(spoil func()) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		mirror.ApplyChange(change(true, 3, "a"), peer.LevelStore)
		spoil()
		_, err := store.Put(ctx, prefix+"s", nil, 0)
		Expect(err).NotTo(HaveOccurred())
		list, err := source.List(ctx, prefix)
		Expect(err).NotTo(HaveOccurred())
		Expect(list.Objects).To(HaveLen(1))
		Expect(list.Objects[0].Key).To(Equal(prefix + "s"))
		Expect(source.Level()).To(Equal(peer.LevelStore))
	},
		Entry("has lost the store", func() { mirror.MarkUnreachable() }),
		Entry("has heard nothing of the store for a while", func() { time0.set(time.Hour + 1100*time.Millisecond) }),
		Entry("follows a host that follows one itself", func() { mirror.ApplyChange(change(false, 4, "b"), peer.LevelStore+2) }),
		Entry("is down", func() { server.Close() }),
	)
})

// Pattern: a site of several large zones, few calls to the store, hosts that
// know different lists of hosts.
var _ = Describe("the levels of a site", func() {
	const prefix = "k/"
	var (
		mirror *peer.Mirror
		store  *objects.Store
		server *httptest.Server
		hosts  []peer.Host
		ranked []string // the hosts of zone y, in their rank
	)
	BeforeEach(func() {
		store = &objects.Store{}
		mirror = &peer.Mirror{Now: func() time.Duration { return time.Hour }, MaxUpdateAge: time.Second}
		mux := http.NewServeMux()
		peer.ServeMirrors(mux, map[string]*peer.Mirror{prefix: mirror})
		server = httptest.NewServer(mux)
		hosts, ranked = nil, nil
		for i := range 16 {
			hosts = append(hosts, peer.Host{
				Name: fmt.Sprintf("h%d", i), Zone: []string{"y", "z"}[i%2], Address: server.Listener.Addr().String(),
			})
		}
		for _, name := range learned("", hosts...).First("watch", 17) {
			for _, h := range hosts {
				if h.Name == name && h.Zone == "y" {
					ranked = append(ranked, name)
				}
			}
		}
	})
	AfterEach(func() { server.Close() })

	// list reads as the host at a rank of its zone, and returns its level.
	list := func(rank, level int) int {
		GinkgoHelper()
		mirror.ApplyChange(object.Change{Whole: true, Batch: object.Batch{Revision: 3}}, level)
		d := learned(ranked[rank], hosts...)
		d.Self.Zone = "y"
		source := &peer.Source{Direct: store, ShortWait: store, Directory: d, Wait: 50 * time.Millisecond}
		_, err := source.List(context.Background(), prefix)
		Expect(err).NotTo(HaveOccurred())
		return source.Level()
	}

	DescribeTable("let a host follow lower levels only", func(rank, level, want int) {
		Expect(list(rank, level)).To(Equal(want))
	},
		Entry("the first of a zone watches the store", 0, peer.LevelStore, peer.LevelStore),
		Entry("the second follows one that does", 1, peer.LevelStore, peer.LevelStore+1),
		Entry("and no one that follows another", 1, peer.LevelStore+1, peer.LevelStore),
		Entry("the others follow the second", 2, peer.LevelStore+1, peer.LevelStore+2),
		Entry("or the first", 7, peer.LevelStore, peer.LevelStore+1),
		Entry("and no one that follows the second", 7, peer.LevelStore+2, peer.LevelStore),
	)
})
