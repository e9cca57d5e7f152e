package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/entry/forward"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
	"github.com/hyssopwall/hyssopwall/internal/site/policy"
)

// A planned stop:
//
//  1. The host reports that it isn't ready, and hands its batches and its duty over.
//  2. For admitAllPeriod it takes every request: its callers can't know of the stop yet.
//  3. After that it takes only requests whose deadline or timeout is before the end of its
//     work. It refuses the others at once, and they run at another host.
//  4. After drainDelay it closes its listener and its idle connections.
//  5. When its work ends, requests in flight get their final response.

// workTime returns how long after the start of a planned stop the host works on requests.
func (n *Node) workTime() time.Duration { return n.Settings.ShutdownGrace - n.shutdownMargin() }

// shutdownMargin returns the time that is left for the last responses and the exit of the
// process when the host ends its work.
func (n *Node) shutdownMargin() time.Duration {
	return min(maxShutdownMargin, time.Duration(shutdownMarginShare*float64(n.Settings.ShutdownGrace)))
}

// shutDown stops the host and returns when the process may exit.
func (n *Node) shutDown(ctx context.Context, front *http.Server) {
	n.drainingSince.Store(int64(n.clock()))
	n.draining.Store(true)
	n.Log.Emit(event.HostDraining)
	workCtx, cancel := context.WithTimeout(ctx, n.workTime())
	defer cancel()
	var handOver sync.WaitGroup
	handOver.Go(func() { n.Batches.Drain(workCtx) })
	handOver.Go(func() { _ = n.holder.Release(workCtx) }) // if it fails, a successor takes over once the lease has expired
	sleep(workCtx, drainDelay)

	stopEnd := context.AfterFunc(workCtx, n.end)
	defer stopEnd()
	lastResponses := time.Duration(lastResponsesShare * float64(n.shutdownMargin()))
	frontCtx, cancelFront := context.WithTimeout(ctx, n.workLeft()+lastResponses)
	defer cancelFront()
	if err := front.Shutdown(frontCtx); err != nil {
		n.Log.Emit(event.RequestsCut, "err", err.Error())
	}
	handOver.Wait()
	unregisterCtx, cancelUnregister := context.WithTimeout(ctx, unregisterTimeout)
	defer cancelUnregister()
	n.Directory.Unregister(unregisterCtx, n.store) // a host that starts again registers again
}

// unregisterTimeout bounds the last call to the store of a planned stop. It is a part of the time that is
// left for the exit of the process.
const unregisterTimeout = 150 * time.Millisecond

// workLeft returns the time until a stopping host ends its work, at least zero.
func (n *Node) workLeft() time.Duration {
	return max(0, time.Duration(n.drainingSince.Load())+n.workTime()-n.clock())
}

// Forward forwards a request of a route to a backend server. Its errors are those of
// forward.Forwarder.Do. A stopping host refuses a request that may not end in time (rule 3).
func (n *Node) Forward(ctx context.Context, route policy.Route, request forward.Request) (forward.Response, error) {
	if allowed := forward.TimeAllowed(route, request); n.mayOutliveWork(allowed) {
		n.Meter.Count("refused_total", "reason", StoppingHost)
		n.Log.Emit(event.RequestRefused, "request", request.ID, "reason", StoppingHost, "left", allowed.Milliseconds(), "after", retryAfterStopping.String())
		return forward.Response{}, &forward.RefusedError{Reason: StoppingHost, RetryAfter: retryAfterStopping}
	}
	if p := n.Policy(); p != nil {
		request.Regions = p.Regions(route, request.Workspace)
	}
	return n.Forwarder.Do(ctx, route, request)
}

// StoppingHost is the reason of a refusal by rule 3.
const StoppingHost = "the host stops before the request has to end"

// mayOutliveWork reports whether a request that may take the given time is to be refused by
// rule 3.
func (n *Node) mayOutliveWork(allowed time.Duration) bool {
	if !n.draining.Load() {
		return false
	}
	stopping := n.clock() - time.Duration(n.drainingSince.Load())
	return stopping >= admitAllPeriod && allowed > n.workLeft() || n.ending.Err() != nil
}

// UntilEnd returns a context that ends with ctx, and when the host ends its work (rule 5).
func (n *Node) UntilEnd(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(n.ending, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}
