package node

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
	"github.com/hyssopwall/hyssopwall/internal/standin/objects"
)

var _ = Describe("the evacuation of zones", func() {
	const prefix = "evacuations/"
	start := func(store *objects.Store, limit time.Duration) *Node {
		put(store, keys.Policy, configuration(3, route))
		put(store, keys.Servers+"a", pool.Server{Service: "s", Slots: 4, Zone: "z"})
		memory := memoryPlatform(store)
		memory.Keys.Evacuations = prefix
		n := New(Settings{
			Host: "h", Zone: "z", Listen: "127.0.0.1:0", Ready: "127.0.0.1:0", Internal: "127.0.0.1:0", Metrics: "127.0.0.1:0",
			UsageWindow: time.Second, ShutdownGrace: 700 * time.Millisecond, EvacuationLimit: limit,
		}, memory, event.Log{Sink: func(event.Entry, []any) {}})
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = n.Run(ctx, http.NotFoundHandler()) }()
		DeferCleanup(func() {
			cancel()
			Eventually(n.Done(), 8*time.Second).Should(BeClosed())
		})
		return n
	}
	sends := func(n *Node) func() bool {
		return func() bool {
			choice, ok := n.Pool.Pick(time.Now(), pool.Need{Service: "s"})
			if ok {
				choice.Release()
			}
			return ok
		}
	}
	unreadable := func(op, key string) objects.Fault {
		if op == "list" && key == prefix {
			return objects.Down
		}
		return objects.None
	}

	// Guards against sends of a host that has not read the evacuations yet, and against one
	// that doesn't follow them.
	It("is read before the first send, and followed", func(ctx SpecContext) {
		store := &objects.Store{}
		put(store, prefix+"z", struct{}{})
		n := start(store, 5*time.Second)
		Eventually(n.Ready, 8*time.Second).Should(BeTrue())
		Expect(sends(n)()).To(BeFalse())
		Expect(n.hasCrashed(n.Pool.Servers()[0])).To(BeFalse(), "no health check is sent there")
		entry, err := store.Get(ctx, prefix+"z")
		Expect(err).NotTo(HaveOccurred())
		Expect(store.Delete(ctx, prefix+"z", entry.Version)).To(Succeed())
		Eventually(sends(n), 8*time.Second).Should(BeTrue())
		put(store, prefix+"z", struct{}{})
		Eventually(sends(n), 8*time.Second).Should(BeFalse())
	})

	// Guards against a host that never serves because it can't read the evacuations, and one
	// that serves at once.
	It("holds back the sends of a host that can't read it, for some time", func() {
		store := &objects.Store{}
		store.Inject(unreadable)
		n := start(store, 5*time.Second)
		Eventually(n.Pool.HasList, 8*time.Second).Should(BeTrue())
		Expect(n.Ready()).To(BeFalse())
		Expect(sends(n)()).To(BeFalse())
		Eventually(sends(n), 12*time.Second).Should(BeTrue())
		Expect(n.Ready()).To(BeTrue())
	})

	// Guards against deployments without evacuations whose hosts wait for them.
	It("is neither read nor awaited without a limit in the settings", func() {
		store := &objects.Store{}
		put(store, prefix+"z", struct{}{})
		store.Inject(unreadable)
		n := start(store, 0)
		Eventually(n.Ready, 8*time.Second).Should(BeTrue())
		Expect(sends(n)()).To(BeTrue())
	})

	It("ignores an entry that names no zone", func() {
		memory := memoryPlatform(&objects.Store{})
		memory.Keys.Evacuations = prefix
		n := New(Settings{Host: "h", UsageWindow: time.Second, EvacuationLimit: time.Second}, memory, event.Log{Sink: func(event.Entry, []any) {}})
		change := object.Change{Complete: true}
		change.Objects = []object.Object{{Key: prefix}, {Key: prefix + "y", Value: []byte("odd")}}
		n.applyEvacuationsChange(change)
		Expect(n.Pool.EvacuatedCount()).To(Equal(1))
		Expect(n.Pool.IsEvacuated("y")).To(BeTrue())
	})
})
