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

// learnPolicy takes in a change of the configuration, or the proof that there
// is none.
func (n *Node) learnPolicy(change object.Change) {
	for _, o := range change.Objects {
		if o.Key == n.Platform.Keys.Policy && !o.Deleted {
			n.unread = !n.apply(o)
		}
	}
	// A version that can't be read may withdraw keys: the news ages until one can.
	if n.Policy() != nil && !n.unread {
		n.news.Store(max(n.news.Load(), int64(change.AsOf)))
	}
}

// apply puts a configuration in force unless a newer one is: it never goes
// back while the host lives. It returns false for one that can't be read.
func (n *Node) apply(o object.Object) bool {
	next, err := n.Platform.DecodePolicy(o.Value)
	if err != nil {
		n.Log.Emit(event.ConfigurationUnreadable, "revision", o.Version, "err", err.Error())
		return false
	}
	if old := n.Policy(); old != nil && next.Version <= old.Version {
		return true
	}
	grace := n.Settings.RevocationLimit - revokeMargin
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
	n.Log.Emit(event.ConfigurationApplied, "version", next.Version, "revision", o.Version,
		"routes", len(next.Routes), "workspaces", len(next.Workspaces), "withdrawn", len(withdrawn))
	return true
}

func (n *Node) learnHosts(change object.Change) {
	for _, err := range n.Directory.ApplyChange(change) {
		n.Log.Emit(event.ServerIgnored, "err", err.Error())
	}
	n.place.Do(func() { close(n.placed) })
}

// watchDuty notes when the duty is lost, after which this host does not contend
// for a while.
func (n *Node) watchDuty(ctx context.Context) {
	n.awaitPlace(ctx)
	if n.Directory.Rank(ControlDuty) < contenders {
		last, err := n.holder.LastHolder(ctx, ControlDuty)
		n.resumes.Store(err == nil && last == n.Settings.Host) // else the host waits
	}
	held := false
	every(ctx, newsTurn, func() {
		_, now := n.holder.Held(ControlDuty)
		if held && !now {
			n.lost.Store(int64(n.clock()))
			n.resumes.Store(false)
		}
		held = now
	})
}

// askHolder asks the other contenders whether they hold the duty.
func (n *Node) askHolder(ctx context.Context) {
	if _, held := n.holder.Held(ControlDuty); held || n.Directory.Rank(ControlDuty) >= contenders {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, holderTurn)
	defer cancel()
	var group sync.WaitGroup
	for _, host := range n.Directory.First(ControlDuty, contenders+1) {
		if host == n.Settings.Host {
			continue
		}
		group.Go(func() {
			reply, err := peer.Call[pingReply](ctx, n.Directory, host, "ping", empty{})
			if err == nil && reply.Holds {
				n.held.Store(int64(n.clock()))
			}
		})
	}
	group.Wait()
}

// followHeld follows a prefix while this host holds the duty.
func (n *Node) followHeld(ctx context.Context, prefix string, handle func(object.Change)) {
	stop := func() {}
	held := false
	every(ctx, newsTurn, func() {
		_, now := n.holder.Held(ControlDuty)
		if now == held {
			return
		}
		held = now
		stop()
		if held {
			following, cancel := context.WithCancel(ctx)
			stop = cancel
			go n.follower(listWait, prefix, handle).Run(following)
		}
	})
	stop()
}

func (n *Node) learnReleases(change object.Change) {
	for _, o := range change.Objects {
		if o.Deleted {
			continue
		}
		model, version, err := n.Platform.DecodeRelease(o.Value)
		if err != nil {
			n.Log.Emit(event.ServerIgnored, "entry", entryName(o), "revision", o.Version, "err", err.Error())
			continue
		}
		n.roller.ObserveRelease(model, version)
		n.Log.Emit(event.ReleaseSeen, "model", model, "version", version, "revision", o.Version)
	}
}

// entryName returns the kind and name of an object that others write.
func entryName(o object.Object) string { return o.Key }

// learnRetirements answers that a host with a disk is empty: nothing that lasts
// is kept on disks.
func (n *Node) learnRetirements(ctx context.Context) func(object.Change) {
	return func(change object.Change) {
		for _, o := range change.Objects {
			if o.Deleted || n.retired[o.Key] {
				continue
			}
			err := n.Platform.CompleteRetirement(ctx, o)
			n.retired[o.Key] = err == nil
			n.Log.Emit(event.HostRetired, "entry", entryName(o), "done", err == nil)
		}
	}
}

// newsTurn is the pace of looking at the age of the news.
const newsTurn = 200 * time.Millisecond

// watchNews logs when the news from the store gets too old for keys, and ends
// the streams of keys whose grace is over.
func (n *Node) watchNews(ctx context.Context) {
	every(ctx, newsTurn, func() {
		if n.Policy() == nil {
			return
		}
		age := n.age()
		stale := age >= readyAge
		if n.stale.Swap(stale) != stale {
			number := event.StoreFresh
			if stale {
				number = event.StoreStale
			}
			n.Log.Emit(number, "age", age.String(), "version", n.Policy().Version)
		}
		if stale {
			n.Gate.ExpireGrace(n.cutOff(time.Now()), time.Now())
		}
	})
}

func every(ctx context.Context, pace time.Duration, do func()) {
	ticker := time.NewTicker(pace)
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

// cutOff returns the instant up to which the configuration is known, as the
// gate wants it.
func (n *Node) cutOff(now time.Time) time.Time { return now.Add(-n.age()) }
