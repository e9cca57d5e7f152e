package forward

import (
	"context"
	"slices"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/entry/attempt"
	"github.com/hyssopwall/hyssopwall/internal/entry/poison"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// maxSendDelay bounds the time between computing the time left of a request and
// sending it, which may include opening a connection. If it takes longer, the
// server would be told of more time than there is.
const maxSendDelay = 450 * time.Millisecond

// minTimeLeft is the least time left that is sent to a server: zero would mean no
// limit.
const minTimeLeft = time.Millisecond

// maxQueued is the number of requests that may wait at a plain service's server
// beyond its slots. With more, their wait would exceed the latency target.
const maxQueued = 6

// hedgeTimer returns the channel of a timer that fires when the only attempt in
// flight takes longer than most responses do, and a function that stops it. The
// channel is nil when no second attempt may start.
func (r *run) hedgeTimer() (<-chan time.Time, func()) {
	if len(r.state.InFlight) != 1 || !r.state.CanSend() {
		return nil, func() {}
	}
	after, known := r.delay.After()
	if !known {
		after = r.route.LatencyTarget
	}
	timer := time.NewTimer(max(after, minHedgeDelay))
	return timer.C, func() { timer.Stop() }
}

// maySendExtra reports whether a retry or hedge is allowed: by the budget, or because a
// server uses less than half of its slots, so that it takes no capacity from other
// requests. In the first case it has taken one send from the budget, also if none follows.
func (r *run) maySendExtra() bool {
	return r.budget.Take(time.Now()) || r.Pool.HasIdle(time.Now(), r.need())
}

// need returns the request's requirements on its server.
func (r *run) need() pool.Need {
	return pool.Need{Service: r.service, QueueAllowance: maxQueued, Avoid: r.avoid, Regions: r.request.Regions}
}

// send waits for free capacity on a server, until maxWaitShare of the latency target
// has passed since the request started, and starts an attempt there. Without a latency
// target it waits for the time left. It returns a *RefusedError or the error of an
// ended context if it starts none.
func (r *run) send(ctx context.Context) error {
	maxWait := time.Duration(maxWaitShare * float64(r.route.LatencyTarget))
	if maxWait <= 0 {
		maxWait = r.timeLeft()
	}
	timer := time.NewTimer(max(0, maxWait-time.Since(r.started)))
	defer timer.Stop()
	for {
		if convicted := r.convicted(); convicted != nil {
			return r.refuseConvicted(convicted)
		}
		if r.isOver() {
			return context.DeadlineExceeded
		}
		changed := r.Pool.Changed()
		if choice, ok := r.Pool.Pick(time.Now(), r.need()); ok {
			if convicted := r.startAttempt(ctx, choice); convicted != nil {
				return r.refuseConvicted(convicted)
			}
			return nil
		}
		if len(r.avoid) > 0 {
			r.avoid = nil // every other server is full or unreachable
			continue
		}
		if left, closed := r.Pool.Closed(time.Now(), r.need()); closed {
			return &RefusedError{Reason: "all servers of " + r.service + " are warming up or evacuated", RetryAfter: min(max(left, retryAfterFull), retryAfterNoServer)}
		}
		if r.Pool.UsableCount(r.need()) == 0 {
			return &RefusedError{Reason: "no server of " + r.service, RetryAfter: retryAfterNoServer}
		}
		select {
		case <-changed:
		case <-timer.C:
			return &RefusedError{Reason: "all servers of " + r.service + " are full", RetryAfter: retryAfterFull}
		case <-ctx.Done():
			return ctx.Err()
		case <-r.Ending:
			return errEnding
		}
	}
}

// convicted returns an error if the request may not be sent because it crashes
// servers.
func (r *run) convicted() *poison.ConvictedError {
	if !r.suspectable() {
		return nil
	}
	return r.Suspects.Check(r.fingerprint)
}

// refuseConvicted logs and returns the refusal of a convicted request.
func (r *run) refuseConvicted(convicted *poison.ConvictedError) error {
	r.Log.Emit(event.PoisonConvicted, "request", r.request.ID, "route", r.route.Name,
		"workspace", r.request.Workspace, "sends", len(r.sentTo), "ms", convicted.RetryAfter.Milliseconds())
	return &RefusedError{Reason: convicted.Error(), RetryAfter: convicted.RetryAfter}
}

// isOver reports whether it is too late for another send. The context's timer is
// not enough: after the process has stalled, several timers are due at once and
// may fire in any order.
func (r *run) isOver() bool { return r.timeLeft() < responseMargin }

// timeLeft returns the request's remaining time, by a clock that advances while the
// process or its machine is suspended.
func (r *run) timeLeft() time.Duration { return r.deadline - r.now() }

// hedge starts a second attempt if another server has free capacity now, time is left
// and the request is not convicted.
func (r *run) hedge(ctx context.Context) {
	if r.convicted() != nil || r.isOver() {
		return
	}
	if choice, ok := r.Pool.Pick(time.Now(), r.need()); ok {
		_ = r.startAttempt(ctx, choice) // a convicted request gets no hedge
	}
}

// startAttempt sends the request to the chosen server in a goroutine of its own,
// which puts the outcome into results. It returns an error, and sends nothing, if the request
// is convicted.
func (r *run) startAttempt(ctx context.Context, choice *pool.Choice) *poison.ConvictedError {
	endSuspicion := func() {}
	if r.suspectable() {
		if convicted := r.Suspects.Admit(r.fingerprint); convicted != nil {
			choice.Release()
			return convicted
		}
		endSuspicion = r.Suspects.Begin(r.fingerprint, poison.Server{Name: choice.Server.Name, Boot: choice.Server.Boot})
	}
	newConnection := !r.state.Idempotent && slices.Contains(r.sentTo, choice.Server.Name)
	r.sentTo = append(r.sentTo, choice.Server.Name)
	attemptID := len(r.sentTo)
	r.avoid = append(slices.Clone(r.avoid), choice.Server.Name)
	r.apply(attempt.Event{Kind: attempt.EventSend, AttemptID: attemptID})
	ctx, cancel := context.WithCancel(ctx)
	r.cancels[attemptID] = cancel
	request := r.request
	request.NewConnection = newConnection
	timeLeft := r.timeLeft()
	request.TimeLeft = max(timeLeft, minTimeLeft)
	request.BeforeSend = func() error {
		if elapsed := timeLeft - r.timeLeft(); elapsed > maxSendDelay {
			return &DelayedError{By: elapsed}
		}
		return choice.Check()
	}
	sentAt := time.Now()
	watched := r.watchZone(choice.Server, attemptID)
	go func() {
		response, err := r.Sender.Send(ctx, choice.Server, request)
		r.endWatch(watched, choice.Server, err)
		if err == nil {
			choice.KeepConnection()
		}
		choice.Release()
		endSuspicion()
		ended := result{attemptID, choice, response, err, sentAt, time.Since(sentAt)}
		r.updateSuspects(ended) // also if the request has ended before
		r.results <- ended
	}()
	return nil
}
