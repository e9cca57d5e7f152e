package usage

import (
	"maps"
	"slices"

	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
)

// OwnRetention is the number of windows for which a process keeps its own
// counters after their window, also when they are covered (rule 7). It keeps
// those that are not covered for longer.
const OwnRetention = 48

// entry is a counter in a host's memory, its own or a copy.
type entry struct {
	total   Count
	covered Count // the sealed total
	direct  bool  // received from the source itself (rule 3)
}

// Counters holds the counters of one host and its copies of the counters of
// other hosts. Set Self; all else starts empty. It is not safe for concurrent
// use.
type Counters struct {
	Self      view.Member
	entries   map[CounterID]*entry
	acked     map[view.Member]Totals // totals that each target has acknowledged
	firstOpen Window                 // first window in which this process still counts
}

// Add counts usage of this process in a window. Usage of a window whose counters
// have expired is counted in the oldest window that has not.
func (c *Counters) Add(workspace string, window Window, amount Count) {
	id := CounterID{Source: c.Self, Window: max(window, c.firstOpen), Workspace: workspace}
	e := c.entry(id)
	e.total = e.total.Plus(amount)
}

// Copy stores the counters that another host sent.
func (c *Counters) Copy(message Copy) {
	for _, row := range message.Rows {
		if row.Counter.Source == c.Self {
			continue // only this process increases its own counters
		}
		e := c.entry(row.Counter)
		e.total = e.total.Max(row.Total)
		e.direct = e.direct || row.Counter.Source == message.From
	}
}

// Acked records that a target has stored rows.
func (c *Counters) Acked(target view.Member, rows []Row) {
	if c.acked == nil {
		c.acked = map[view.Member]Totals{}
	}
	if c.acked[target] == nil {
		c.acked[target] = Totals{}
	}
	c.acked[target].Merge(rows)
}

// DropTarget forgets the acknowledgments of a failed target, so that Pending
// returns all rows for it again.
func (c *Counters) DropTarget(target view.Member) { delete(c.acked, target) }

// RetainTargets forgets the acknowledgments of targets that are not among the
// hosts. A restarted host is a new member, so the map would otherwise grow forever.
func (c *Counters) RetainTargets(hosts []view.Member) {
	maps.DeleteFunc(c.acked, func(target view.Member, _ Totals) bool { return !slices.Contains(hosts, target) })
}

// Cover records sealed totals and removes the copies that they cover (rule 7).
func (c *Counters) Cover(message Cover) {
	for _, row := range message.Rows {
		e := c.entries[row.Counter]
		if e == nil {
			continue
		}
		e.covered = e.covered.Max(row.Total)
		if row.Counter.Source != c.Self && e.covered.Covers(e.total) {
			c.remove(row.Counter)
		}
	}
}

// Expire removes this process's own covered counters that are older than
// OwnRetention.
func (c *Counters) Expire(now Window) {
	for id, e := range c.entries {
		if id.Source == c.Self && id.Window < now-OwnRetention && e.covered.Covers(e.total) {
			c.firstOpen = max(c.firstOpen, id.Window+1)
			c.remove(id)
		}
	}
}

// remove deletes a counter together with its acknowledgments.
func (c *Counters) remove(id CounterID) {
	delete(c.entries, id)
	for _, acked := range c.acked {
		delete(acked, id)
	}
}

// entry returns the entry of a counter and creates it if needed.
func (c *Counters) entry(id CounterID) *entry {
	if c.entries == nil {
		c.entries = map[CounterID]*entry{}
	}
	e := c.entries[id]
	if e == nil {
		e = &entry{}
		c.entries[id] = e
	}
	return e
}

// Pending returns the rows that a target has to store and has not acknowledged:
// those of this process, and those that it received directly from processes that
// have failed since (rules 2 and 3). Covered rows and the target's own are not
// among them. It returns the rows of the oldest windows, at most MaxRows.
func (c *Counters) Pending(target view.Member, alive view.Alive) []Row {
	var rows []Row
	for id, e := range c.entries {
		responsible := id.Source == c.Self || e.direct && !alive(id.Source)
		if !responsible || id.Source == target || e.covered.Covers(e.total) || c.acked[target][id].Covers(e.total) {
			continue
		}
		rows = append(rows, Row{Counter: id, Total: e.total})
	}
	return sortAndTruncate(rows)
}

// Holdings returns the counters that are not covered yet, oldest first, at most
// MaxRows of them. It leaves CurrentWindow zero.
func (c *Counters) Holdings() Holdings {
	var rows []Row
	for id, e := range c.entries {
		if !e.covered.Covers(e.total) {
			rows = append(rows, Row{Counter: id, Total: e.total})
		}
	}
	return Holdings{From: c.Self, Rows: sortAndTruncate(rows)}
}

// sortAndTruncate sorts rows in place and returns the oldest MaxRows of them.
func sortAndTruncate(rows []Row) []Row {
	slices.SortFunc(rows, func(a, b Row) int { return a.Counter.compare(b.Counter) })
	return rows[:min(len(rows), MaxRows)]
}
