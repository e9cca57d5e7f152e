package node

import (
	"context"
	"slices"

	"github.com/hyssopwall/hyssopwall/internal/fleet/peer"
)

// dutyWatchers is the number of hosts, in the order of their rank for the duty, that watch those
// ranked before them, so that they contend once these are gone.
const dutyWatchers = 12

// pruner returns the part that finds hosts that are gone.
func (n *Node) pruner() *peer.Pruner {
	return &peer.Pruner{
		Directory: n.Directory, Store: n.store, Log: n.Log,
		Probe: func(ctx context.Context, host string) error {
			_, err := peer.Call[pingReply](ctx, n.Directory, host, "ping", empty{})
			return err
		},
		First:     n.rankedBefore,
		MayRemove: func() bool { return !n.draining.Load() && !n.health.Down() && n.policyAge() < maxReadyAge },
	}
}

// rankedBefore returns the hosts that are ranked before this one for the duty, if this one is
// among the first dutyWatchers.
func (n *Node) rankedBefore() []string {
	first := n.Directory.First(ControlDuty, dutyWatchers)
	return first[:max(0, slices.Index(first, n.Settings.Host))]
}
