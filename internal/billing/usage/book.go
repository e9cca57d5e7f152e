package usage

import (
	"maps"
	"slices"

	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
)

// KeepOwn is how many windows a process keeps its own counters after they are
// covered. Rule 7.
const KeepOwn = 48

type entry struct {
	total   Count
	covered Count
	direct  bool // received from the source itself, rule 3
}

// Book is what one host holds: its own counters and copies of others'. Set
// Self; the rest starts empty. It isn't safe for concurrent use.
type Book struct {
	Self    view.Member
	entries map[Cell]*entry
	sent    map[view.Member]Tally // what each target has acknowledged
	oldest  Window                // own counters before it were forgotten
}

// Add counts usage of this process in a window, or in the oldest one that it
// can still count in.
func (b *Book) Add(workspace string, window Window, amount Count) {
	cell := Cell{Source: b.Self, Window: max(window, b.oldest), Workspace: workspace}
	e := b.entry(cell)
	e.total = e.total.Plus(amount)
}

// Copy stores counters of another host.
func (b *Book) Copy(message Copy) {
	for _, row := range message.Rows {
		if row.Cell.Source == b.Self {
			continue // only this process grows its own counters
		}
		e := b.entry(row.Cell)
		e.total = e.total.Max(row.Total)
		e.direct = e.direct || row.Cell.Source == message.From
	}
}

// Acked notes that a target has stored rows.
func (b *Book) Acked(target view.Member, rows []Row) {
	if b.sent == nil {
		b.sent = map[view.Member]Tally{}
	}
	if b.sent[target] == nil {
		b.sent[target] = Tally{}
	}
	b.sent[target].Merge(rows)
}

// Drop forgets what a failed target acknowledged.
func (b *Book) Drop(target view.Member) { delete(b.sent, target) }

// Retain forgets what targets acknowledged that are no longer among the hosts.
// A restarted host is another one, so that the list would grow for ever.
func (b *Book) Retain(hosts []view.Member) {
	maps.DeleteFunc(b.sent, func(target view.Member, _ Tally) bool { return !slices.Contains(hosts, target) })
}

// Cover notes what is sealed and forgets the copies that it covers. Rule 7.
func (b *Book) Cover(message Cover) {
	for _, row := range message.Rows {
		e := b.entries[row.Cell]
		if e == nil {
			continue
		}
		e.covered = e.covered.Max(row.Total)
		if row.Cell.Source != b.Self && e.covered.Covers(e.total) {
			b.remove(row.Cell)
		}
	}
}

// Expire forgets this process's own covered counters of windows long past.
func (b *Book) Expire(now Window) {
	for cell, e := range b.entries {
		if cell.Source == b.Self && cell.Window < now-KeepOwn && e.covered.Covers(e.total) {
			b.oldest = max(b.oldest, cell.Window+1)
			b.remove(cell)
		}
	}
}

func (b *Book) remove(cell Cell) {
	delete(b.entries, cell)
	for _, sent := range b.sent {
		delete(sent, cell)
	}
}

func (b *Book) entry(cell Cell) *entry {
	if b.entries == nil {
		b.entries = map[Cell]*entry{}
	}
	e := b.entries[cell]
	if e == nil {
		e = &entry{}
		b.entries[cell] = e
	}
	return e
}

// Pending returns the rows that a target lacks: this process's own, and those
// of failed processes that it got from them. Rules 2 and 3.
func (b *Book) Pending(target view.Member, alive view.Alive) []Row {
	var rows []Row
	for cell, e := range b.entries {
		mine := cell.Source == b.Self || e.direct && !alive(cell.Source)
		if !mine || cell.Source == target || e.covered.Covers(e.total) || b.sent[target][cell].Covers(e.total) {
			continue
		}
		rows = append(rows, Row{Cell: cell, Total: e.total})
	}
	return sorted(rows)
}

// Holdings returns what is not covered yet, oldest first.
func (b *Book) Holdings() Holdings {
	var rows []Row
	for cell, e := range b.entries {
		if !e.covered.Covers(e.total) {
			rows = append(rows, Row{Cell: cell, Total: e.total})
		}
	}
	return Holdings{From: b.Self, Rows: sorted(rows)}
}

// sorted returns the oldest MaxRows rows in order.
func sorted(rows []Row) []Row {
	slices.SortFunc(rows, func(a, b Row) int { return a.Cell.compare(b.Cell) })
	return rows[:min(len(rows), MaxRows)]
}
