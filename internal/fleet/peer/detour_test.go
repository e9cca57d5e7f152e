package peer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/fleet/peer"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
	"github.com/hyssopwall/hyssopwall/internal/standin/objects"
)

// deaf is a store whose watches hear nothing while Deaf is set, as on a
// connection that has died.
type deaf struct {
	*objects.Store
	Deaf atomic.Bool
}

func (d *deaf) Watch(ctx context.Context, prefix string, after uint64) (object.Batch, error) {
	if d.Deaf.Load() {
		<-ctx.Done()
		return object.Batch{}, &object.OutageError{Err: ctx.Err()}
	}
	return d.Store.Watch(ctx, prefix, after)
}

// Pattern: one call of a host gets no answer, the store is well, and a peer
// stands still.
var _ = Describe("a watch beside a call without an answer", func() {
	// A change has to be in force within 2 s; reading it takes some of that.
	const soon = time.Second
	var (
		store *deaf
		relay *peer.Relay
		peers *httptest.Server
		quiet = event.Log{Sink: func(event.Entry, []any) {}}
	)
	BeforeEach(func(ctx SpecContext) {
		store = &deaf{Store: &objects.Store{}}
		stopped := make(chan struct{})
		peers = httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			select {
			case <-stopped:
			case <-r.Context().Done():
			}
		}))
		DeferCleanup(func() {
			close(stopped)
			peers.Close()
		})
		hosts := []peer.Host{
			{Name: "b", Zone: "z", Address: peers.Listener.Addr().String()},
			{Name: "c", Zone: "y", Address: peers.Listener.Addr().String()},
		}
		relay = &peer.Relay{Direct: store, Directory: learned("a", hosts...), Wait: 1500 * time.Millisecond, Health: &peer.StoreHealth{Log: quiet}}
		_, err := store.Put(ctx, "k/a", []byte("1"), 0)
		Expect(err).NotTo(HaveOccurred())
	})

	watched := func(ctx context.Context) time.Duration {
		GinkgoHelper()
		ctx, cancel := context.WithTimeout(ctx, 8*time.Second)
		defer cancel()
		began := time.Now()
		changes, err := relay.Watch(ctx, "k/", 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(changes.Objects).NotTo(BeEmpty())
		return time.Since(began)
	}

	// Guards against a configuration that is not in force in time since the watch
	// went through a peer that stands still.
	It("goes to the store when it answers the next try", func(ctx SpecContext) {
		lose := true
		store.Inject(func(op, _ string) objects.Fault {
			if op == "put" && lose {
				lose = false
				return objects.Lost
			}
			return objects.None
		})
		_, err := relay.Put(ctx, "k/b", nil, 0)
		Expect(err).To(BeAssignableToTypeOf(&object.UnknownError{}))
		Expect(watched(ctx)).To(BeNumerically("<", soon))
	})

	// Guards against the same when the caller of a write has left.
	It("goes to the store after a caller gave its write up", func(ctx SpecContext) {
		store.Inject(func(op, _ string) objects.Fault {
			if op == "put" {
				return objects.Dropped
			}
			return objects.None
		})
		leaving, leave := context.WithCancel(ctx)
		leave()
		_, err := relay.Put(leaving, "k/b", nil, 0)
		Expect(err).To(HaveOccurred())
		Expect(relay.Health.Down()).To(BeFalse())
		Expect(watched(ctx)).To(BeNumerically("<", soon))
	})

	// Guards against a watch that stays with a silent peer though the store answers
	// this host again.
	It("leaves a peer once the store is in reach", func(ctx SpecContext) {
		const back = 1700 * time.Millisecond
		store.Inject(func(string, string) objects.Fault { return objects.Down })
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := relay.Get(short, "k/a")
		Expect(err).To(HaveOccurred())
		time.AfterFunc(back, func() {
			store.Inject(nil)
			_, _ = relay.Get(ctx, "k/a") // another call finds the store back
		})
		Expect(watched(ctx)).To(BeNumerically("<", back+soon))
	})

	// Guards against a list of servers that stays old for as long as its watch may
	// wait: 20 s.
	It("leaves a peer that stands still after seconds, however long it may wait", func(ctx SpecContext) {
		store.Inject(func(string, string) objects.Fault { return objects.Down })
		relay.Wait = 20 * time.Second
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := relay.Get(short, "k/a")
		Expect(err).To(HaveOccurred())
		limited, stop := context.WithTimeout(ctx, 8*time.Second)
		defer stop()
		_, err = relay.Watch(limited, "k/", 0)
		Expect(err).To(HaveOccurred())
		Expect(limited.Err()).NotTo(HaveOccurred())
	})

	// Guards against a host that tries the store, and logs that, at each call while
	// its connections are reset again and again.
	It("tries a store that fails by turns seldom", func(ctx SpecContext) {
		tries, calls := 0, 0
		store.Inject(func(op, _ string) objects.Fault {
			if op == "get" {
				tries++
				return objects.None
			}
			calls++
			return objects.Lost
		})
		limited, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		for limited.Err() == nil {
			asking, cancel := context.WithTimeout(limited, 10*time.Millisecond)
			_, err := relay.Put(asking, "k/b", nil, 0)
			Expect(err).To(HaveOccurred())
			cancel()
		}
		Expect(calls).To(BeNumerically("<=", 2))
		Expect(tries).To(Equal(1))
	})

	// Guards against a watch that waits on a connection that has died, though
	// another call of the host has found that out.
	It("is made again when it waits on a dead connection", func(ctx SpecContext) {
		store.Deaf.Store(true)
		time.AfterFunc(100*time.Millisecond, func() {
			store.Inject(func(op, _ string) objects.Fault {
				if op == "put" {
					return objects.Lost
				}
				return objects.None
			})
			store.Deaf.Store(false)
			_, _ = relay.Put(ctx, "k/b", nil, 0)
		})
		Expect(watched(ctx)).To(BeNumerically("<", 100*time.Millisecond+soon))
	})
})
