package forward

import (
	"errors"
	"slices"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/backend/silence"
	"github.com/hyssopwall/hyssopwall/internal/entry/attempt"
)

// IsAnswer reports whether the outcome of a send shows that its server answered. A refusal
// without a reported load may come from this host, before anything was sent.
func IsAnswer(err error) bool {
	if notRun, ok := errors.AsType[*NotRunError](err); ok {
		return notRun.Load != nil
	}
	broken, ok := errors.AsType[*BrokenError](err)
	return err == nil || ok && broken.Err == nil
}

// watchZone reports an attempt to Zones, which puts it into silenced when the zone of its
// server goes silent.
func (r *run) watchZone(server pool.Server, attemptID int) *silence.Stream {
	return r.Zones.Begin(server.Zone, server.Name, func() {
		select {
		case r.silenced <- attemptID:
		default: // another attempt has gone silent, and a request has at most one hedge in flight
		}
	})
}

// endWatch reports the outcome of an attempt to Zones.
func (r *run) endWatch(watched *silence.Stream, server pool.Server, err error) {
	watched.End()
	if IsAnswer(err) {
		r.Zones.Arrived(time.Now(), server.Zone)
	}
}

// hedgeSilent decides on a hedge of an attempt whose zone has gone silent. It takes nothing
// from the budget: a silence causes at most one such hedge for each request in flight, and
// the silent server is not expected to run it.
func (r *run) hedgeSilent(attemptID int) attempt.Decision {
	if !slices.ContainsFunc(r.state.InFlight, func(a attempt.Attempt) bool { return a.ID == attemptID }) {
		return attempt.Decision{}
	}
	r.Meter.Count("zone_hedges_total", "route", r.route.Name)
	return r.apply(attempt.Event{Kind: attempt.EventSlow, BudgetAllows: true})
}
