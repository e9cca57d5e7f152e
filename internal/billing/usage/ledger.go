package usage

import (
	"maps"
	"slices"
	"strings"

	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
	"github.com/hyssopwall/hyssopwall/internal/platform/report"
)

// Ledger holds the totals of the counters that the sealed objects of a range of
// windows include. The range starts at From and ends before Next.
type Ledger struct {
	From Window
	Next Window
	// Complete reports that no window before From was ever sealed.
	Complete bool
	totals   Totals
}

// NewLedger returns an empty ledger that starts at the window from.
func NewLedger(from Window) *Ledger {
	return &Ledger{From: from, Next: from, totals: Totals{}}
}

// Apply adds the next sealed object. It returns a *GapError for an object of
// another window than Next (rule 4).
func (l *Ledger) Apply(sealed SealedWindow) error {
	if sealed.Window != l.Next {
		return &GapError{Want: l.Next, Have: sealed.Window}
	}
	l.totals.Merge(sealed.Counted)
	l.totals.Merge(sealed.Ahead)
	l.Next++
	return nil
}

// DropBefore removes the counters of windows before from, which becomes the start
// of the range. It does nothing if the range starts there or later.
func (l *Ledger) DropBefore(from Window) {
	if from <= l.From {
		return
	}
	l.From = from
	l.Complete = false
	maps.DeleteFunc(l.totals, func(id CounterID, _ Count) bool { return id.Window < from })
}

// SealedTotal returns the total of a counter that is sealed so far, zero for an
// unknown counter.
func (l *Ledger) SealedTotal(id CounterID) Count { return l.totals[id] }

// Seal returns the object that seals the window Next, computed from the totals
// that the hosts hold. Now is the current window. Counters of windows after Next,
// up to the one after now, are left out until their own window is sealed. Counters
// of windows before From are left out until the ledger reaches back to them. At
// most limit counters, and at most MaxRows, are included; the others follow as
// adjustments (rules 4 and 5).
func (l *Ledger) Seal(held Totals, responded []view.Member, now Window, limit int) SealedWindow {
	sealed := SealedWindow{Window: l.Next, Responded: responded}
	var rows []Row
	for id, total := range held {
		grew := total.Minus(l.totals[id]) != Count{}
		if grew && l.due(id.Window, now) {
			rows = append(rows, Row{Counter: id, Total: total.Max(l.totals[id])})
		}
	}
	rows = sortAndTruncate(rows)
	sealed.Counted = rows[:min(len(rows), limit)]
	sealed.Lines = l.lines(sealed.Counted)
	sealed.Ahead = l.laterCounters(sealed.Counted)
	return sealed
}

// laterCounters returns the counters of windows after Next that are sealed already
// or are among rows, at most MaxRows of them.
func (l *Ledger) laterCounters(rows []Row) []Row {
	all := maps.Clone(l.totals)
	all.Merge(rows)
	var ahead []Row
	for id, total := range all {
		if id.Window > l.Next {
			ahead = append(ahead, Row{Counter: id, Total: total})
		}
	}
	return sortAndTruncate(ahead)
}

// due reports whether the counters of a window belong in the object that seals
// Next. Those of the window after now do not: the clock of their host may be only a
// little ahead.
func (l *Ledger) due(window, now Window) bool {
	inRange := l.Complete || window >= l.From
	return inRange && (window <= l.Next || window > now+1)
}

// lines sums the growth of the counters by workspace. Growth in a window other
// than the next one gets a line of its own that names the window.
func (l *Ledger) lines(rows []Row) []report.Line {
	type group struct {
		workspace string
		adjusts   string
	}
	sums := map[group]Count{}
	for _, row := range rows {
		g := group{workspace: row.Counter.Workspace}
		if row.Counter.Window != l.Next {
			g.adjusts = row.Counter.Window.String()
		}
		sums[g] = sums[g].Plus(row.Total.Minus(l.totals[row.Counter]))
	}
	lines := make([]report.Line, 0, len(sums))
	for g, sum := range sums {
		lines = append(lines, report.Line{
			Workspace: g.workspace, Adjusts: g.adjusts,
			Requests: sum.Requests, Tokens: sum.Tokens, Samples: sum.Samples,
		})
	}
	slices.SortFunc(lines, func(a, b report.Line) int {
		return strings.Compare(a.Workspace+"\x00"+a.Adjusts, b.Workspace+"\x00"+b.Adjusts)
	})
	return lines
}

// Covered returns the sealed totals of the counters that a host holds. It leaves out
// counters of which nothing is sealed.
func (l *Ledger) Covered(held []Row) []Row {
	var rows []Row
	for _, row := range held {
		if total := l.totals[row.Counter]; total != (Count{}) {
			rows = append(rows, Row{Counter: row.Counter, Total: total})
		}
	}
	return rows
}
