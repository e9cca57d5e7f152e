package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/entry/callers"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/rollout/batch"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// Run serves until the context ends, and then shuts down gracefully. It returns an error if
// an address can't be listened at.
func (n *Node) Run(ctx context.Context, entry http.Handler) error {
	defer close(n.done)
	n.dutyLost.Store(int64(n.clock()))
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group sync.WaitGroup
	for _, loop := range n.loops(workCtx) {
		group.Go(loop)
	}
	front := n.serve(listeners, entry)
	n.Log.Emit(event.HostStarted, "zone", n.Settings.Zone, "listen", n.Settings.Listen,
		"internal", n.Settings.Internal, "incarnation", n.Incarnation)
	<-ctx.Done()
	n.shutDown(workCtx, front)
	stop()
	group.Wait()
	n.Log.Emit(event.HostStopped)
	return nil
}

// Done returns a channel that is closed when Run has returned.
func (n *Node) Done() <-chan struct{} { return n.done }

// loops returns the background loops of the host, each to run in its own goroutine.
func (n *Node) loops(ctx context.Context) []func() {
	keys := n.Platform.Keys
	follow := func(watch watchTimes, prefix string, handle func(object.Change)) func() {
		return func() {
			if watch.readAtStart && !n.Settings.Bootstrap {
				n.readAtStart(ctx, prefix, handle)
			}
			n.awaitHosts(ctx)
			n.mirroredFollower(watch, prefix, handle).Run(ctx)
		}
	}
	loops := []func(){
		func() { n.followHosts(ctx) },
		follow(watchTimes{direct: policyWatchWait, watcher: policyWatchWait, listAfterFailure: true, readAtStart: true}, keys.PolicyKind, n.applyPolicyChange),
		follow(watchTimes{direct: directWatchWait, watcher: serversWatcherWait, minInterval: minWatchInterval, readAtStart: true}, keys.Servers, n.applyServersChange),
		follow(watchTimes{direct: directWatchWait, watcher: batchesWatcherWait, minInterval: minWatchInterval}, batch.RecordPrefix, n.Batches.ApplyChange),
		func() { n.Directory.KeepRegistered(ctx, n.store) },
		func() { n.pruner().Run(ctx) },
		func() { n.Batches.RemoveExpired(ctx, n.holdsDuty) },
		func() { runEvery(ctx, forgetInterval, n.forgetExpired) },
		func() { n.Batches.Run(ctx) },
		func() { n.holder.Run(ctx) },
		func() { n.reporter.Run(ctx) },
		func() { n.coordinator.Run(ctx) },
		func() { n.trackDuty(ctx) },
		func() {
			if n.Settings.ToleratedZones > 0 {
				runEvery(ctx, otherZoneProbeInterval, func() { n.probeOtherZones(ctx) })
			}
		},
		func() { runEvery(ctx, holderProbeInterval, func() { n.probeHolder(ctx) }) },
		func() { n.followWhileHolder(ctx, keys.Releases, n.applyReleasesChange) },
		func() { n.followWhileHolder(ctx, keys.Retirements, n.retirementsHandler(ctx)) },
		func() { n.watchStaleness(ctx) },
		func() { n.fetchSuspects(ctx) },
		func() { runEvery(ctx, silenceCheckInterval, n.checkSilentSends) },
		func() { n.watchZones(ctx) },
		func() { runEvery(ctx, callers.ExpiryInterval, n.Intake.Expire) },
	}
	if n.Settings.EvacuationLimit > 0 {
		loops = append(loops,
			follow(watchTimes{direct: evacuationsWatchWait, watcher: evacuationsWatchWait, readAtStart: true}, keys.Evacuations, n.applyEvacuationsChange),
			func() { n.endEvacuationsWait(ctx) })
	}
	return loops
}

// awaitHosts waits until the list of hosts is known or hostListTimeout has passed.
func (n *Node) awaitHosts(ctx context.Context) {
	wait := hostListTimeout
	if n.Settings.Bootstrap {
		wait += bootstrapDelay
	}
	select {
	case <-ctx.Done():
	case <-n.hostsListed:
	case <-time.After(wait):
	}
}

// sleep waits for a time or until the context ends.
func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// listeners are the sockets for callers, the readiness check, other hosts and metrics.
type listeners struct {
	front, ready, internal, metrics net.Listener
}

// listen opens all sockets of the host.
func (n *Node) listen() (listeners, error) {
	var (
		l   listeners
		err error
	)
	if l.front, err = n.Intake.Listen(n.Settings.Listen); err != nil {
		return l, err
	}
	for _, listener := range []struct {
		to      *net.Listener
		address string
	}{{&l.ready, n.Settings.Ready}, {&l.internal, n.Settings.Internal}, {&l.metrics, n.Settings.Metrics}} {
		if *listener.to, err = net.Listen("tcp", listener.address); err != nil {
			return l, err
		}
	}
	return l, nil
}
