package usage

import (
	"maps"
	"slices"
	"strings"

	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
	"github.com/hyssopwall/hyssopwall/internal/platform/report"
)

// Ledger is what the sealed objects of a range of windows have counted. It
// starts at From and is complete up to Next, exclusive.
type Ledger struct {
	From Window
	Next Window
	// Complete says that no window before From was ever sealed.
	Complete bool
	counted  Totals
}

// NewLedger returns an empty ledger that starts at a window.
func NewLedger(from Window) *Ledger {
	return &Ledger{From: from, Next: from, counted: Totals{}}
}

// Apply takes in the next sealed object. Rule 4.
func (l *Ledger) Apply(sealed SealedWindow) error {
	if sealed.Window != l.Next {
		return &GapError{Want: l.Next, Have: sealed.Window}
	}
	l.counted.Merge(sealed.Counted)
	l.counted.Merge(sealed.Ahead)
	l.Next++
	return nil
}

// DropBefore drops the windows before from.
func (l *Ledger) DropBefore(from Window) {
	if from <= l.From {
		return
	}
	l.From = from
	l.Complete = false
	maps.DeleteFunc(l.counted, func(cell CounterID, _ Count) bool { return cell.Window < from })
}

// SealedTotal returns the total of a counter that is sealed so far.
func (l *Ledger) SealedTotal(cell CounterID) Count { return l.counted[cell] }

// Seal returns the next sealed object from what the hosts hold. Counters of
// windows that are still open at now wait for theirs; those of windows before
// From wait too, until the ledger reaches back to them. No more than limit
// counters are taken in; the others follow as adjustments. Rules 4 and 5.
func (l *Ledger) Seal(held Totals, heard []view.Member, now Window, limit int) SealedWindow {
	sealed := SealedWindow{Window: l.Next, Responded: heard}
	var rows []Row
	for cell, total := range held {
		grew := total.Minus(l.counted[cell]) != Count{}
		if grew && l.due(cell.Window, now) {
			rows = append(rows, Row{Counter: cell, Total: total.Max(l.counted[cell])})
		}
	}
	rows = sorted(rows)
	sealed.Counted = rows[:min(len(rows), limit)]
	sealed.Lines = l.lines(sealed.Counted)
	sealed.Ahead = l.ahead(sealed.Counted)
	return sealed
}

// ahead returns the counters of later windows that are counted already.
func (l *Ledger) ahead(rows []Row) []Row {
	all := maps.Clone(l.counted)
	all.Merge(rows)
	var ahead []Row
	for cell, total := range all {
		if cell.Window > l.Next {
			ahead = append(ahead, Row{Counter: cell, Total: total})
		}
	}
	return sorted(ahead)
}

// due says whether a window's counters belong into the next sealed object.
// The window after now may be that of a host whose clock is a little ahead.
func (l *Ledger) due(window, now Window) bool {
	known := l.Complete || window >= l.From
	return known && (window <= l.Next || window > now+1)
}

// lines sums the growth of each workspace, and of each earlier window apart.
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
		sums[g] = sums[g].Plus(row.Total.Minus(l.counted[row.Counter]))
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

// Covered returns the rows of a host's holdings that the ledger covers, with
// the totals sealed.
func (l *Ledger) Covered(held []Row) []Row {
	var rows []Row
	for _, row := range held {
		if total := l.counted[row.Counter]; total != (Count{}) {
			rows = append(rows, Row{Counter: row.Counter, Total: total})
		}
	}
	return rows
}
