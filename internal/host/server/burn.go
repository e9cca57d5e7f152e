package server

import (
	"time"

	"github.com/hyssopwall/hyssopwall/internal/billing/burn"
	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
	"github.com/hyssopwall/hyssopwall/internal/host/dispatch"
	"github.com/hyssopwall/hyssopwall/internal/host/steps"
	"github.com/hyssopwall/hyssopwall/internal/site/document"
)

// recordRequest counts a request that has ended towards the objectives for success
// and latency.
func (s *Server) recordRequest(result dispatch.Result) {
	e := burn.Event{Workspace: result.Workspace, Route: result.Route, Bad: 1}
	if result.Good {
		e.Good, e.Bad, e.Elapsed = 1, 0, max(result.Elapsed, 1) // 0 would mean that it has no duration
	}
	now := time.Now()
	for _, measure := range []document.Measure{document.Success, document.Latency} {
		e.Measure = measure
		s.burn.Observe(now, e)
	}
}

// recordStep counts the samples that were delivered to a trainer by freshness, and a
// completely delivered step by its duration. A step whose opening time is no longer
// known counts as late.
func (s *Server) recordStep(outcome steps.Delivery) {
	now := time.Now()
	s.burn.Observe(now, burn.Event{
		Workspace: outcome.Workspace, Measure: document.Fresh, Good: outcome.Fresh, Bad: outcome.Stale,
	})
	if !outcome.AllDelivered {
		return
	}
	e := burn.Event{Workspace: outcome.Workspace, Measure: document.Step, Good: 1, Elapsed: outcome.Elapsed}
	if outcome.Elapsed == 0 {
		e.Good, e.Bad = 0, 1
	}
	s.burn.Observe(now, e)
}

// burnSnapshot returns the encoded counts of this host for all objectives.
func (s *Server) burnSnapshot() ([]byte, error) {
	return wire.Encode(s.burn.Snapshot(time.Now(), s.config.Settings.Host, s.spread.Version()))
}
