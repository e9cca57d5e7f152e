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
	// spreadTimeout bounds a report to one host; a crash is known to matter after
	// three, so that one may be missed.
	spreadTimeout = 500 * time.Millisecond
	// spreadAtOnce bounds the reports under way, so that a crash costs the same
	// number of connections at any size of the site.
	spreadAtOnce = 16
	// askReports is the number of hosts that one which starts asks for what they
	// know, and askAgain its pace until one answers.
	askReports = 3
	askAgain   = 200 * time.Millisecond
)

// suspects implements forward.Suspects together with the other hosts: callers
// repeat a request at any of them.
type suspects struct {
	*Node
}

// Admit implements forward.Suspects.
func (s suspects) Admit(fp poison.Fingerprint) *poison.ConvictedError {
	return s.breaks.Admit(time.Now(), fp)
}

// RecordBroken implements forward.Suspects.
func (s suspects) RecordBroken(fp poison.Fingerprint, server poison.Server) {
	report := s.breaks.Record(time.Now(), fp, server)
	go s.spread(report)
}

// RecordResponse implements forward.Suspects.
func (s suspects) RecordResponse(fp poison.Fingerprint) {
	if s.breaks.Clear(fp) {
		go s.spread(poison.Report{Request: fp})
	}
}

// spread tells all other hosts of a request and takes in what they know.
func (s suspects) spread(report poison.Report) {
	var group errgroup.Group
	group.SetLimit(spreadAtOnce)
	for _, host := range s.others() {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), spreadTimeout)
			defer cancel()
			reply, err := peer.Call[poison.Report](ctx, s.Directory, host, "breaks", report)
			if err == nil && len(reply.Breaks) > 0 {
				s.takeReport(ctx, reply)
			}
			return nil // a host that does not answer hears of the next crash
		})
	}
	_ = group.Wait() // no call returns an error
}

// learnSuspects asks other hosts for what they know, until one answers or there is
// none.
func (n *Node) learnSuspects(ctx context.Context) {
	n.awaitPlace(ctx)
	for ctx.Err() == nil {
		others := n.others()
		rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		learned := len(others) == 0
		for _, host := range others[:min(askReports, len(others))] {
			asking, cancel := context.WithTimeout(ctx, spreadTimeout)
			reply, err := peer.Call[poison.Reports](asking, n.Directory, host, "suspects", empty{})
			cancel()
			learned = learned || err == nil
			for _, report := range reply.List {
				n.takeReport(ctx, report)
			}
		}
		if learned {
			return
		}
		pause(ctx, askAgain)
	}
}

// takeReport takes in what another host tells of a request.
func (n *Node) takeReport(_ context.Context, report poison.Report) poison.Report {
	if report.Check() != nil {
		return poison.Report{}
	}
	return n.breaks.Merge(time.Now(), report)
}
