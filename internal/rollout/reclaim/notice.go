package reclaim

import (
	"cmp"
	"slices"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/platform/supply"
)

// MayRun reports whether work may be placed on a class of backend server. Work
// that may not be repeated never runs where it can be cut off on purpose.
func MayRun(class supply.Class, idempotent bool) bool {
	return idempotent || class != supply.Spot
}

// Notice says that a backend server is reclaimed at Until.
type Notice struct {
	Server string
	Zone   string
	Until  time.Time
}

// NoticeTracker finds the reclaims in successive lists of backend servers. The zero
// value is ready.
type NoticeTracker struct {
	seen map[string]bool
}

// Update returns the notices that are new in the list, ordered by server.
func (n *NoticeTracker) Update(servers []supply.Server) []Notice {
	seen := map[string]bool{}
	var fresh []Notice
	for _, server := range servers {
		if !server.Leaving {
			continue
		}
		seen[server.Name] = true
		if !n.seen[server.Name] {
			fresh = append(fresh, Notice{server.Name, server.Zone, server.Until})
		}
	}
	n.seen = seen
	slices.SortFunc(fresh, func(a, b Notice) int { return cmp.Compare(a.Server, b.Server) })
	return fresh
}

// Stream is one generation that runs on a reclaimed server.
type Stream struct {
	ID         string
	Tokens     int           // produced so far
	Remaining  time.Duration // expected to its end
	Idempotent bool          // may be run again
}

// Disposition says what happens to a stream on a reclaimed server.
type Disposition string

// The fates. A restart loses the tokens so far.
const (
	Finish  Disposition = "finish"
	Export  Disposition = "export"
	Restart Disposition = "restart"
)

// Action is the decision on one stream.
type Action struct {
	ID          string
	Disposition Disposition
}

// StreamPlanner decides the fates of streams. Zero fields take the defaults.
type StreamPlanner struct {
	Margin             time.Duration // kept before the end of the notice
	ExportTime         time.Duration // to export any stream
	ExportTimePerToken time.Duration // to export one token's cache
	MaxExports         int           // exports of one server at the same time
}

// Defaults of a Mover.
const (
	DefaultNoticeMargin       = 500 * time.Millisecond
	DefaultExportTime         = 300 * time.Millisecond
	DefaultExportTimePerToken = 20 * time.Microsecond
	DefaultMaxExports         = 4
)

// Plan returns the fate of each stream on a server that is reclaimed at
// until. A stream that ends in time finishes. The others are exported, those
// with most tokens first, as long as their exports end in time; the rest start
// again elsewhere at once. A stream that may not be repeated is left to finish,
// whatever happens.
func (m StreamPlanner) Plan(now, until time.Time, streams []Stream) []Action {
	left := until.Sub(now) - cmp.Or(m.Margin, DefaultNoticeMargin)
	ordered := slices.Clone(streams)
	slices.SortStableFunc(ordered, func(a, b Stream) int {
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.ID, b.ID))
	})
	lanes := make([]time.Duration, cmp.Or(m.MaxExports, DefaultMaxExports))
	actions := make([]Action, 0, len(streams))
	for _, s := range ordered {
		actions = append(actions, Action{s.ID, m.fate(s, left, lanes)})
	}
	return actions
}

func (m StreamPlanner) fate(s Stream, left time.Duration, lanes []time.Duration) Disposition {
	if !s.Idempotent || s.Remaining <= left {
		return Finish
	}
	lane := slices.Index(lanes, slices.Min(lanes))
	takes := cmp.Or(m.ExportTime, DefaultExportTime) + time.Duration(s.Tokens)*cmp.Or(m.ExportTimePerToken, DefaultExportTimePerToken)
	if s.Tokens == 0 || lanes[lane]+takes > left {
		return Restart
	}
	lanes[lane] += takes
	return Export
}
