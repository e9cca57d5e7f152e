package server

import (
	"time"

	"github.com/hyssopwall/hyssopwall/internal/billing/burn"
	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
	"github.com/hyssopwall/hyssopwall/internal/host/dispatch"
	"github.com/hyssopwall/hyssopwall/internal/host/steps"
	"github.com/hyssopwall/hyssopwall/internal/site/document"
)

// countRequest counts a request that has ended against the objectives of
// success and latency.
func (s *Server) countRequest(result dispatch.Result) {
	e := burn.Event{Workspace: result.Workspace, Route: result.Route, Bad: 1}
	if result.Good {
		e.Good, e.Bad, e.Elapsed = 1, 0, max(result.Elapsed, 1)
	}
	now := time.Now()
	for _, measure := range []document.Measure{document.Success, document.Latency} {
		e.Measure = measure
		s.burn.Observe(now, e)
	}
}

// observeStep counts what a trainer was handed. A whole step whose opening
// time is not known any more counts as late.
func (s *Server) observeStep(outcome steps.Delivery) {
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

// burnSnapshot encodes what this host has counted.
func (s *Server) burnSnapshot() ([]byte, error) {
	return wire.Encode(s.burn.Snapshot(time.Now(), s.config.Settings.Host, s.spread.Version()))
}
