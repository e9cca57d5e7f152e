// Package pace decides how many requests a host may have in flight at a server that has just
// started or that recovers from a failure. It addresses the load on one server in the first
// seconds: without a limit all hosts send to the server with the least load at once, and with
// a fixed one it stays idle while others are full. A server that has proved itself by its
// answers is treated like any other.
package pace

import "time"

// Sizes and times of a window.
const (
	startSize   = 2    // requests in flight at a server that has started
	recoverSize = 1    // at a server that has failed: a single trial
	shrink      = 0.75 // factor after a refusal or a delay
	// firstHosts is the number of hosts that send to a server when it is first listed. It
	// doubles every rampStep, so that 73 hosts don't each open their own window at once.
	firstHosts = 4
	rampStep   = 500 * time.Millisecond
	// RampSteps is the number of steps after which all hosts of the largest site, 390 by
	// design, may send.
	RampSteps = 7
	// minDelay and delayFactor say which answers are delays: those that took longer than
	// both minDelay and delayFactor times the fastest answer within the window. Plain requests
	// of tens of milliseconds and the first events of generations wait for a second only in a
	// queue.
	minDelay    = time.Second
	delayFactor = 4
	// maxLife bounds the life of a window from its start or the latest refusal or failure, so
	// that a host with few requests doesn't keep it.
	maxLife = 15 * time.Second
)

// Window limits the requests in flight of one host at one server. The zero value has no limit.
type Window struct {
	size    float64 // zero if there is no limit
	since   time.Time
	listed  time.Time     // when the server was first listed; zero for a server that recovers
	fastest time.Duration // shortest time of an answer
}

// Started returns the window for a server that is first listed, or listed with a new start.
func Started(now time.Time) Window { return Window{size: startSize, since: now, listed: now} }

// Fail reduces the window to a single trial, or opens such a window.
func (w *Window) Fail(now time.Time) { w.size, w.since = recoverSize, now }

// Refuse shrinks the window, if there is one.
func (w *Window) Refuse(now time.Time) {
	if w.IsOpen(now) {
		w.size, w.since = max(1, w.size*shrink), now
	}
}

// Answer grows the window by one, or shrinks it if the answer was delayed. It ends at limit,
// the server's slots and queue allowance. Took is the time of the answer, zero if unknown.
func (w *Window) Answer(now time.Time, took time.Duration, limit int) {
	if !w.IsOpen(now) {
		return
	}
	if took > 0 && (w.fastest == 0 || took < w.fastest) {
		w.fastest = took
	}
	if took > max(minDelay, delayFactor*w.fastest) {
		w.size = max(1, w.size*shrink)
		return
	}
	w.size++
	if int(w.size) >= limit {
		*w = Window{}
	}
}

// IsOpen reports whether the window limits the requests.
func (w *Window) IsOpen(now time.Time) bool { return w.size > 0 && now.Sub(w.since) < maxLife }

// Allows reports whether another request may be sent. InFlight is the number of this host's
// requests at the server. Rank returns the position of this host, from 0, among the hosts that
// send to it.
func (w *Window) Allows(now time.Time, inFlight int, rank func() int) bool {
	if !w.IsOpen(now) {
		return true
	}
	if step := RampStep(now.Sub(w.listed)); !w.listed.IsZero() && step < RampSteps && rank() >= firstHosts<<step {
		return false
	}
	return inFlight < int(w.size)
}

// RampStep returns the number of steps that have passed since a server was listed. The time is
// negative if a request was chosen with a time from just before.
func RampStep(since time.Duration) int { return int(max(0, since) / rampStep) }

// RampTime returns the time from the listing of a server to a step.
func RampTime(step int) time.Duration { return time.Duration(step) * rampStep }
