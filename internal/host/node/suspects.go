package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/entry/poison"
	"github.com/hyssopwall/hyssopwall/internal/fleet/peer"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

const (
	// reportTimeout bounds a report to one host. A request is refused after three crashes,
	// so a single lost report does little harm.
	reportTimeout = 500 * time.Millisecond
	// maxParallelReports limits the reports in flight, so that the number of connections
	// that a crash takes does not grow with the site.
	maxParallelReports = 16
	// maxSuspectSources is how many hosts a starting host asks for their reports in one
	// round, and suspectRetryInterval the pause between rounds until one host responds.
	maxSuspectSources    = 3
	suspectRetryInterval = 200 * time.Millisecond
	// healthCheckTimeout is how long a health check waits for the answer of a server.
	healthCheckTimeout = time.Second
	// silenceCheckInterval is how often the sends in flight are checked.
	silenceCheckInterval = 500 * time.Millisecond
	// restartNotice is the time within which the list of servers shows that a server has
	// restarted, after its next process has answered a health check.
	restartNotice = time.Second
)

// suspects implements forward.Suspects: it counts the crashes of servers by request. It
// shares its reports with all other hosts, since a caller may repeat a request at any of
// them.
type suspects struct {
	*Node
}

// Check implements forward.Suspects.
func (s suspects) Check(fp poison.Fingerprint) *poison.ConvictedError {
	return s.crashes.Check(time.Now(), fp)
}

// Admit implements forward.Suspects.
func (s suspects) Admit(fp poison.Fingerprint) *poison.ConvictedError {
	trial, refused := s.crashes.Admit(time.Now(), fp)
	if trial != nil {
		go s.broadcast(*trial)
	}
	return refused
}

// Begin implements forward.Suspects.
func (s suspects) Begin(fp poison.Fingerprint, server poison.Server) (end func()) {
	return s.crashes.Begin(time.Now(), fp, server)
}

// RecordSilent implements forward.Suspects. A server that answers a health check is only slow,
// unless it has just restarted.
func (s suspects) RecordSilent(fp poison.Fingerprint, choice *pool.Choice, began time.Time) {
	go func() {
		if s.hasCrashed(choice.Server) {
			choice.RecordFailure(time.Now())
			s.RecordBroken(fp, poison.Server{Name: choice.Server.Name, Boot: choice.Server.Boot}, began)
		}
	}()
}

// checkSilentSends records the sends in flight that poison.CrashCounter.Silent returns and
// whose servers seem to have crashed.
func (n *Node) checkSilentSends() {
	for _, send := range n.crashes.Silent(time.Now()) {
		for _, server := range n.Pool.Servers() {
			if server.Name == send.Server.Name && server.Boot == send.Server.Boot {
				go func() {
					if n.hasCrashed(server) {
						suspects{n}.RecordBroken(send.Request, send.Server, send.Began)
					}
				}()
			}
		}
	}
}

// hasCrashed reports whether a server answers no health check, or restarts. It takes up to
// healthCheckTimeout or restartNotice. A server in an evacuated zone gets no health check and
// counts as running.
func (n *Node) hasCrashed(server pool.Server) bool {
	if n.Pool.IsEvacuated(server.Zone) {
		return false
	}
	if n.answersHealthCheck(server) {
		time.Sleep(restartNotice)
		if n.isRunning(poison.Server{Name: server.Name, Boot: server.Boot}) {
			return false
		}
	}
	n.Log.Emit(event.ServerSilent, "server", server.Name, "service", server.Service, "boot", server.Boot)
	return true
}

// answersHealthCheck reports whether a server answers a health check over a new connection,
// whatever its answer is. Concurrent calls for the same start of a server share one check.
func (n *Node) answersHealthCheck(server pool.Server) bool {
	_, err, _ := n.healthChecks.Do(fmt.Sprintf("%s/%d", server.Name, server.Boot), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), healthCheckTimeout)
		defer cancel()
		return nil, n.Platform.CheckHealth(ctx, server, n.healthPath(server.Service))
	})
	return err == nil
}

// healthPath returns the path of a service's health check, "/" if none is configured.
func (n *Node) healthPath(service string) string {
	if p := n.Policy(); p != nil {
		for _, s := range p.Services {
			if s.Name == service && s.HealthPath != "" {
				return s.HealthPath
			}
		}
	}
	return "/"
}

// isRunning reports whether a start of a server still runs, as far as this host can tell. One
// that has announced that it leaves counts as running: it doesn't crash.
func (n *Node) isRunning(s poison.Server) bool {
	return n.Pool.IsListed(s.Name, s.Boot) || n.Pool.HasAnnouncedLeaving(s.Name, s.Boot)
}

// recordGoneServers counts the requests in flight at servers that are gone or have restarted.
func (n *Node) recordGoneServers() {
	for _, report := range n.crashes.RecordGone(time.Now()) {
		go suspects{n}.broadcast(report)
	}
}

// RecordBroken implements forward.Suspects.
func (s suspects) RecordBroken(fp poison.Fingerprint, server poison.Server, began time.Time) {
	report := s.crashes.Record(time.Now(), fp, server, began)
	go s.broadcast(report)
}

// RecordResponse implements forward.Suspects. A report without broken sends makes the other
// hosts forget the request too.
func (s suspects) RecordResponse(fp poison.Fingerprint) {
	if s.crashes.Clear(fp) {
		go s.broadcast(poison.Report{Request: fp})
	}
}

// broadcast sends a report to all other hosts and merges the reports that they return.
func (s suspects) broadcast(report poison.Report) {
	var group errgroup.Group
	group.SetLimit(maxParallelReports)
	for _, host := range s.otherHosts() {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
			defer cancel()
			reply, err := peer.Call[poison.Report](ctx, s.Directory, host, "breaks", report)
			if err == nil && len(reply.Breaks) > 0 {
				s.mergeReport(ctx, reply)
			}
			return nil // a host that did not respond gets the report of the next crash
		})
	}
	_ = group.Wait() // no call returns an error
}

// fetchSuspects asks other hosts for their reports, until one responds or there is no other
// host.
func (n *Node) fetchSuspects(ctx context.Context) {
	n.awaitHosts(ctx)
	for ctx.Err() == nil {
		hosts := n.otherHosts()
		rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
		done := len(hosts) == 0
		for _, host := range hosts[:min(maxSuspectSources, len(hosts))] {
			callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
			reply, err := peer.Call[poison.Reports](callCtx, n.Directory, host, "suspects", empty{})
			cancel()
			done = done || err == nil
			for _, report := range reply.List {
				n.mergeReport(ctx, report)
			}
		}
		if done {
			return
		}
		sleep(ctx, suspectRetryInterval)
	}
}

// mergeReport merges a report of another host and returns this host's report of the same
// request. An invalid report is ignored.
func (n *Node) mergeReport(_ context.Context, report poison.Report) poison.Report {
	if report.Check() != nil {
		return poison.Report{}
	}
	return n.crashes.Merge(time.Now(), report)
}
