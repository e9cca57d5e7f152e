// Package usage counts the usage of each workspace and seals the counts into
// windows, each of which is reported to the platform with one set of figures.
//
// The rules:
//
//  1. Each process counts in its own counters, which only grow: one for each
//     workspace and window. A counter has one writer, so the larger of two
//     values is the later one, and merging is idempotent.
//  2. Two other hosts store a count before the last byte of the response is
//     sent. Many counts share one message.
//  3. When a process has failed, each host that received its counters directly
//     from it sends them to further hosts, which soon restores the number of
//     copies.
//  4. Windows are sealed in order, without gaps, each by one conditional
//     create. The sealed object lists every counter that it includes, with the
//     counter's total so far. The ledger of all sealed objects therefore shows
//     which part of a counter is not sealed yet.
//  5. A counter that grew after its window was sealed is included in the next
//     sealed object, as an adjustment that names its window. So is a counter
//     of a future window, from a host whose clock is wrong.
//  6. A report is made from the sealed object alone, under the same ID on each
//     attempt. The holder of the lease repeats it until the platform
//     acknowledges it.
//  7. A host removes a copy only when the ledger covers it. It keeps its own
//     counters longer, since a clock that steps back may make them grow again.
//
// The growth of a counter since it was last sealed is lost if the process and
// every host with a copy fail before rule 3 has restored the copies.
// LossesPerYear estimates how often. With 390 hosts, 64 failures a day and 15 s
// to a new copy this is less than once in ten thousand years of fleet
// operation; without rule 3 it would be a few times a year. A request that was
// counted just before its host failed may not have reached the caller
// completely. It is counted once, since only the caller can tell.
package usage

import (
	"cmp"
	"fmt"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
	"github.com/hyssopwall/hyssopwall/internal/platform/report"
)

// WindowLength is the length of every window.
const WindowLength = time.Hour

// Window is the number of a time span of WindowLength, counted from the Unix
// epoch.
type Window int64

// WindowAt returns the window that contains a time.
func WindowAt(now time.Time) Window { return Window(now.Unix() / int64(WindowLength/time.Second)) }

// Start returns the first instant of the window.
func (w Window) Start() time.Time {
	return time.Unix(int64(w)*int64(WindowLength/time.Second), 0).UTC()
}

// End returns the first instant after the window.
func (w Window) End() time.Time { return (w + 1).Start() }

// String returns the start of the window in RFC 3339. It is part of the ID of a report.
func (w Window) String() string { return w.Start().Format(time.RFC3339) }

// Count is an amount of usage: an increment or the total of a counter.
type Count struct {
	Requests uint64 `cbor:"1,keyasint,omitempty" json:"requests,omitempty"`
	Tokens   uint64 `cbor:"2,keyasint,omitempty" json:"tokens,omitempty"`
	Samples  uint64 `cbor:"3,keyasint,omitempty" json:"samples,omitempty"` // delivered to a trainer
}

// Plus returns the sum of two counts.
func (c Count) Plus(d Count) Count {
	return Count{c.Requests + d.Requests, c.Tokens + d.Tokens, c.Samples + d.Samples}
}

// Max returns the larger value of each field, which is the later of two totals
// of one counter (rule 1).
func (c Count) Max(d Count) Count {
	return Count{max(c.Requests, d.Requests), max(c.Tokens, d.Tokens), max(c.Samples, d.Samples)}
}

// Minus returns the growth since an earlier total. A field that is smaller than
// in d counts as not grown.
func (c Count) Minus(d Count) Count {
	later := c.Max(d)
	return Count{later.Requests - d.Requests, later.Tokens - d.Tokens, later.Samples - d.Samples}
}

// Covers reports whether no field of d exceeds that of c.
func (c Count) Covers(d Count) bool { return c.Max(d) == c }

// CounterID identifies a counter: the process that writes it, its window and
// its workspace.
type CounterID struct {
	Source    view.Member `cbor:"1,keyasint" json:"source"`
	Window    Window      `cbor:"2,keyasint" json:"window"`
	Workspace string      `cbor:"3,keyasint" json:"workspace"`
}

// compare orders counters by window, source and workspace.
func (c CounterID) compare(d CounterID) int {
	return cmp.Or(
		cmp.Compare(c.Window, d.Window),
		cmp.Compare(c.Source.Host, d.Source.Host),
		cmp.Compare(c.Source.Incarnation, d.Source.Incarnation),
		cmp.Compare(c.Workspace, d.Workspace),
	)
}

// Row is a counter with its total.
type Row struct {
	Counter CounterID `cbor:"1,keyasint" json:"cell"`
	Total   Count     `cbor:"2,keyasint" json:"total"`
}

// Check returns a *wire.FieldError if the workspace or the host of the source is empty.
func (r Row) Check() error {
	if r.Counter.Workspace == "" {
		return &wire.FieldError{Type: "Row", Field: "Workspace", Reason: "is empty"}
	}
	return r.Counter.Source.Check()
}

// Totals maps counters to their totals.
type Totals map[CounterID]Count

// Merge applies rows in any order; repeated rows change nothing (rule 1).
func (t Totals) Merge(rows []Row) {
	for _, row := range rows {
		t[row.Counter] = t[row.Counter].Max(row.Total)
	}
}

// SealedWindow is the object that fixes the figures of a window. It is stored
// once and never changes.
type SealedWindow struct {
	Window Window        `json:"window"`
	Epoch  uint64        `json:"epoch"` // of the lease under which it was sealed
	Holder string        `json:"holder"`
	Lines  []report.Line `json:"lines"`
	// Responded lists the processes that sent the counters that they hold. Counters
	// that none of them holds follow as adjustments in later windows.
	Responded []view.Member `json:"heard"`
	// Counted lists the counters that this object includes, with their totals so far.
	Counted []Row `json:"counted"`
	// Ahead repeats the counters of later windows that this or an earlier
	// object includes, so that a ledger may start at any window.
	Ahead []Row `json:"ahead,omitempty"`
}

// Report returns the report of the window for the platform. Epoch is that of
// the lease of the host that sends it.
func (s SealedWindow) Report(epoch uint64) report.Report {
	return report.Report{
		ID: "usage-" + s.Window.String(), Start: s.Window.Start(), End: s.Window.End(),
		Epoch: epoch, Lines: s.Lines,
	}
}

// GapError is returned for a sealed window that is not the one after the
// ledger's last window. The sealer also returns it when a ledger that was read again
// ends at another window than before, and when the store lacks a window to report;
// Have is then the window after the ledger's last one.
type GapError struct {
	Want, Have Window
}

func (e *GapError) Error() string {
	return fmt.Sprintf("ledger expects window %s next, got %s", e.Want, e.Have)
}
