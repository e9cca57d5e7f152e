package node

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/fleet/peer"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
	"github.com/hyssopwall/hyssopwall/internal/standin/objects"
)

// Load: the callers of a zone that is cut off from the others for five seconds. Guards against
// hosts that stay ready there almost to the end of the cut.
var _ = Describe("a host whose zone is cut off", func() {
	var (
		n     *Node
		clock *manualClock
		other *httptest.Server
	)
	start := func(tolerated int) {
		settings := Settings{Host: "a-1", Zone: "a", UsageWindow: time.Second, ToleratedZones: tolerated}
		quiet := event.Log{Sink: func(event.Entry, []any) {}}
		n = New(settings, memoryPlatform(&objects.Store{}), quiet)
		clock = &manualClock{now: n.clock()}
		n.timeSource = clock
		n.applyPolicyChange(objectChange(keys.Policy, 1, configuration(3, route), clock.now))
		list := objectChange("servers/s", 1, pool.Server{Service: "s", Slots: 1}, clock.now)
		list.Complete = true
		n.applyServersChange(list)
		remote := New(Settings{Host: "b-1", Zone: "b", UsageWindow: time.Second}, memoryPlatform(&objects.Store{}), quiet)
		other = httptest.NewServer(remote.internalHandler())
		DeferCleanup(other.Close)
		value, err := json.Marshal(peer.Host{Name: "b-1", Zone: "b", Address: other.Listener.Addr().String()})
		Expect(err).NotTo(HaveOccurred())
		change := object.Change{}
		change.Objects = []object.Object{{Key: peer.KeyPrefix + "b-1", Value: value}}
		n.Directory.ApplyChange(change)
		n.probeOtherZones(context.Background())
		Expect(n.Ready()).To(BeTrue())
	}
	pass := func(d time.Duration) {
		clock.now += d
		n.probeOtherZones(context.Background())
	}

	It("stops being ready as soon as neither the store nor another zone answers", func() {
		start(1)
		other.Close()
		for range 3 { // the watch of the configuration may still be under way
			pass(newsDelay / 3)
			Expect(n.Ready()).To(BeTrue())
		}
		pass(100 * time.Millisecond)
		Expect(n.Ready()).To(BeFalse())
	})

	It("stays ready while only the store is away", func() {
		start(1)
		for range 3 {
			pass(newsDelay / 2)
		}
		Expect(n.Ready()).To(BeTrue())
		pass(maxReadyAge)
		Expect(n.Ready()).To(BeFalse())
	})

	It("stays ready as before where no loss of a zone has to be tolerated", func() {
		start(0)
		other.Close()
		pass(2 * cutOffDelay)
		Expect(n.Ready()).To(BeTrue())
	})
})
