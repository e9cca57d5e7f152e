package node

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/entry/forward"
	"github.com/hyssopwall/hyssopwall/internal/fleet/peer"
	"github.com/hyssopwall/hyssopwall/internal/rollout/batch"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
	"github.com/hyssopwall/hyssopwall/internal/site/policy"
	"github.com/hyssopwall/hyssopwall/internal/standin/objects"
)

// senderFunc implements forward.Sender.
type senderFunc func(server pool.Server, request forward.Request) (forward.Response, error)

func (f senderFunc) Send(_ context.Context, server pool.Server, request forward.Request) (forward.Response, error) {
	return f(server, request)
}

var _ = Describe("the limit on cold servers", func() {
	var (
		n         *Node
		testClock *manualClock
		numbers   []event.Number
		sends     atomic.Int64
	)
	BeforeEach(func() {
		testClock = &manualClock{now: time.Hour}
		numbers = nil
		sends.Store(0)
		memory := memoryPlatform(&objects.Store{})
		memory.Sender = senderFunc(func(_ pool.Server, request forward.Request) (forward.Response, error) {
			if err := request.BeforeSend(); err != nil {
				return forward.Response{}, &forward.NotRunError{Reason: err.Error()}
			}
			sends.Add(1)
			return forward.Response{Status: 200, Signature: "s"}, nil
		})
		n = New(Settings{Host: "h", UsageWindow: time.Second, WarmUpOverage: 1.5, WarmUpSlack: 5}, memory,
			event.Log{Sink: func(e event.Entry, _ []any) { numbers = append(numbers, e.Number) }})
		n.timeSource = testClock
		n.recordView(testClock.now)
	})
	apply := func(version uint64, services ...policy.Service) {
		p := configuration(version, policy.Route{Name: "r", Host: "a", Prefix: "/", Kind: policy.Safe, Targets: []policy.Target{{Service: "s", Weight: 1}}})
		p.Services = services
		n.applyPolicyChange(objectChange(keys.Policy, version, p, testClock.now))
	}
	cold := pool.Server{Name: "a", Service: "s", Slots: 100, WarmUpLeft: 10 * time.Second}

	// Guards against kinds of sends that are not counted: a plain request, the call of a
	// scorer, and requests at a service whose servers are all cold.
	It("holds for plain requests and scorers, which are refused at once", func(ctx SpecContext) {
		apply(1, policy.Service{Name: "s", WarmUpRate: 7.9})
		n.Pool.Replace([]pool.Server{cold})
		refused := 0
		for i := range 20 {
			var err error
			if i%2 == 0 {
				_, err = n.Forwarder.Do(ctx, n.Policy().Routes[0], forward.Request{ID: fmt.Sprint(i), TimeLeft: 5 * time.Second})
			} else {
				_, err = scorerClient{n}.Score(ctx, batch.Scorer{ID: fmt.Sprint(i), Host: "a", Target: "/"})
			}
			if err != nil {
				Expect(err).To(BeAssignableToTypeOf(&forward.RefusedError{}))
				Expect(err).To(HaveField("RetryAfter", BeNumerically("~", time.Second)))
				refused++
			}
		}
		Expect(sends.Load()).To(Equal(int64(5)))
		Expect(refused).To(Equal(15))
	})

	// Guards against an invalid rate that stops all requests, or the host.
	It("is left out when it is invalid, and reported", func() {
		apply(1, policy.Service{Name: "s", WarmUpRate: -1}, policy.Service{Name: "t", WarmUpRate: 1, WarmUpTime: -time.Second})
		Expect(numbers).To(ContainElements(event.WarmUpIgnored, event.WarmUpIgnored))
		n.Pool.Replace([]pool.Server{cold})
		_, ok := n.Pool.Pick(time.Now(), pool.Need{Service: "s"})
		Expect(ok).To(BeTrue())
	})

	// Guards against hosts that all take themselves for the sender to a cold server.
	It("lets one host send: an owner of open batches to an engine, any host to a plain server", func() {
		apply(1, policy.Service{Name: "s", WarmUpRate: 7.9, Models: []string{"m"}}, policy.Service{Name: "t", WarmUpRate: 7.9})
		put := func(id string, version uint64, record batch.Record) {
			n.Batches.ApplyChange(objectChange(batch.RecordPrefix+id, version, record, 0))
		}
		Expect(n.senderRank(cold)).To(Equal(notSender), "it owns no batch")
		put("1", 1, batch.Record{Service: "s", Owner: "h"})
		Expect(n.senderRank(cold)).To(BeZero())
		put("2", 2, batch.Record{Service: "other", Owner: "i"})
		put("3", 3, batch.Record{Service: "s", Owner: "j", Ended: true})
		Expect(n.Batches.Owners("s")).To(ConsistOf("h"))
		put("4", 4, batch.Record{Owner: "j"}) // of an earlier release
		put("5", 5, batch.Record{Service: "s", Owner: "k"})
		Expect(n.Batches.Owners("s")).To(ConsistOf("h", "j", "k"))
		n.applyHostsChange(objectChange(peer.KeyPrefix+"j", 1, peer.Host{Name: "j", Zone: "z", Address: "127.0.0.1:1"}, 0))
		first, plainFirst := 0, 0
		for boot := range int64(300) {
			if n.senderRank(pool.Server{Name: "a", Service: "s", Boot: boot}) == 0 {
				first++
			}
			if n.senderRank(pool.Server{Name: "a", Service: "t", Boot: boot}) == 0 {
				plainFirst++
			}
		}
		Expect(first).To(BeNumerically("~", 100, 40), "one of three owners")
		Expect(plainFirst).To(BeNumerically("~", 150, 40), "one of two hosts")
	})

	// Guards against a host that has no request at a server and does not notice that it starts
	// again.
	It("makes a host check a server at which another host's request has failed", func() {
		apply(1, policy.Service{Name: "s", WarmUpRate: 7.9})
		n.Pool.Replace([]pool.Server{{Name: "a", Service: "s", Slots: 9, Boot: 7}})
		internal := httptest.NewServer(n.internalHandler())
		defer internal.Close()
		other := New(Settings{Host: "i", UsageWindow: time.Second}, memoryPlatform(&objects.Store{}), event.Log{Sink: func(event.Entry, []any) {}})
		other.applyHostsChange(objectChange(peer.KeyPrefix+"h", 1, peer.Host{Name: "h", Zone: "z", Address: internal.Listener.Addr().String()}, 0))
		other.reports.add(n.Pool.Servers()[0])
		Eventually(func() bool {
			choice, ok := n.Pool.Pick(time.Now(), pool.Need{Service: "s"})
			if ok {
				choice.Release()
			}
			return ok
		}, 8*time.Second).Should(BeFalse(), "its health check is not answered")
	})
})
