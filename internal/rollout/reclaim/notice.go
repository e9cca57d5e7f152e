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

// Notices finds the reclaims in successive lists of backend servers. The zero
// value is ready.
type Notices struct {
	seen map[string]bool
}

// Update returns the notices that are new in the list, ordered by server.
func (n *Notices) Update(servers []supply.Server) []Notice {
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
	ID     string
	Tokens int           // produced so far
	Rest   time.Duration // expected to its end
	Repeat bool          // may be run again
}

// Fate says what happens to a stream on a reclaimed server.
type Fate string

// The fates. A restart loses the tokens so far.
const (
	Finish  Fate = "finish"
	Export  Fate = "export"
	Restart Fate = "restart"
)

// Action is the decision on one stream.
type Action struct {
	ID   string
	Fate Fate
}

// Mover decides the fates of streams. Zero fields take the defaults.
type Mover struct {
	Margin   time.Duration // kept before the end of the notice
	Export   time.Duration // to export any stream
	PerToken time.Duration // to export one token's cache
	AtOnce   int           // exports of one server at the same time
}

// Defaults of a Mover.
const (
	DefaultMoveMargin = 500 * time.Millisecond
	DefaultExport     = 300 * time.Millisecond
	DefaultPerToken   = 20 * time.Microsecond
	DefaultAtOnce     = 4
)

// React returns the fate of each stream on a server that is reclaimed at
// until. A stream that ends in time finishes. The others are exported, those
// with most tokens first, as long as their exports end in time; the rest start
// again elsewhere at once. A stream that may not be repeated is left to finish,
// whatever happens.
func (m Mover) React(now, until time.Time, streams []Stream) []Action {
	left := until.Sub(now) - cmp.Or(m.Margin, DefaultMoveMargin)
	ordered := slices.Clone(streams)
	slices.SortStableFunc(ordered, func(a, b Stream) int {
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.ID, b.ID))
	})
	lanes := make([]time.Duration, cmp.Or(m.AtOnce, DefaultAtOnce))
	actions := make([]Action, 0, len(streams))
	for _, s := range ordered {
		actions = append(actions, Action{s.ID, m.fate(s, left, lanes)})
	}
	return actions
}

func (m Mover) fate(s Stream, left time.Duration, lanes []time.Duration) Fate {
	if !s.Repeat || s.Rest <= left {
		return Finish
	}
	lane := slices.Index(lanes, slices.Min(lanes))
	takes := cmp.Or(m.Export, DefaultExport) + time.Duration(s.Tokens)*cmp.Or(m.PerToken, DefaultPerToken)
	if s.Tokens == 0 || lanes[lane]+takes > left {
		return Restart
	}
	lanes[lane] += takes
	return Export
}
