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
		mirror = &peer.Mirror{Now: time0.Now, Silence: time.Second}
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
		source = &peer.Source{Direct: store, Brief: store, Directory: learned(last, hosts...), Wait: 50 * time.Millisecond}
	})
	AfterEach(func() { server.Close() })

	It("follows a watcher without a call to the store", func(ctx SpecContext) {
		mirror.Learn(change(true, 3, "a", "b"), true)
		list, err := source.List(ctx, prefix)
		Expect(err).NotTo(HaveOccurred())
		Expect(list.Objects).To(HaveLen(2))
		Expect(list.Revision).To(Equal(uint64(3)))
		Expect(source.IsDirect()).To(BeFalse())

		time0.set(time.Hour + 300*time.Millisecond)
		none, err := source.Watch(ctx, prefix, 3)
		Expect(err).NotTo(HaveOccurred())
		Expect(none.Objects).To(BeEmpty())
		Expect(none.Age).To(Equal(300 * time.Millisecond))
		Expect(none.Held).To(Equal(50 * time.Millisecond))

		mirror.Learn(change(false, 5, "c"), true)
		next, err := source.Watch(ctx, prefix, 3)
		Expect(err).NotTo(HaveOccurred())
		Expect(next.Objects).To(HaveLen(1))
		Expect(next.Revision).To(Equal(uint64(5)))
		Expect(store.Calls).To(BeZero())
	})

	It("reads everything again after more changes than the watcher keeps", func(ctx SpecContext) {
		mirror.Learn(change(true, 1, "a"), true)
		for i := range 1100 {
			mirror.Learn(change(false, uint64(2+i), "a"), true)
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
		mirror.Learn(change(true, 3, "a"), true)
		spoil()
		_, err := store.Put(ctx, prefix+"s", nil, 0)
		Expect(err).NotTo(HaveOccurred())
		list, err := source.List(ctx, prefix)
		Expect(err).NotTo(HaveOccurred())
		Expect(list.Objects).To(HaveLen(1))
		Expect(list.Objects[0].Key).To(Equal(prefix + "s"))
		Expect(source.IsDirect()).To(BeTrue())
	},
		Entry("has lost the store", func() { mirror.Lost(nil) }),
		Entry("has heard nothing of the store for a while", func() { time0.set(time.Hour + 1100*time.Millisecond) }),
		Entry("follows another host itself", func() { mirror.Learn(change(false, 4, "b"), false) }),
		Entry("is down", func() { server.Close() }),
	)
})
