package peer_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/fleet/peer"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/standin/objects"
)

func TestPeer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Peer Suite")
}

func record(host peer.Host) object.Object {
	value, err := json.Marshal(host)
	Expect(err).NotTo(HaveOccurred())
	return object.Object{Key: peer.KeyPrefix + host.Name, Version: 1, Value: value}
}

func learned(self string, hosts ...peer.Host) *peer.Directory {
	d := &peer.Directory{Self: peer.Host{Name: self, Zone: "z", Address: "127.0.0.1:1"}}
	change := object.Change{Whole: true}
	for _, h := range hosts {
		change.Objects = append(change.Objects, record(h))
	}
	Expect(d.ApplyChange(change)).To(BeEmpty())
	return d
}

var _ = Describe("a directory", func() {
	hosts := []peer.Host{{Name: "a", Address: "x:1"}, {Name: "b", Address: "x:2"}, {Name: "c", Address: "x:3"}}

	It("ranks hosts alike everywhere, each rank once", func() {
		ranks := map[int]bool{}
		for _, h := range hosts {
			ranks[learned(h.Name, hosts...).Rank("key")] = true
		}
		Expect(ranks).To(Equal(map[int]bool{0: true, 1: true, 2: true}))
		first := learned("a", hosts...).First("key", 2)
		Expect(learned("c", hosts...).First("key", 2)).To(Equal(first))
		Expect(learned(first[0], hosts...).Rank("key")).To(BeZero())
		Expect(learned(first[1], hosts...).Rank("key", first[0])).To(BeZero())
	})

	It("leaves out what it can't read, and says so", func() {
		d := learned("a", hosts...)
		bad := object.Change{}
		bad.Objects = []object.Object{
			{Key: peer.KeyPrefix + "d", Value: []byte("{")},
			{Key: peer.KeyPrefix + "e", Value: []byte(`{"name":"e"}`)},
			{Key: peer.KeyPrefix + "b", Deleted: true},
		}
		Expect(d.ApplyChange(bad)).To(HaveLen(2))
		Expect(d.Hosts()).To(HaveLen(2))
	})

	It("registers through failures of the store", func(ctx SpecContext) {
		store := &objects.Store{}
		calls := 0
		store.Inject(func(string, string) objects.Fault {
			calls++
			if calls < 3 {
				return objects.Down
			}
			return objects.None
		})
		d := &peer.Directory{Self: hosts[0]}
		d.Register(ctx, store)
		Expect(store.Keys(peer.KeyPrefix)).To(Equal([]string{peer.KeyPrefix + "a"}))
	})
})

// Pattern: the store turns some hosts away and serves the others.
var _ = Describe("a relay", func() {
	var (
		away, near *objects.Store // as seen by this host and by its peer
		relay      *peer.Relay
		server     *httptest.Server
	)
	BeforeEach(func() {
		away, near = &objects.Store{}, &objects.Store{}
		mux := http.NewServeMux()
		peer.ServeRelay(mux, func(time.Duration) object.Store { return near }, &peer.StoreHealth{})
		server = httptest.NewServer(mux)
		_, port, err := net.SplitHostPort(server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		d := learned("a", peer.Host{Name: "b", Zone: "z", Address: "127.0.0.1:" + port})
		relay = &peer.Relay{Direct: away, Directory: d, Wait: time.Second, Health: &peer.StoreHealth{}}
		away.Inject(func(string, string) objects.Fault { return objects.Down })
	})
	AfterEach(func() { server.Close() })

	It("makes every call through a peer that reaches the store", func(ctx SpecContext) {
		stored, err := relay.Put(ctx, "k/a", []byte("1"), 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(stored.Version).To(Equal(uint64(1)))
		Expect(string(stored.Value)).To(Equal("1"))
		found, err := relay.Get(ctx, "k/a")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(found.Value)).To(Equal("1"))
		list, err := relay.List(ctx, "k/")
		Expect(err).NotTo(HaveOccurred())
		Expect(list.Objects).To(HaveLen(1))
		changes, err := relay.Watch(ctx, "k/", 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(changes.Objects).To(HaveLen(1))
		Expect(relay.Delete(ctx, "k/a", 1)).To(Succeed())
	})

	It("hands the store's refusals on as they are", func(ctx SpecContext) {
		_, err := relay.Get(ctx, "k/none")
		Expect(err).To(BeAssignableToTypeOf(&object.NotFoundError{}))
		_, err = relay.Put(ctx, "k/a", nil, 5)
		Expect(err).To(Equal(&object.ConflictError{Key: "k/a", Want: 5, Have: 0}))
		near.Inject(func(string, string) objects.Fault { return objects.Dropped })
		_, err = relay.Watch(ctx, "k/", 0)
		Expect(err).To(BeAssignableToTypeOf(&object.CompactedError{}))
	})

	It("repeats no write whose outcome is unknown", func(ctx SpecContext) {
		away.Inject(func(string, string) objects.Fault { return objects.Lost })
		_, err := relay.Put(ctx, "k/a", []byte("1"), 0)
		Expect(err).To(BeAssignableToTypeOf(&object.UnknownError{}))
		Expect(near.Calls).To(BeZero())

		away.Inject(func(string, string) objects.Fault { return objects.Down })
		near.Inject(func(string, string) objects.Fault { return objects.Lost })
		_, err = relay.Put(ctx, "k/b", []byte("1"), 0)
		Expect(err).To(BeAssignableToTypeOf(&object.UnknownError{}))
		Expect(near.Calls).To(Equal(1))
	})

	// Pattern: the store is silent towards one host; the owner of a batch repeats
	// the write of its results.
	It("repeats a write through a peer once its caller does", func(ctx SpecContext) {
		away.Inject(func(string, string) objects.Fault { return objects.Dropped })
		_, err := relay.Put(ctx, "k/a", []byte("1"), 0)
		Expect(err).To(BeAssignableToTypeOf(&object.UnknownError{}))
		_, err = relay.Put(ctx, "k/a", []byte("1"), 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(near.Keys("k/")).To(Equal([]string{"k/a"}))
	})

	It("says that nothing was done when no peer reaches the store", func(ctx SpecContext) {
		near.Inject(func(string, string) objects.Fault { return objects.Down })
		_, err := relay.Put(ctx, "k/a", []byte("1"), 0)
		Expect(err).To(BeAssignableToTypeOf(&object.OutageError{}))
		server.Close()
		_, err = relay.Put(ctx, "k/a", []byte("1"), 0)
		Expect(err).To(BeAssignableToTypeOf(&object.OutageError{}))
	})

	It("returns to the direct way once the store answers there", func(ctx SpecContext) {
		_, err := relay.Get(ctx, "k/a")
		Expect(err).To(BeAssignableToTypeOf(&object.NotFoundError{}))
		Expect(relay.Health.Down()).To(BeTrue())
		away.Inject(nil)
		Eventually(func() bool {
			_, err := relay.Get(ctx, "k/a")
			Expect(err).To(BeAssignableToTypeOf(&object.NotFoundError{}))
			return relay.Health.Down()
		}, 8*time.Second).Should(BeFalse())
	})

	// Pattern: the store is away from many hosts that have nothing to ask it.
	It("does not try the store while no call is made", func(ctx SpecContext) {
		_, err := relay.Get(ctx, "k/a")
		Expect(err).To(BeAssignableToTypeOf(&object.NotFoundError{}))
		calls := away.Calls
		Consistently(func() int { return away.Calls }, 2500*time.Millisecond).Should(Equal(calls))
	})

	It("lets no peer ask on behalf of another", func() {
		health := &peer.StoreHealth{}
		mux := http.NewServeMux()
		peer.ServeRelay(mux, func(time.Duration) object.Store { return near }, health)
		down := &peer.Relay{Direct: away, Directory: learned("a"), Health: health}
		_, err := down.Get(context.Background(), "k/a")
		Expect(err).To(BeAssignableToTypeOf(&object.OutageError{}))
		Expect(health.Down()).To(BeTrue())
		chained := httptest.NewServer(mux)
		defer chained.Close()
		_, port, _ := net.SplitHostPort(chained.Listener.Addr().String())
		asker := &peer.Relay{Direct: away, Directory: learned("c", peer.Host{Name: "a", Address: "127.0.0.1:" + port}), Health: &peer.StoreHealth{}}
		_, err = asker.Get(context.Background(), "k/a")
		Expect(err).To(BeAssignableToTypeOf(&object.OutageError{}))
		Expect(near.Calls).To(BeZero())
	})
})
