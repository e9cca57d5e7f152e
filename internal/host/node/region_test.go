package node

import (
	"context"
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

// Guards against plain requests, scorers and bodies of batches that get into a region which
// the route or the workspace excludes.
var _ = Describe("regions", func() {
	It("bind requests, scorers and relayed calls to the store", func(ctx context.Context) {
		var numbers []event.Number
		var sentTo []string
		memory := memoryPlatform(&objects.Store{})
		memory.Sender = senderFunc(func(server pool.Server, _ forward.Request) (forward.Response, error) {
			sentTo = append(sentTo, server.Name)
			return forward.Response{Status: 200, Signature: "s"}, nil
		})
		n := New(Settings{Host: "h", Zone: "y", UsageWindow: time.Second, Zones: map[string]string{"y": "north", "z": "south"}}, memory,
			event.Log{Sink: func(e event.Entry, _ []any) { numbers = append(numbers, e.Number) }})
		n.Pool.Replace([]pool.Server{{Name: "a", Service: "s", Slots: 9, Zone: "y"}, {Name: "b", Service: "s", Slots: 9, Zone: "z"}})
		r := policy.Route{Name: "r", Host: "a", Prefix: "/", Targets: []policy.Target{{Service: "s", Weight: 1}}}
		apply := func(version uint64, routeRegions, workspaceRegions []string) {
			r.Regions = routeRegions
			p := configuration(version, r)
			p.Workspaces[0].Regions = workspaceRegions
			n.applyPolicyChange(objectChange(keys.Policy, version, p, 0))
		}
		send := func() error {
			_, err := n.Forward(ctx, n.Policy().Routes[0], forward.Request{ID: "x", Workspace: "w", TimeLeft: time.Second})
			return err
		}
		south := peer.Host{Zone: "z"}
		apply(1, nil, nil)
		Expect(send()).To(Succeed())
		Expect(n.mayRelay(south)).To(BeTrue())
		apply(2, []string{"south"}, nil)
		Expect(send()).To(Succeed())
		Expect(n.mayRelay(south)).To(BeFalse())
		Expect(n.mayRelay(peer.Host{Zone: "y"})).To(BeTrue())
		apply(3, nil, []string{"south"})
		Expect(send()).To(Succeed())
		apply(4, nil, nil)
		_, err := scorerClient{n}.Score(ctx, batch.Scorer{Host: "a", Target: "/", Regions: [][]string{{"south"}}})
		Expect(err).NotTo(HaveOccurred())
		Expect(sentTo).To(Equal([]string{"a", "b", "b", "b"}))
		Expect(numbers).NotTo(ContainElement(event.RegionUnknown))
		apply(5, []string{"south"}, []string{"north", "west"})
		Expect(send()).To(BeAssignableToTypeOf(&forward.RefusedError{}))
		Expect(numbers).To(ContainElement(event.RegionUnknown))
	})
})
