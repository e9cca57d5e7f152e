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

// record returns a host's object.
func record(host peer.Host) object.Object {
	value, err := json.Marshal(host)
	Expect(err).NotTo(HaveOccurred())
	return object.Object{Key: peer.KeyPrefix + host.Name, Version: 1, Value: value}
}

// newDirectory returns the directory of a host after it has read the objects of others.
func newDirectory(self string, hosts ...peer.Host) *peer.Directory {
	d := &peer.Directory{Self: peer.Host{Name: self, Zone: "z", Address: "127.0.0.1:1"}}
	change := object.Change{Complete: true}
	for _, h := range hosts {
		change.Objects = append(change.Objects, record(h))
	}
	Expect(d.ApplyChange(change)).To(BeEmpty())
	return d
}

var _ = Describe("a directory", func() {
	hosts := []peer.Host{{Name: "a", Address: "x:1"}, {Name: "b", Address: "x:2"}, {Name: "c", Address: "x:3"}}

	It("ranks hosts alike at every host, with distinct ranks", func() {
		ranks := map[int]bool{}
		for _, h := range hosts {
			ranks[newDirectory(h.Name, hosts...).Rank("key")] = true
		}
		Expect(ranks).To(Equal(map[int]bool{0: true, 1: true, 2: true}))
		first := newDirectory("a", hosts...).First("key", 2)
		Expect(newDirectory("c", hosts...).First("key", 2)).To(Equal(first))
		Expect(newDirectory(first[0], hosts...).Rank("key")).To(BeZero())
		Expect(newDirectory(first[1], hosts...).Rank("key", first[0])).To(BeZero())
	})

	It("leaves out objects that it can't decode and returns an error for each", func() {
		d := newDirectory("a", hosts...)
		bad := object.Change{}
		bad.Objects = []object.Object{
			{Key: peer.KeyPrefix + "d", Value: []byte("{")},
			{Key: peer.KeyPrefix + "e", Value: []byte(`{"name":"e"}`)},
			{Key: peer.KeyPrefix + "b", Deleted: true},
		}
		Expect(d.ApplyChange(bad)).To(HaveLen(2))
		Expect(d.Hosts()).To(HaveLen(2))
	})

	It("retries its registration while the store fails", func(ctx SpecContext) {
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

// The store refuses some hosts and serves the others.
var _ = Describe("a relay", func() {
	var (
		ownStore, peerStore *objects.Store // the store as seen by this host and by its peer
		relay               *peer.Relay
		server              *httptest.Server
	)
	BeforeEach(func() {
		ownStore, peerStore = &objects.Store{}, &objects.Store{}
		mux := http.NewServeMux()
		peer.ServeRelay(mux, func(time.Duration) object.Store { return peerStore }, &peer.StoreHealth{})
		server = httptest.NewServer(mux)
		_, port, err := net.SplitHostPort(server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		d := newDirectory("a", peer.Host{Name: "b", Zone: "z", Address: "127.0.0.1:" + port})
		relay = &peer.Relay{Direct: ownStore, Directory: d, Wait: time.Second, Health: &peer.StoreHealth{}}
		ownStore.Inject(func(string, string) objects.Fault { return objects.Down })
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

	It("returns the store's errors unchanged", func(ctx SpecContext) {
		_, err := relay.Get(ctx, "k/none")
		Expect(err).To(BeAssignableToTypeOf(&object.NotFoundError{}))
		_, err = relay.Put(ctx, "k/a", nil, 5)
		Expect(err).To(Equal(&object.ConflictError{Key: "k/a", Want: 5, Have: 0}))
		peerStore.Inject(func(string, string) objects.Fault { return objects.Dropped })
		_, err = relay.Watch(ctx, "k/", 0)
		Expect(err).To(BeAssignableToTypeOf(&object.CompactedError{}))
	})

	It("repeats no write whose outcome is unknown", func(ctx SpecContext) {
		ownStore.Inject(func(string, string) objects.Fault { return objects.Lost })
		_, err := relay.Put(ctx, "k/a", []byte("1"), 0)
		Expect(err).To(BeAssignableToTypeOf(&object.UnknownError{}))
		Expect(peerStore.Calls).To(BeZero())

		ownStore.Inject(func(string, string) objects.Fault { return objects.Down })
		peerStore.Inject(func(string, string) objects.Fault { return objects.Lost })
		_, err = relay.Put(ctx, "k/b", []byte("1"), 0)
		Expect(err).To(BeAssignableToTypeOf(&object.UnknownError{}))
		Expect(peerStore.Calls).To(Equal(1))
	})

	// Guards against results of a batch that are never stored because the store does not
	// answer the owner: the owner repeats the write.
	It("relays a write that its caller repeats", func(ctx SpecContext) {
		ownStore.Inject(func(string, string) objects.Fault { return objects.Dropped })
		_, err := relay.Put(ctx, "k/a", []byte("1"), 0)
		Expect(err).To(BeAssignableToTypeOf(&object.UnknownError{}))
		_, err = relay.Put(ctx, "k/a", []byte("1"), 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(peerStore.Keys("k/")).To(Equal([]string{"k/a"}))
	})

	It("reports that a write had no effect when no peer reaches the store", func(ctx SpecContext) {
		peerStore.Inject(func(string, string) objects.Fault { return objects.Down })
		_, err := relay.Put(ctx, "k/a", []byte("1"), 0)
		Expect(err).To(BeAssignableToTypeOf(&object.OutageError{}))
		server.Close()
		_, err = relay.Put(ctx, "k/a", []byte("1"), 0)
		Expect(err).To(BeAssignableToTypeOf(&object.OutageError{}))
	})

	It("calls the store directly again once it answers", func(ctx SpecContext) {
		_, err := relay.Get(ctx, "k/a")
		Expect(err).To(BeAssignableToTypeOf(&object.NotFoundError{}))
		Expect(relay.Health.Down()).To(BeTrue())
		ownStore.Inject(nil)
		Eventually(func() bool {
			_, err := relay.Get(ctx, "k/a")
			Expect(err).To(BeAssignableToTypeOf(&object.NotFoundError{}))
			return relay.Health.Down()
		}, 8*time.Second).Should(BeFalse())
	})

	// Guards against calls to the store, which are billed, by many hosts that can't reach it
	// and have no call to make.
	It("does not probe the store while no call is made", func(ctx SpecContext) {
		_, err := relay.Get(ctx, "k/a")
		Expect(err).To(BeAssignableToTypeOf(&object.NotFoundError{}))
		calls := ownStore.Calls
		Consistently(func() int { return ownStore.Calls }, 2500*time.Millisecond).Should(Equal(calls))
	})

	It("does not relay the calls of a peer to another one", func() {
		health := &peer.StoreHealth{}
		mux := http.NewServeMux()
		peer.ServeRelay(mux, func(time.Duration) object.Store { return peerStore }, health)
		down := &peer.Relay{Direct: ownStore, Directory: newDirectory("a"), Health: health}
		_, err := down.Get(context.Background(), "k/a")
		Expect(err).To(BeAssignableToTypeOf(&object.OutageError{}))
		Expect(health.Down()).To(BeTrue())
		chained := httptest.NewServer(mux)
		defer chained.Close()
		_, port, _ := net.SplitHostPort(chained.Listener.Addr().String())
		caller := &peer.Relay{Direct: ownStore, Directory: newDirectory("c", peer.Host{Name: "a", Address: "127.0.0.1:" + port}), Health: &peer.StoreHealth{}}
		_, err = caller.Get(context.Background(), "k/a")
		Expect(err).To(BeAssignableToTypeOf(&object.OutageError{}))
		Expect(peerStore.Calls).To(BeZero())
	})
})
