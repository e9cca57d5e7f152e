package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/entry/gate"
	"github.com/hyssopwall/hyssopwall/internal/fleet/peer"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// applyPolicyChange applies a change of the configuration. A change without objects
// confirms that the current configuration is the newest.
func (n *Node) applyPolicyChange(change object.Change) {
	for _, o := range change.Objects {
		if o.Key == n.Platform.Keys.Policy && !o.Deleted {
			n.policyUnreadable = !n.applyPolicy(o)
		}
	}
	// An unreadable version may withdraw keys, so the known configuration counts as aging
	// until a readable version arrives.
	if n.Policy() != nil && !n.policyUnreadable {
		n.policyKnown.Store(max(n.policyKnown.Load(), int64(change.AsOf)))
	}
}

// applyPolicy puts a configuration into effect unless one at least as new already is: the
// version never decreases while the process runs. It returns false if the configuration
// can't be decoded or is invalid.
func (n *Node) applyPolicy(o object.Object) bool {
	next, err := n.Platform.DecodePolicy(o.Value)
	if err != nil {
		n.Log.Emit(event.ConfigurationUnreadable, "revision", o.Version, "err", err.Error())
		return false
	}
	if old := n.Policy(); old != nil && next.Version <= old.Version {
		return true
	}
	grace := n.Settings.RevocationLimit - revocationMargin
	table, err := gate.NewTable(next.Rules(grace))
	if err != nil {
		n.Log.Emit(event.ConfigurationUnreadable, "version", next.Version, "revision", o.Version, "err", err.Error())
		return false
	}
	withdrawn, err := n.Gate.Swap(table)
	if _, stale := errors.AsType[*gate.StaleError](err); stale {
		return true
	}
	n.policy.Store(next)
	n.applyWarmUps(next)
	n.checkRegions(next)
	n.applyLimits(next)
	n.Log.Emit(event.ConfigurationApplied, "version", next.Version, "revision", o.Version,
		"routes", len(next.Routes), "workspaces", len(next.Workspaces), "withdrawn", len(withdrawn))
	return true
}

// applyHostsChange applies a change of the list of hosts to the directory.
func (n *Node) applyHostsChange(change object.Change) {
	for _, err := range n.Directory.ApplyChange(change) {
		n.Log.Emit(event.PlatformEntryIgnored, "err", err.Error())
	}
	n.hostsListedOnce.Do(func() { close(n.hostsListed) })
}

// trackDuty waits for the list of hosts and then, if this host is a contender, records
// whether an earlier process of it held the duty last and has not released it. From then on
// until the context ends it records when this host loses the duty. Both decide when the host
// may contend for the duty (see mayContend).
func (n *Node) trackDuty(ctx context.Context) {
	n.awaitHosts(ctx)
	if n.Directory.RankAnswering(ControlDuty) < maxContenders {
		last, err := n.holder.LastHolder(ctx, ControlDuty)
		n.resumesDuty.Store(err == nil && last == n.Settings.Host) // otherwise the host waits before it contends
	}
	held := false
	runEvery(ctx, pollInterval, func() {
		_, now := n.holder.Held(ControlDuty)
		if held && !now {
			n.dutyLost.Store(int64(n.clock()))
			n.resumesDuty.Store(false)
		}
		held = now
	})
}

// probeHolder asks the other contenders, and the host ranked after them, whether they hold
// the duty, if this host is a contender and doesn't hold it. It records the time of each
// claim for mayContend.
func (n *Node) probeHolder(ctx context.Context) {
	if _, held := n.holder.Held(ControlDuty); held || n.Directory.RankAnswering(ControlDuty) >= maxContenders {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, holderProbeInterval)
	defer cancel()
	var group sync.WaitGroup
	for _, host := range n.Directory.FirstAnswering(ControlDuty, maxContenders+1) {
		if host == n.Settings.Host {
			continue
		}
		group.Go(func() {
			reply, err := peer.Call[pingReply](ctx, n.Directory, host, "ping", empty{})
			if err == nil && reply.Holds {
				n.otherHeld.Store(int64(n.clock()))
			}
		})
	}
	group.Wait()
}

// followWhileHolder follows a prefix of the store while this host holds the duty.
func (n *Node) followWhileHolder(ctx context.Context, prefix string, handle func(object.Change)) {
	stop := func() {}
	held := false
	runEvery(ctx, pollInterval, func() {
		_, now := n.holder.Held(ControlDuty)
		if now == held {
			return
		}
		held = now
		stop()
		if held {
			followCtx, cancel := context.WithCancel(ctx)
			stop = cancel
			go n.follower(directWatchWait, prefix, handle).Run(followCtx)
		}
	})
	stop()
}

// applyReleasesChange passes newly released weights versions to the coordinator.
func (n *Node) applyReleasesChange(change object.Change) {
	for _, o := range change.Objects {
		if o.Deleted {
			continue
		}
		model, version, err := n.Platform.DecodeRelease(o.Value)
		if err != nil {
			n.Log.Emit(event.PlatformEntryIgnored, "entry", entryName(o), "revision", o.Version, "err", err.Error())
			continue
		}
		n.coordinator.ObserveRelease(model, version)
		n.Log.Emit(event.ReleaseAnnounced, "model", model, "version", version, "revision", o.Version)
	}
}

// entryName returns the key of an entry of the store, kind and name, as it is logged.
func entryName(o object.Object) string { return o.Key }

// retirementsHandler returns a handler of changes to the entries of hosts with a disk that
// are to be retired. It reports each of them as empty at once, since no durable data is kept
// on disks. A report that fails is repeated with the next change of the entry.
func (n *Node) retirementsHandler(ctx context.Context) func(object.Change) {
	return func(change object.Change) {
		for _, o := range change.Objects {
			if o.Deleted || n.retiredHosts[o.Key] {
				continue
			}
			err := n.Platform.CompleteRetirement(ctx, o)
			n.retiredHosts[o.Key] = err == nil
			n.Log.Emit(event.HostRetired, "entry", entryName(o), "done", err == nil)
		}
	}
}

// pollInterval is the interval at which the duty and the age of the configuration are
// checked.
const pollInterval = 200 * time.Millisecond

// watchStaleness logs when the known configuration becomes too old for new callers and when
// it is current again. While it is too old, it calls Gate.ExpireGrace, which has no effect on
// the requests of this host, since they are not registered as streams with the gate.
func (n *Node) watchStaleness(ctx context.Context) {
	runEvery(ctx, pollInterval, func() {
		if n.Policy() == nil {
			return
		}
		age := n.policyAge()
		stale := age >= maxReadyAge
		if n.policyStale.Swap(stale) != stale {
			number := event.StoreFresh
			if stale {
				number = event.StoreStale
			}
			n.Log.Emit(number, "age", age.String(), "version", n.Policy().Version)
		}
		if stale {
			n.Gate.ExpireGrace(n.policyKnownAt(time.Now()), time.Now())
		}
	})
}

// runEvery calls do at an interval until the context ends, first after one interval.
func runEvery(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}

// policyKnownAt returns the wall-clock time at which the configuration was last known to be
// current. Without a configuration the result means nothing, and isn't zero.
func (n *Node) policyKnownAt(now time.Time) time.Time { return now.Add(-n.policyAge()) }
