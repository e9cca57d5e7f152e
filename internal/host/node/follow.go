package node

import (
	"context"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/peer"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// followHosts keeps the directory of hosts up to date.
func (n *Node) followHosts(ctx context.Context) {
	if n.Settings.Bootstrap {
		sleep(ctx, bootstrapDelay)
	}
	n.mirroredFollower(watchTimes{direct: directWatchWait, watcher: hostsWatcherWait, minInterval: minWatchInterval}, peer.KeyPrefix, n.applyHostsChange).Run(ctx)
}

// follower returns a follower that reads a prefix from the store.
func (n *Node) follower(wait time.Duration, prefix string, handle func(object.Change)) object.Follower {
	return object.Follower{Reader: n.relayedStore(wait), Prefix: prefix, Now: n.clock, Handle: handle, RetrySignal: n.health.Restored}
}

// mirroredFollower returns a follower of a prefix that all hosts follow. It reads from a host
// that this one follows, or from the store if there is none (see peer.Source), and mirrors
// the prefix for the hosts that follow this one.
func (n *Node) mirroredFollower(watch watchTimes, prefix string, handle func(object.Change)) object.Follower {
	mirror := n.mirrors[prefix]
	var loggedAt time.Duration // time of the last log line about a failure
	source := &peer.Source{Direct: n.relayedStore(watch.direct), ShortWait: n.relayedStore(watch.watcher), Directory: n.Directory, Wait: followerWatchWait}
	return object.Follower{
		Reader: source, Prefix: prefix, Now: n.clock, MinCallInterval: watch.minInterval, RetrySignal: n.health.Restored,
		ListAfterFailure: watch.listAfterFailure,
		OnFailure: func(err error, took time.Duration) {
			mirror.MarkUnreachable()
			if now := n.clock(); now-loggedAt >= failureLogInterval {
				loggedAt = now
				n.Log.Emit(event.WatchFailed, "entry", prefix, "ms", took.Milliseconds(), "age", n.policyAge().String(), "err", err.Error())
			}
		},
		Handle: func(change object.Change) {
			n.recordView(change.AsOf)
			handle(change)
			mirror.ApplyChange(change, source.Level())
			if source.Level() > peer.LevelStore {
				n.health.ExpectReachable()
			}
		},
	}
}

// readAtStart reads a prefix from the store once, before the host knows which hosts it follows,
// so that it is ready as soon as it runs. After a power failure of a whole site the hosts that
// it follows have no data either.
func (n *Node) readAtStart(ctx context.Context, prefix string, handle func(object.Change)) {
	ctx, cancel := context.WithTimeout(ctx, startReadTimeout)
	defer cancel()
	asOf := n.clock()
	batch, err := n.directStore(directWatchWait).List(ctx, prefix)
	if err != nil {
		n.Log.Emit(event.WatchFailed, "entry", prefix, "ms", (n.clock() - asOf).Milliseconds(), "err", err.Error())
		return // the follower goes on
	}
	n.recordView(asOf)
	handle(object.Change{Batch: batch, Complete: true, AsOf: asOf})
}

// watchTimes holds the times of the watches of a prefix. direct is how long a watch at the
// store waits on a host without followers, watcher how long it waits on a host with
// followers, and minInterval the minimum time between two calls.
type watchTimes struct {
	direct, watcher, minInterval time.Duration
	listAfterFailure             bool // see object.Follower
	readAtStart                  bool // see Node.readAtStart
}

// relayedStore returns the store with a given wait of its watches. Calls go through another
// host while this one can't reach the store. They are counted where they reach the store.
func (n *Node) relayedStore(wait time.Duration) object.Store {
	return &peer.Relay{Direct: n.directStore(wait), Directory: n.Directory, Wait: wait, Health: &n.health}
}

// directStore returns the store without a relay, with calls counted and outages logged.
func (n *Node) directStore(wait time.Duration) object.Store {
	return &object.Monitor{Store: n.Platform.Watcher(wait), Log: n.Log, Vars: n.Meter, Outage: &n.outage}
}
