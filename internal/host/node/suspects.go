package node

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hyssopwall/hyssopwall/internal/entry/poison"
	"github.com/hyssopwall/hyssopwall/internal/fleet/peer"
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
)

// suspects implements forward.Suspects: it counts the crashes of servers by request. It
// shares its reports with all other hosts, since a caller may repeat a request at any of
// them.
type suspects struct {
	*Node
}

// Admit implements forward.Suspects.
func (s suspects) Admit(fp poison.Fingerprint) *poison.ConvictedError {
	return s.crashes.Admit(time.Now(), fp)
}

// RecordBroken implements forward.Suspects.
func (s suspects) RecordBroken(fp poison.Fingerprint, server poison.Server) {
	report := s.crashes.Record(time.Now(), fp, server)
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
