// Package usage counts what each workspace was served and seals the counts
// into windows that are reported once.
//
// The rules:
//
//  1. Each process counts by itself, in counters that only grow, one for each
//     workspace and window. A counter has one writer, so that of two values
//     the larger is the later one and merging is idempotent.
//  2. A count is stored by two other hosts before the last byte of the answer
//     leaves. Many counts share one message.
//  3. When a process has failed, each host that got its counters from it
//     directly passes them on, so that there are enough copies again soon.
//  4. Windows are sealed one after the other, without a gap, each by one
//     conditional create. The sealed object lists every counter that it took
//     in, with the total counted so far; the ledger of all sealed objects
//     gives what of a counter is not sealed yet.
//  5. A counter that grew after its window was sealed goes into the next
//     sealed object as an adjustment that names its window. So does one whose
//     window lies ahead, from a host whose clock is wrong.
//  6. A report is made from the sealed object alone, with the same ID each
//     time, by the holder of the lease, until the platform acknowledges it.
//  7. A host forgets a copy only when the ledger covers it. It keeps its own
//     counters longer, since a clock that steps back may make them grow again.
//
// What can be lost: a counter's growth since it was last sealed, if the
// process and every host with a copy fail before rule 3 has run; Odds gives
// how often. With 390 hosts, 64 failures a day and 15 s to a new copy this is
// less than once in ten thousand years of fleet operation; without rule 3 it
// would be a few times a year. A request counted just before its host failed
// may lack its last byte at the caller: it is counted, once, since nobody but
// the caller knows.
package usage

import (
	"cmp"
	"fmt"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
	"github.com/hyssopwall/hyssopwall/internal/platform/report"
)

// WindowLength is the length of a window.
const WindowLength = time.Hour

// Window is a time span of Length, numbered since the Unix epoch.
type Window int64

// WindowAt returns the window that a time lies in.
func WindowAt(now time.Time) Window { return Window(now.Unix() / int64(WindowLength/time.Second)) }

// Start returns the first instant of the window.
func (w Window) Start() time.Time {
	return time.Unix(int64(w)*int64(WindowLength/time.Second), 0).UTC()
}

// End returns the first instant after the window.
func (w Window) End() time.Time { return (w + 1).Start() }

func (w Window) String() string { return w.Start().Format(time.RFC3339) }

// Count is an amount of usage, or the total of a counter.
type Count struct {
	Requests uint64 `cbor:"1,keyasint,omitempty" json:"requests,omitempty"`
	Tokens   uint64 `cbor:"2,keyasint,omitempty" json:"tokens,omitempty"`
	Samples  uint64 `cbor:"3,keyasint,omitempty" json:"samples,omitempty"`
}

// Plus returns the sum.
func (c Count) Plus(d Count) Count {
	return Count{c.Requests + d.Requests, c.Tokens + d.Tokens, c.Samples + d.Samples}
}

// Max returns the later of two totals of one counter. Rule 1.
func (c Count) Max(d Count) Count {
	return Count{max(c.Requests, d.Requests), max(c.Tokens, d.Tokens), max(c.Samples, d.Samples)}
}

// Minus returns the growth since an earlier total, zero where there is none.
func (c Count) Minus(d Count) Count {
	later := c.Max(d)
	return Count{later.Requests - d.Requests, later.Tokens - d.Tokens, later.Samples - d.Samples}
}

// Covers says whether d holds no more than c.
func (c Count) Covers(d Count) bool { return c.Max(d) == c }

// CounterID names a counter.
type CounterID struct {
	Source    view.Member `cbor:"1,keyasint" json:"source"`
	Window    Window      `cbor:"2,keyasint" json:"window"`
	Workspace string      `cbor:"3,keyasint" json:"workspace"`
}

func (c CounterID) compare(d CounterID) int {
	return cmp.Or(
		cmp.Compare(c.Window, d.Window),
		cmp.Compare(c.Source.Host, d.Source.Host),
		cmp.Compare(c.Source.Incarnation, d.Source.Incarnation),
		cmp.Compare(c.Workspace, d.Workspace),
	)
}

// Row is a counter and its total.
type Row struct {
	Counter CounterID `cbor:"1,keyasint" json:"cell"`
	Total   Count     `cbor:"2,keyasint" json:"total"`
}

// Check implements wire.Message.
func (r Row) Check() error {
	if r.Counter.Workspace == "" {
		return &wire.FieldError{Type: "Row", Field: "Workspace", Reason: "is empty"}
	}
	return r.Counter.Source.Check()
}

// Totals holds totals of counters.
type Totals map[CounterID]Count

// Merge takes in rows; the order and repeats don't matter. Rule 1.
func (t Totals) Merge(rows []Row) {
	for _, row := range rows {
		t[row.Counter] = t[row.Counter].Max(row.Total)
	}
}

// SealedWindow is a window as it is reported.
type SealedWindow struct {
	Window Window        `json:"window"`
	Epoch  uint64        `json:"epoch"` // of the lease of the holder that sealed it
	Holder string        `json:"holder"`
	Lines  []report.Line `json:"lines"`
	// Responded lists the processes that answered. The counters of others follow
	// as adjustments.
	Responded []view.Member `json:"heard"`
	// Counted lists the counters taken in and their totals so far.
	Counted []Row `json:"counted"`
	// Ahead repeats the counters of later windows that this or an earlier
	// object took in, so that a ledger may start at any window.
	Ahead []Row `json:"ahead,omitempty"`
}

// Report returns what is sent to the platform. Epoch is that of the sender.
func (s SealedWindow) Report(epoch uint64) report.Report {
	return report.Report{
		ID: "usage-" + s.Window.String(), Start: s.Window.Start(), End: s.Window.End(),
		Epoch: epoch, Lines: s.Lines,
	}
}

// GapError says that a sealed window does not follow the ledger's last one.
type GapError struct {
	Want, Have Window
}

func (e *GapError) Error() string {
	return fmt.Sprintf("ledger needs window %s, not %s", e.Want, e.Have)
}
