package server

import (
	"expvar"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/host/dispatch"
)

// publish fills the expvar map of the host. Each host has its own map rather than the
// global one, so that several hosts can run in one process.
func (s *Server) publish() {
	s.vars.Init()
	s.requests.Init()
	s.refused.Init()
	s.vars.Set("requests", &s.requests)
	s.vars.Set("refused", &s.refused)
	for name, value := range map[string]func() any{
		"version":     func() any { return s.spread.Version() },
		"running":     func() any { return s.home.Running() },
		"steps":       func() any { return s.steps.OwnedCount() },
		"thin":        func() any { return s.metering.UnderReplicated() },
		"hosts":       func() any { return len(s.peers.liveMembers()) },
		"traffic":     func() any { return s.endpoint.Traffic() },
		"duties":      func() any { return s.heldDuties() },
		"connections": func() any { return s.callers.Connections.Count() },
		"bodies":      func() any { return s.callers.Bodies.Used() },
		"burn":        func() any { return s.burn.Report(time.Now(), s.config.Settings.Host).WithoutPoints() },
		"started":     func() any { return time.Unix(0, int64(s.incarnation)).UTC() },
	} {
		s.vars.Set(name, expvar.Func(value))
	}
}

// observeRequest counts a request that has ended in the counters and the objectives.
func (s *Server) observeRequest(result dispatch.Result) {
	outcome := "/failed"
	if result.Good {
		outcome = "/good"
	}
	s.requests.Add(result.Workspace+"/"+result.Route+outcome, 1)
	s.recordRequest(result)
}
