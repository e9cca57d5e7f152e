package server

import (
	"expvar"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/host/dispatch"
)

// publish makes the counters of the host readable by expvar. Every host of a
// process has its own map, so that several can run in one.
func (s *Server) publish() {
	s.vars.Init()
	s.requests.Init()
	s.vars.Set("requests", &s.requests)
	for name, value := range map[string]func() any{
		"version": func() any { return s.spread.Version() },
		"running": func() any { return s.home.Running() },
		"steps":   func() any { return s.steps.OwnedCount() },
		"thin":    func() any { return s.metering.Thin() },
		"hosts":   func() any { return len(s.peers.all()) },
		"traffic": func() any { return s.endpoint.Traffic() },
		"duties":  func() any { return s.heldDuties() },
		"burn":    func() any { return s.burn.Report(time.Now(), s.config.Settings.Host).WithoutPoints() },
		"started": func() any { return time.Unix(0, int64(s.incarnation)).UTC() },
	} {
		s.vars.Set(name, expvar.Func(value))
	}
}

// observe counts a request that has ended.
func (s *Server) observe(result dispatch.Result) {
	outcome := "/failed"
	if result.Good {
		outcome = "/good"
	}
	s.requests.Add(result.Workspace+"/"+result.Route+outcome, 1)
	s.countRequest(result)
}
