package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/peer"
)

// A zone that is cut off from the others is still reached by its callers. Its hosts can't
// reach the store, so that they refuse batches and can't read results that hosts of other
// zones hold. They stop being ready as soon as they know, so that the load balancer sends the
// callers to another zone. A host that only lacks the store stays ready until maxReadyAge:
// the hosts of other zones then lack it too.

const (
	// otherZoneProbeInterval is the time between two probes of hosts in other zones, and
	// otherZoneProbeTimeout bounds each of them.
	otherZoneProbeInterval = 400 * time.Millisecond
	otherZoneProbeTimeout  = 300 * time.Millisecond
	// otherZoneProbes is the number of hosts that are probed at a time, so that single hosts
	// that are down don't matter.
	otherZoneProbes = 2
	// cutOffDelay is the time without an answer from another zone after which the host counts as
	// cut off: three probes.
	cutOffDelay = 1300 * time.Millisecond
	// newsDelay is the age of the configuration from which it may be cut off. A watch confirms
	// the configuration each policyWatchWait, later if the store is slow.
	newsDelay = policyWatchWait + 500*time.Millisecond
)

// probeOtherZones asks hosts of other zones whether they answer, while the configuration
// isn't known to be current.
func (n *Node) probeOtherZones(ctx context.Context) {
	if n.policyAge() < otherZoneProbeInterval {
		n.otherZoneAnswered.Store(int64(n.clock())) // the news came from the store or through other zones
		return
	}
	var others []string
	for _, h := range n.Directory.Hosts() {
		if h.Zone != n.Settings.Zone {
			others = append(others, h.Name)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, otherZoneProbeTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, i := range rand.Perm(len(others))[:min(otherZoneProbes, len(others))] {
		group.Go(func() {
			if _, err := peer.Call[pingReply](ctx, n.Directory, others[i], "ping", empty{}); err == nil {
				n.otherZoneAnswered.Store(int64(n.clock()))
			}
		})
	}
	group.Wait()
	if len(others) == 0 {
		n.otherZoneAnswered.Store(int64(n.clock()))
	}
}

// isCutOff reports whether there is no news from the store, and no host of another zone has
// answered for cutOffDelay. It is false where the site need not tolerate the loss of a zone.
func (n *Node) isCutOff() bool {
	silence := n.clock() - time.Duration(n.otherZoneAnswered.Load())
	return n.Settings.ToleratedZones > 0 && silence > cutOffDelay && n.policyAge() > newsDelay
}
