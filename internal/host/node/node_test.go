package node

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
	"github.com/hyssopwall/hyssopwall/internal/site/policy"
	"github.com/hyssopwall/hyssopwall/internal/standin/objects"
)

func TestNode(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Node Suite")
}

const zeroDigest = "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae" // of "foo"

var keys = StoreKeys{Policy: "config/main", PolicyKind: "config/", Servers: "servers/", Releases: "versions/", Retirements: "retirements/"}

// outside is a platform in memory whose entries are the product's own types.
func outside(store *objects.Store) Platform {
	return Platform{
		Store: store, Watcher: func(time.Duration) object.Store { return store }, Keys: keys,
		DecodePolicy: func(raw []byte) (*policy.Policy, error) {
			p := &policy.Policy{}
			return p, json.Unmarshal(raw, p)
		},
		DecodeServer: func(name string, raw []byte) (pool.Server, error) {
			s := pool.Server{}
			err := json.Unmarshal(raw, &s)
			s.Name = name
			return s, err
		},
	}
}

func put(store *objects.Store, key string, value any) {
	GinkgoHelper()
	raw, err := json.Marshal(value)
	Expect(err).NotTo(HaveOccurred())
	_, err = store.Put(context.Background(), key, raw, 0)
	Expect(err).NotTo(HaveOccurred())
}

func version(n uint64, routes ...policy.Route) policy.Policy {
	return policy.Policy{Version: n, Routes: routes, Workspaces: []policy.Workspace{{Name: "w", Digests: []string{zeroDigest}}}}
}

var route = policy.Route{Name: "r", Host: "a", Prefix: "/x/"}

// change is what a follower hands on for one object.
func change(key string, revision uint64, value any, known time.Duration) object.Change {
	raw, err := json.Marshal(value)
	Expect(err).NotTo(HaveOccurred())
	c := object.Change{AsOf: known}
	c.Revision = revision
	c.Objects = []object.Object{{Key: key, Version: revision, Value: raw}}
	return c
}

func admitted(n *Node, path, key string) string {
	_, workspace, err := n.Admit("a", path, key)
	var refused *AdmitError
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return "admitted " + workspace
}

// hands is a clock set by hand.
type hands struct {
	now time.Duration
}

func (h *hands) Now() time.Duration { return h.now }

var _ = Describe("admission", func() {
	var (
		n     *Node
		time0 *hands
	)
	clock := func() time.Duration { return time0.now }
	BeforeEach(func() {
		time0 = &hands{now: time.Hour}
		defer func() { n.time = time0 }()
		n = New(Settings{Host: "h", RevocationLimit: 5 * time.Second, UsageWindow: time.Second}, outside(&objects.Store{}), event.Log{Sink: func(event.Entry, []any) {}})
	})

	It("waits for a configuration, and then knows routes and keys", func() {
		Expect(admitted(n, "/x/", "foo")).To(Equal(NoPolicy))
		n.learnPolicy(change(keys.Policy, 1, version(3, route), clock()))
		Expect(admitted(n, "/x/", "foo")).To(Equal("admitted w"))
		Expect(admitted(n, "/x/", "bar")).To(Equal(BadKey))
		Expect(admitted(n, "/y/", "foo")).To(Equal(NoRoute))
	})

	// Pattern: old versions arrive late, from a peer or a slow list.
	It("never goes back to an older version", func() {
		n.learnPolicy(change(keys.Policy, 2, version(4), clock()))
		n.learnPolicy(change(keys.Policy, 1, version(3, route), clock()))
		Expect(n.Policy().Version).To(Equal(uint64(4)))
		Expect(admitted(n, "/x/", "foo")).To(Equal(NoRoute))
	})

	It("keeps what is in force when a version can't be read", func() {
		n.learnPolicy(change(keys.Policy, 1, version(3, route), clock()))
		n.learnPolicy(change(keys.Policy, 2, "nonsense", clock()))
		double := version(5, route)
		double.Workspaces = append(double.Workspaces, policy.Workspace{Name: "v", Digests: []string{zeroDigest}})
		n.learnPolicy(change(keys.Policy, 3, double, clock()))
		Expect(n.Policy().Version).To(Equal(uint64(3)))

		before := n.news.Load()
		time0.now += time.Second
		n.learnPolicy(object.Change{AsOf: clock()})
		Expect(n.news.Load()).To(Equal(before), "what can't be read may withdraw keys")
		n.learnPolicy(change(keys.Policy, 4, version(6, route), clock()))
		Expect(n.news.Load()).To(BeNumerically(">", before))
	})

	// Pattern: a host is cut off, and a key may have been withdrawn meanwhile.
	It("refuses keys, not open routes, once the news is older than the bound", func() {
		open := policy.Route{Name: "o", Host: "a", Prefix: "/open/", Open: true}
		n.learnPolicy(change(keys.Policy, 1, version(3, route, open), clock()-4*time.Second))
		Expect(admitted(n, "/x/", "foo")).To(Equal("admitted w"))
		Expect(n.Ready()).To(BeFalse(), "others have newer news")
		n.news.Store(int64(clock() - 4800*time.Millisecond))
		Expect(admitted(n, "/x/", "foo")).To(Equal(StalePolicy))
		Expect(admitted(n, "/open/", "")).To(Equal("admitted "))
		n.learnPolicy(object.Change{AsOf: clock()})
		Expect(admitted(n, "/x/", "foo")).To(Equal("admitted w"))
	})
})

var _ = Describe("the list of backend servers", func() {
	It("takes changes, skips what can't be read, and drops what is gone", func() {
		n := New(Settings{Host: "h", UsageWindow: time.Second}, outside(&objects.Store{}), event.Log{Sink: func(event.Entry, []any) {}})
		whole := change("servers/a", 1, pool.Server{Service: "s", Slots: 1}, 0)
		whole.Complete = true
		n.learnServers(whole)
		Expect(n.Pool.Servers()).To(HaveLen(1))
		n.learnServers(change("servers/b", 2, pool.Server{Service: "s", Slots: 1}, 0))
		n.learnServers(change("servers/b", 3, "nonsense", 0))
		Expect(n.Pool.Servers()).To(HaveLen(1))
		gone := change("servers/a", 4, nil, 0)
		gone.Objects[0].Deleted = true
		n.learnServers(gone)
		Expect(n.Pool.Servers()).To(BeEmpty())
	})

	// Pattern: entries lapse while the store is away and come back after it.
	// Pattern: the store's leases lapse while it is away, and it is away again.
	It("keeps servers that a new list lacks while the store can't be asked", func() {
		store := &objects.Store{}
		n := New(Settings{Host: "h", UsageWindow: time.Second}, outside(store), event.Log{Sink: func(event.Entry, []any) {}})
		n.learnServers(change("servers/a", 1, pool.Server{Service: "s", Slots: 1}, 0))
		n.learnServers(object.Change{Complete: true})
		asked := make(chan struct{}, 99)
		store.Inject(func(_, key string) objects.Fault {
			if key == "servers/a" {
				asked <- struct{}{}
			}
			return objects.Down
		})
		n.learnServers(object.Change{Complete: true})
		Eventually(asked, 8*time.Second).Should(Receive())
		Expect(n.Pool.Servers()).To(HaveLen(1))
		store.Inject(nil)
		Eventually(n.Pool.Servers, 8*time.Second).Should(BeEmpty())
	})

	It("keeps servers that a new list lacks until they had time to come back", func() {
		store := &objects.Store{}
		n := New(Settings{Host: "h", UsageWindow: time.Second}, outside(store), event.Log{Sink: func(event.Entry, []any) {}})
		first := change("servers/a", 1, pool.Server{Service: "s", Slots: 1}, 0)
		first.Complete = true
		n.learnServers(first)
		n.learnServers(change("servers/b", 2, pool.Server{Service: "s", Slots: 1}, 0))
		n.learnServers(object.Change{Complete: true})
		Expect(n.Pool.Servers()).To(HaveLen(2))
		put(store, "servers/a", pool.Server{Service: "s", Slots: 1})
		Eventually(n.Pool.Servers, 8*time.Second).Should(HaveLen(1))
		Expect(n.Pool.Servers()[0].Name).To(Equal("a"))
	})
})

func free() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return l.Addr().String()
}

var _ = Describe("a host", func() {
	It("gets ready, shows its counters, and stops without cutting a request", func() {
		store := &objects.Store{}
		put(store, keys.Policy, version(3, route))
		settings := Settings{Host: "h", Zone: "z", Listen: free(), Ready: free(), Internal: free(), Metrics: free(), UsageWindow: time.Second, ShutdownGrace: 2 * time.Second}
		n := New(settings, outside(store), event.Log{Sink: func(event.Entry, []any) {}})
		ctx, stop := context.WithCancel(context.Background())
		started, finish := make(chan struct{}), make(chan struct{})
		entry := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			close(started)
			<-finish
			_, _ = w.Write([]byte("whole"))
		})
		go func() { _ = n.Run(ctx, entry) }()
		ready := func() int {
			answer, err := http.Get("http://" + settings.Ready)
			if err != nil {
				return 0
			}
			defer answer.Body.Close()
			return answer.StatusCode
		}
		Eventually(ready, 8*time.Second).Should(Equal(http.StatusOK))

		shown, err := http.Get("http://" + settings.Metrics)
		Expect(err).NotTo(HaveOccurred())
		text, err := io.ReadAll(shown.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(shown.Body.Close()).To(Succeed())
		Expect(string(text)).To(ContainSubstring("hyssopwall_configuration_version 3"))
		Expect(string(text)).To(ContainSubstring("hyssopwall_platform_list_config"))
		Expect(string(text)).To(ContainSubstring(`hyssopwall_events_total{event="HW4006"} 1`))

		body := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			answer, err := http.Get("http://" + settings.Listen)
			if err != nil {
				body <- err.Error()
				return
			}
			defer answer.Body.Close()
			text, err := io.ReadAll(answer.Body)
			Expect(err).NotTo(HaveOccurred())
			body <- string(text)
		}()
		<-started
		stop()
		Eventually(ready, 8*time.Second).Should(Equal(http.StatusServiceUnavailable))
		close(finish)
		Eventually(body, 8*time.Second).Should(Receive(Equal("whole")))
		Eventually(n.Done(), 8*time.Second).Should(BeClosed())
	})
})
