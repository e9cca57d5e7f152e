// Package burn measures how fast each workspace uses up the error budgets of its
// objectives.
//
// Every host counts good and bad events in time buckets and latencies in
// mergeable sketches. Snapshots of hosts are merged bucket by bucket and bin by
// bin, so that a merged report has the figures that one host would have counted
// for all events.
//
// Rules:
//
//  1. Buckets are aligned to the Unix epoch, so that those of two hosts with
//     synchronized clocks cover the same time.
//  2. A window consists of whole buckets, the last of which is the current one and
//     still filling. It therefore covers up to one bucket less than its name says.
//  3. The burn rate is the share of bad events divided by the share that the
//     objective allows. At a burn rate of 1 the budget of a window is used up at
//     its end.
//  4. The error budget is that of the longest window. The budget left is 1 minus
//     the burn rate of that window; it is negative when overspent.
//  5. The burn rate of a pair of windows is the lower of the two: the longer
//     window shows that the errors are significant, the shorter one that they
//     still occur.
//  6. Workspaces are ordered by their worst objective: by the higher rate of
//     the two pairs, then by the budget left.
//
// A host keeps its counts in memory only; those of a host that is restarted or
// lost are missing from later reports.
package burn

import (
	"fmt"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
	"github.com/hyssopwall/hyssopwall/internal/site/document"
)

// Event is the outcome of a request or step, or several of them, that objectives
// count. Good and Bad are numbers of events. Elapsed is the duration of a good
// event that is measured by its duration, zero for others. An objective whose limit
// it exceeds counts the good events as bad. The distribution of durations gets Elapsed
// once, also if Good is more than 1.
type Event struct {
	Workspace string
	Route     string
	Measure   document.Measure
	Good      uint64
	Bad       uint64
	Elapsed   time.Duration
}

// Key identifies a series: one objective of one workspace. An empty Route covers
// all routes. Within is the latency limit, zero if the objective has none.
type Key struct {
	Workspace string           `cbor:"1,keyasint"`
	Route     string           `cbor:"2,keyasint,omitempty"`
	Measure   document.Measure `cbor:"3,keyasint"`
	Within    time.Duration    `cbor:"4,keyasint,omitempty"`
}

// maxName is the maximum length in bytes of the name of a workspace, route or host.
const maxName = 63

// Check returns a *wire.FieldError if a field is invalid.
func (k Key) Check() error {
	switch {
	case k.Workspace == "" || len(k.Workspace) > maxName || len(k.Route) > maxName:
		return &wire.FieldError{Type: "burn.Key", Field: "Workspace or Route", Reason: "is empty or too long"}
	case k.Within < 0:
		return &wire.FieldError{Type: "burn.Key", Field: "Within", Reason: "is negative"}
	}
	switch k.Measure {
	case document.Latency, document.Success, document.Step, document.Fresh:
		return nil
	default:
		return &wire.FieldError{Type: "burn.Key", Field: "Measure", Reason: fmt.Sprintf("is %q", k.Measure)}
	}
}

// timed reports whether the series keeps the distribution of durations.
func (k Key) timed() bool {
	return k.Measure == document.Latency || k.Measure == document.Step
}

// level is a resolution at which events are counted: the latest Count buckets of
// length Unit.
type level struct {
	Unit  time.Duration
	Count int
}

// Indexes of the levels of counts.
const (
	fine = iota
	middle
	coarse
	levelCount
)

// levels returns the levels of counts: the last hour, 6 hours and 3 days.
func levels() [levelCount]level {
	return [levelCount]level{
		fine:   {Unit: time.Minute, Count: 60},
		middle: {Unit: 10 * time.Minute, Count: 36},
		coarse: {Unit: time.Hour, Count: 72},
	}
}

// sketchLevel returns the level of the sketches of durations, which cover an hour.
func sketchLevel() level { return level{Unit: 10 * time.Minute, Count: 6} }

// index returns the number of the bucket that contains a time.
func (l level) index(at time.Time) int64 {
	return at.UnixNano() / int64(l.Unit)
}

// Window is a time span that ends now.
type Window struct {
	Name    string // duration, for example "5m"
	level   int    // index in levels
	buckets int    // number of buckets of the level
}

// Windows returns the windows of a report, the shortest first. The first two form
// a pair, and so do the last two.
func Windows() [4]Window {
	return [4]Window{
		{Name: "5m", level: fine, buckets: 5},
		{Name: "1h", level: fine, buckets: 60},
		{Name: "6h", level: middle, buckets: 36},
		{Name: "3d", level: coarse, buckets: 72},
	}
}
