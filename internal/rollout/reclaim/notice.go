package reclaim

import (
	"cmp"
	"slices"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/platform/supply"
)

// MayRun reports whether work may run on a class of backend server. Work that is not
// idempotent must not run on spot servers, which the platform may reclaim at any time.
func MayRun(class supply.Class, idempotent bool) bool {
	return idempotent || class != supply.Spot
}

// Notice announces that the platform reclaims a backend server at Until.
type Notice struct {
	Server string
	Zone   string
	Until  time.Time
}

// NoticeTracker finds new reclaim notices in successive lists of backend servers. The
// zero value is ready to use.
type NoticeTracker struct {
	seen map[string]bool // leaving servers in the latest list
}

// Update returns the notices of servers of any class that are leaving and were not in the
// previous list, ordered by server. The first call returns those of all leaving servers.
func (n *NoticeTracker) Update(servers []supply.Server) []Notice {
	seen := map[string]bool{}
	var added []Notice
	for _, server := range servers {
		if !server.Leaving {
			continue
		}
		seen[server.Name] = true
		if !n.seen[server.Name] {
			added = append(added, Notice{server.Name, server.Zone, server.NoticeEnd})
		}
	}
	n.seen = seen
	slices.SortFunc(added, func(a, b Notice) int { return cmp.Compare(a.Server, b.Server) })
	return added
}

// Stream is a generation that runs on a reclaimed server.
type Stream struct {
	ID         string
	Tokens     int           // generated so far
	Remaining  time.Duration // expected time to completion
	Idempotent bool          // may run again elsewhere
}

// Disposition is the decision about a stream on a reclaimed server.
type Disposition string

// The dispositions of a stream.
const (
	Finish  Disposition = "finish"  // it continues on the server
	Export  Disposition = "export"  // it moves to another server with its tokens
	Restart Disposition = "restart" // it starts again on another server without its tokens
)

// Action is the disposition of one stream.
type Action struct {
	ID          string
	Disposition Disposition
}

// StreamPlanner decides the dispositions of the streams on a reclaimed server. Zero fields
// take the defaults.
type StreamPlanner struct {
	Margin             time.Duration // kept free before the server is reclaimed
	ExportTime         time.Duration // to export a stream, in addition to its tokens
	ExportTimePerToken time.Duration // to export the cache of one token
	MaxExports         int           // exports from one server at the same time
}

// Defaults of a StreamPlanner; DefaultNoticeMargin is that of Margin.
const (
	DefaultNoticeMargin       = 500 * time.Millisecond
	DefaultExportTime         = 300 * time.Millisecond
	DefaultExportTimePerToken = 20 * time.Microsecond
	DefaultMaxExports         = 4
)

// Plan returns the disposition of each stream on a server that is reclaimed at until, in
// the order of their tokens, most first. A stream that completes in time finishes. The
// others are exported in that order, as long as they have tokens and the exports complete
// in time; the remaining ones restart on another server at once. A stream that is not
// idempotent is always left to finish.
func (p StreamPlanner) Plan(now, until time.Time, streams []Stream) []Action {
	left := until.Sub(now) - cmp.Or(p.Margin, DefaultNoticeMargin)
	ordered := slices.Clone(streams)
	slices.SortStableFunc(ordered, func(a, b Stream) int {
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.ID, b.ID))
	})
	lanes := make([]time.Duration, cmp.Or(p.MaxExports, DefaultMaxExports))
	actions := make([]Action, 0, len(streams))
	for _, s := range ordered {
		actions = append(actions, Action{s.ID, p.disposition(s, left, lanes)})
	}
	return actions
}

// disposition returns the disposition of one stream. Lanes holds the total time of the
// exports planned on each of the parallel export lanes.
func (p StreamPlanner) disposition(s Stream, left time.Duration, lanes []time.Duration) Disposition {
	if !s.Idempotent || s.Remaining <= left {
		return Finish
	}
	lane := slices.Index(lanes, slices.Min(lanes))
	exportTime := cmp.Or(p.ExportTime, DefaultExportTime) + time.Duration(s.Tokens)*cmp.Or(p.ExportTimePerToken, DefaultExportTimePerToken)
	if s.Tokens == 0 || lanes[lane]+exportTime > left {
		return Restart
	}
	lanes[lane] += exportTime
	return Export
}
