package node

import (
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/fleet/peer"
	"github.com/hyssopwall/hyssopwall/internal/rollout/batch"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
	"github.com/hyssopwall/hyssopwall/internal/standin/objects"
)

// Guards against copies of batches that get lost on the way between hosts: a method that no
// host serves, a field that is not encoded, or a ranking without zones.
var _ = It("keeps and returns the copy of a batch for another host", func(ctx SpecContext) {
	log := event.Log{Sink: func(event.Entry, []any) {}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	standby := New(Settings{Host: "b", Zone: "z2", Internal: listener.Addr().String(), UsageWindow: time.Second}, memoryPlatform(&objects.Store{}), log)
	server := &http.Server{Handler: standby.internalHandler(), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Close)
	owner := New(Settings{Host: "a", Zone: "z1", UsageWindow: time.Second}, memoryPlatform(&objects.Store{}), log)
	owner.applyHostsChange(objectChange(peer.KeyPrefix+"b", 1, standby.Directory.Self, 0))
	calls := peers{owner.Directory}
	Expect(calls.Ranked("one")).To(ConsistOf(batch.RankedHost{Name: "a", Zone: "z1"}, batch.RankedHost{Name: "b", Zone: "z2"}))

	partial := batch.Partial{Texts: []string{"x", "y"}, Versions: []uint64{5, 6}, Failures: 2, ScorerFailures: 1}
	request := batch.CopyRequest{Batch: "one", Epoch: 3, Sequence: 9, Base: 7, Items: []batch.CopyItem{{ID: "i", Partial: partial}}}
	Expect(calls.Copy(ctx, "b", request)).To(Equal(batch.CopyReply{Missing: true}))
	request.First = true
	Expect(calls.Copy(ctx, "b", request)).To(Equal(batch.CopyReply{}))
	Expect(calls.Copy(ctx, "b", batch.CopyRequest{Batch: "one", Epoch: 2, First: true})).To(Equal(batch.CopyReply{Stale: true}))
	Expect(calls.Partials(ctx, "b", batch.PartialsRequest{CopyOf: "one"})).To(Equal(batch.PartialsReply{
		Partials: map[string]batch.Partial{"i": partial}, Incarnation: standby.Incarnation, Epoch: 3, Sequence: 9,
	}))
})
