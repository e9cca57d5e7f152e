package usage

import (
	"maps"
	"slices"

	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
)

// OwnRetention is how many windows a process keeps its own counters after they are
// covered. Rule 7.
const OwnRetention = 48

type entry struct {
	total   Count
	covered Count
	direct  bool // received from the source itself, rule 3
}

// Counters is what one host holds: its own counters and copies of others'. Set
// Self; the rest starts empty. It isn't safe for concurrent use.
type Counters struct {
	Self    view.Member
	entries map[CounterID]*entry
	sent    map[view.Member]Totals // what each target has acknowledged
	oldest  Window                 // own counters before it were forgotten
}

// Add counts usage of this process in a window, or in the oldest one that it
// can still count in.
func (b *Counters) Add(workspace string, window Window, amount Count) {
	cell := CounterID{Source: b.Self, Window: max(window, b.oldest), Workspace: workspace}
	e := b.entry(cell)
	e.total = e.total.Plus(amount)
}

// Copy stores counters of another host.
func (b *Counters) Copy(message Copy) {
	for _, row := range message.Rows {
		if row.Counter.Source == b.Self {
			continue // only this process grows its own counters
		}
		e := b.entry(row.Counter)
		e.total = e.total.Max(row.Total)
		e.direct = e.direct || row.Counter.Source == message.From
	}
}

// Acked notes that a target has stored rows.
func (b *Counters) Acked(target view.Member, rows []Row) {
	if b.sent == nil {
		b.sent = map[view.Member]Totals{}
	}
	if b.sent[target] == nil {
		b.sent[target] = Totals{}
	}
	b.sent[target].Merge(rows)
}

// DropTarget forgets what a failed target acknowledged.
func (b *Counters) DropTarget(target view.Member) { delete(b.sent, target) }

// RetainTargets forgets what targets acknowledged that are no longer among the hosts.
// A restarted host is another one, so that the list would grow for ever.
func (b *Counters) RetainTargets(hosts []view.Member) {
	maps.DeleteFunc(b.sent, func(target view.Member, _ Totals) bool { return !slices.Contains(hosts, target) })
}

// Cover notes what is sealed and forgets the copies that it covers. Rule 7.
func (b *Counters) Cover(message Cover) {
	for _, row := range message.Rows {
		e := b.entries[row.Counter]
		if e == nil {
			continue
		}
		e.covered = e.covered.Max(row.Total)
		if row.Counter.Source != b.Self && e.covered.Covers(e.total) {
			b.remove(row.Counter)
		}
	}
}

// Expire forgets this process's own covered counters of windows long past.
func (b *Counters) Expire(now Window) {
	for cell, e := range b.entries {
		if cell.Source == b.Self && cell.Window < now-OwnRetention && e.covered.Covers(e.total) {
			b.oldest = max(b.oldest, cell.Window+1)
			b.remove(cell)
		}
	}
}

func (b *Counters) remove(cell CounterID) {
	delete(b.entries, cell)
	for _, sent := range b.sent {
		delete(sent, cell)
	}
}

func (b *Counters) entry(cell CounterID) *entry {
	if b.entries == nil {
		b.entries = map[CounterID]*entry{}
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
func (b *Counters) Pending(target view.Member, alive view.Alive) []Row {
	var rows []Row
	for cell, e := range b.entries {
		mine := cell.Source == b.Self || e.direct && !alive(cell.Source)
		if !mine || cell.Source == target || e.covered.Covers(e.total) || b.sent[target][cell].Covers(e.total) {
			continue
		}
		rows = append(rows, Row{Counter: cell, Total: e.total})
	}
	return sorted(rows)
}

// Holdings returns what is not covered yet, oldest first.
func (b *Counters) Holdings() Holdings {
	var rows []Row
	for cell, e := range b.entries {
		if !e.covered.Covers(e.total) {
			rows = append(rows, Row{Counter: cell, Total: e.total})
		}
	}
	return Holdings{From: b.Self, Rows: sorted(rows)}
}

// sorted returns the oldest MaxRows rows in order.
func sorted(rows []Row) []Row {
	slices.SortFunc(rows, func(a, b Row) int { return a.Counter.compare(b.Counter) })
	return rows[:min(len(rows), MaxRows)]
}
