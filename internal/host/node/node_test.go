package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/fleet/peer"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
	"github.com/hyssopwall/hyssopwall/internal/site/policy"
	"github.com/hyssopwall/hyssopwall/internal/standin/objects"
)

func TestNode(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Node Suite")
}

const fooDigest = "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae" // SHA-256 of "foo"

var keys = StoreKeys{Policy: "config/main", PolicyKind: "config/", Servers: "servers/", Releases: "versions/", Retirements: "retirements/"}

// memoryPlatform is a platform in memory whose entries are JSON of the product's own types.
func memoryPlatform(store *objects.Store) Platform {
	return Platform{
		Store: store, Watcher: func(time.Duration) object.Store { return store }, Keys: keys,
		CheckHealth: func(context.Context, pool.Server, string) error { return errors.New("silent") },
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

// put creates an object with a JSON value.
func put(store *objects.Store, key string, value any) {
	GinkgoHelper()
	raw, err := json.Marshal(value)
	Expect(err).NotTo(HaveOccurred())
	_, err = store.Put(context.Background(), key, raw, 0)
	Expect(err).NotTo(HaveOccurred())
}

// configuration returns a configuration with a version, routes and a workspace "w" with the
// key "foo".
func configuration(n uint64, routes ...policy.Route) policy.Policy {
	return policy.Policy{Version: n, Routes: routes, Workspaces: []policy.Workspace{{Name: "w", KeyDigests: []string{fooDigest}}}}
}

var route = policy.Route{Name: "r", Host: "a", Prefix: "/x/"}

// objectChange returns the change of one object, as a follower passes it on.
func objectChange(key string, revision uint64, value any, known time.Duration) object.Change {
	raw, err := json.Marshal(value)
	Expect(err).NotTo(HaveOccurred())
	c := object.Change{AsOf: known}
	c.Revision = revision
	c.Objects = []object.Object{{Key: key, Version: revision, Value: raw}}
	return c
}

// admission returns the result of Admit as text: the workspace or the reason of the
// refusal.
func admission(n *Node, path, key string) string {
	_, workspace, err := n.Admit("a", path, key)
	var refused *AdmitError
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return "admitted " + workspace
}

// manualClock is a clock that is set by the test.
type manualClock struct {
	now time.Duration
}

func (h *manualClock) Now() time.Duration { return h.now }

var _ = Describe("admission", func() {
	var (
		n         *Node
		testClock *manualClock
	)
	clock := func() time.Duration { return testClock.now }
	BeforeEach(func() {
		testClock = &manualClock{now: time.Hour}
		defer func() { n.timeSource = testClock }()
		n = New(Settings{Host: "h", RevocationLimit: 5 * time.Second, UsageWindow: time.Second}, memoryPlatform(&objects.Store{}), event.Log{Sink: func(event.Entry, []any) {}})
	})

	It("refuses requests until a configuration is known, then checks routes and keys", func() {
		Expect(admission(n, "/x/", "foo")).To(Equal(NoPolicy))
		n.applyPolicyChange(objectChange(keys.Policy, 1, configuration(3, route), clock()))
		Expect(admission(n, "/x/", "foo")).To(Equal("admitted w"))
		Expect(admission(n, "/x/", "bar")).To(Equal(BadKey))
		Expect(admission(n, "/y/", "foo")).To(Equal(NoRoute))
	})

	// Pattern: an old version arrives late, from a peer or a slow list.
	It("never returns to an older version", func() {
		n.applyPolicyChange(objectChange(keys.Policy, 2, configuration(4), clock()))
		n.applyPolicyChange(objectChange(keys.Policy, 1, configuration(3, route), clock()))
		Expect(n.Policy().Version).To(Equal(uint64(4)))
		Expect(admission(n, "/x/", "foo")).To(Equal(NoRoute))
	})

	It("keeps the current configuration when a newer version can't be read", func() {
		n.applyPolicyChange(objectChange(keys.Policy, 1, configuration(3, route), clock()))
		n.applyPolicyChange(objectChange(keys.Policy, 2, "nonsense", clock()))
		duplicate := configuration(5, route)
		duplicate.Workspaces = append(duplicate.Workspaces, policy.Workspace{Name: "v", KeyDigests: []string{fooDigest}})
		n.applyPolicyChange(objectChange(keys.Policy, 3, duplicate, clock()))
		Expect(n.Policy().Version).To(Equal(uint64(3)))

		before := n.policyKnown.Load()
		testClock.now += time.Second
		n.applyPolicyChange(object.Change{AsOf: clock()})
		Expect(n.policyKnown.Load()).To(Equal(before), "an unreadable version may withdraw keys")
		n.applyPolicyChange(objectChange(keys.Policy, 4, configuration(6, route), clock()))
		Expect(n.policyKnown.Load()).To(BeNumerically(">", before))
	})

	// Pattern: a host is cut off from the store while a key may have been withdrawn.
	It("refuses keys, but not open routes, once the last update is older than the limit", func() {
		openRoute := policy.Route{Name: "o", Host: "a", Prefix: "/open/", Open: true}
		n.applyPolicyChange(objectChange(keys.Policy, 1, configuration(3, route, openRoute), clock()-4*time.Second))
		Expect(admission(n, "/x/", "foo")).To(Equal("admitted w"))
		Expect(n.Ready()).To(BeFalse(), "other hosts may have newer updates")
		n.policyKnown.Store(int64(clock() - 4800*time.Millisecond))
		Expect(admission(n, "/x/", "foo")).To(Equal(StalePolicy))
		Expect(admission(n, "/open/", "")).To(Equal("admitted "))
		n.applyPolicyChange(object.Change{AsOf: clock()})
		Expect(admission(n, "/x/", "foo")).To(Equal("admitted w"))
	})
})

var _ = Describe("the list of backend servers", func() {
	It("applies changes, ignores invalid entries, and removes deleted servers", func() {
		n := New(Settings{Host: "h", UsageWindow: time.Second}, memoryPlatform(&objects.Store{}), event.Log{Sink: func(event.Entry, []any) {}})
		completeList := objectChange("servers/a", 1, pool.Server{Service: "s", Slots: 1}, 0)
		completeList.Complete = true
		n.applyServersChange(completeList)
		Expect(n.Pool.Servers()).To(HaveLen(1))
		n.applyServersChange(objectChange("servers/b", 2, pool.Server{Service: "s", Slots: 1}, 0))
		n.applyServersChange(objectChange("servers/b", 3, "nonsense", 0))
		Expect(n.Pool.Servers()).To(HaveLen(1))
		deletion := objectChange("servers/a", 4, nil, 0)
		deletion.Objects[0].Deleted = true
		n.applyServersChange(deletion)
		Expect(n.Pool.Servers()).To(BeEmpty())
	})

	// Pattern: entries expire during an outage of the store, and a second outage follows.
	It("keeps servers that are missing from a new list while the store can't be read", func() {
		store := &objects.Store{}
		n := New(Settings{Host: "h", UsageWindow: time.Second}, memoryPlatform(store), event.Log{Sink: func(event.Entry, []any) {}})
		n.applyServersChange(objectChange("servers/a", 1, pool.Server{Service: "s", Slots: 1}, 0))
		n.applyServersChange(object.Change{Complete: true})
		reads := make(chan struct{}, 99)
		store.Inject(func(_, key string) objects.Fault {
			if key == "servers/a" {
				reads <- struct{}{}
			}
			return objects.Down
		})
		n.applyServersChange(object.Change{Complete: true})
		Eventually(reads, 8*time.Second).Should(Receive())
		Expect(n.Pool.Servers()).To(HaveLen(1))
		store.Inject(nil)
		Eventually(n.Pool.Servers, 8*time.Second).Should(BeEmpty())
	})

	// Pattern: entries expire during an outage of the store and come back after it.
	It("keeps servers that are missing from a new list until the grace period is over", func() {
		store := &objects.Store{}
		n := New(Settings{Host: "h", UsageWindow: time.Second}, memoryPlatform(store), event.Log{Sink: func(event.Entry, []any) {}})
		first := objectChange("servers/a", 1, pool.Server{Service: "s", Slots: 1}, 0)
		first.Complete = true
		n.applyServersChange(first)
		n.applyServersChange(objectChange("servers/b", 2, pool.Server{Service: "s", Slots: 1}, 0))
		n.applyServersChange(object.Change{Complete: true})
		Expect(n.Pool.Servers()).To(HaveLen(2))
		put(store, "servers/a", pool.Server{Service: "s", Slots: 1})
		Eventually(n.Pool.Servers, 8*time.Second).Should(HaveLen(1))
		Expect(n.Pool.Servers()[0].Name).To(Equal("a"))
	})
})

// freeAddress returns a local address at which nothing listens.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return l.Addr().String()
}

var _ = Describe("a host", func() {
	It("gets ready, serves its metrics, and stops without interrupting a request", func() {
		store := &objects.Store{}
		put(store, keys.Policy, configuration(3, route))
		settings := Settings{Host: "h", Zone: "z", Listen: freeAddress(), Ready: freeAddress(), Internal: freeAddress(), Metrics: freeAddress(), UsageWindow: time.Second, ShutdownGrace: 2 * time.Second}
		n := New(settings, memoryPlatform(store), event.Log{Sink: func(event.Entry, []any) {}})
		ctx, stop := context.WithCancel(context.Background())
		started, finish := make(chan struct{}), make(chan struct{})
		entry := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			close(started)
			<-finish
			_, _ = w.Write([]byte("whole"))
		})
		go func() { _ = n.Run(ctx, entry) }()
		ready := func() int {
			response, err := http.Get("http://" + settings.Ready)
			if err != nil {
				return 0
			}
			defer response.Body.Close()
			return response.StatusCode
		}
		Eventually(ready, 8*time.Second).Should(Equal(http.StatusOK))

		response, err := http.Get("http://" + settings.Metrics)
		Expect(err).NotTo(HaveOccurred())
		text, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(string(text)).To(ContainSubstring("hyssopwall_configuration_version 3"))
		Expect(string(text)).To(ContainSubstring("hyssopwall_platform_list_config"))
		Expect(string(text)).To(ContainSubstring(`hyssopwall_events_total{event="HW4006"} 1`))

		body := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			response, err := http.Get("http://" + settings.Listen)
			if err != nil {
				body <- err.Error()
				return
			}
			defer response.Body.Close()
			text, err := io.ReadAll(response.Body)
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

// All hosts of a large site lose power and start at once. Guards against hosts that refuse their
// callers until the hosts that they follow have got data or are given up.
var _ = Describe("a host that starts", func() {
	It("is ready at once although the hosts that it follows don't answer", func() {
		store := &objects.Store{}
		put(store, keys.Policy, configuration(3, route))
		put(store, keys.Servers+"a", pool.Server{Service: "s", Slots: 4})
		silent, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = silent.Close() }()
		for i := range 8 {
			name := fmt.Sprintf("h%d", i)
			put(store, peer.KeyPrefix+name, peer.Host{Name: name, Zone: "z", Address: silent.Addr().String()})
		}
		quiet := event.Log{Sink: func(event.Entry, []any) {}}
		settings := Settings{
			Host: "x", Zone: "z", Listen: "127.0.0.1:0", Ready: "127.0.0.1:0", Internal: "127.0.0.1:0", Metrics: "127.0.0.1:0",
			RevocationLimit: 5 * time.Second, UsageWindow: time.Second, ShutdownGrace: 700 * time.Millisecond,
		}
		for i := 0; ; i++ { // a name of a host that follows others
			settings.Host = fmt.Sprintf("x%d", i)
			hosts := peer.Directory{Self: peer.Host{Name: settings.Host, Zone: "z", Address: "127.0.0.1:1"}}
			listed, err := store.List(context.Background(), peer.KeyPrefix)
			Expect(err).NotTo(HaveOccurred())
			hosts.ApplyChange(object.Change{Batch: listed, Complete: true})
			if !hosts.WatchesStore() {
				break
			}
		}
		n := New(settings, memoryPlatform(store), quiet)
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = n.Run(ctx, http.NotFoundHandler()) }()
		Eventually(n.Ready, 250*time.Millisecond, 5*time.Millisecond).Should(BeTrue())
		cancel()
		Eventually(n.Done(), 8*time.Second).Should(BeClosed())
	})
})
