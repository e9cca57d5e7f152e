package server

import (
	"context"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/entry/callers"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// refusalPeriod is how long nothing must have been refused for a new period of refusals to
// begin, which is logged.
const refusalPeriod = 10 * time.Second

// countRefusal counts a request that was refused or a connection that was closed to protect this
// host, and logs the first one of a period.
func (s *Server) countRefusal(reason string) {
	s.refused.Add(reason, 1)
	now := time.Now().UnixNano()
	if last := s.refusal.Swap(now); time.Duration(now-last) > refusalPeriod {
		s.config.Log.Emit(event.IntakeRefusing, "host", s.config.Settings.Host, "reason", reason)
	}
}

// expireConnections closes the connections of callers whose head or idle time is over, until ctx
// ends.
func (s *Server) expireConnections(ctx context.Context) {
	ticker := time.NewTicker(callers.ExpiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.callers.Expire()
		}
	}
}
