// Package burn measures how fast each workspace uses up the error budget of
// its objectives.
//
// Every host counts good and bad events in time buckets and latencies in
// mergeable sketches. Snapshots of hosts are added up bucket by bucket and bin
// by bin, so that the figures of a merged report are those that one host would
// have counted.
//
// Rules:
//
//  1. Buckets are aligned to the Unix epoch, so that those of two hosts with
//     synchronized clocks cover the same time.
//  2. A window is made of whole buckets and ends with the current one. It
//     therefore covers up to one bucket less than its name says.
//  3. Burn is the share of bad events divided by the share that the objective
//     allows. At a burn of 1 the budget of a window is used up at its end.
//  4. The budget is that of the longest window. What is left of it is 1 minus
//     the burn of that window; it is negative when overspent.
//  5. A pair of windows burns at the lower rate of the two: the longer one
//     shows that it matters, the shorter one that it still goes on.
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

// Event is something that objectives count. Good and Bad are numbers of
// events; Took is the time of an event that was good and took time, zero for
// others.
type Event struct {
	Workspace string
	Route     string
	Measure   document.Measure
	Good      uint64
	Bad       uint64
	Elapsed   time.Duration
}

// Key names a series: one objective of one workspace. An empty Route covers
// every route.
type Key struct {
	Workspace string           `cbor:"1,keyasint"`
	Route     string           `cbor:"2,keyasint,omitempty"`
	Measure   document.Measure `cbor:"3,keyasint"`
	Within    time.Duration    `cbor:"4,keyasint,omitempty"`
}

// maxName is the longest name of a workspace or route in bytes.
const maxName = 63

// Check returns a *wire.FieldError for a wrong field.
func (k Key) Check() error {
	switch {
	case k.Workspace == "" || len(k.Workspace) > maxName || len(k.Route) > maxName:
		return &wire.FieldError{Type: "burn.Key", Field: "Workspace or Route", Reason: "is not a name"}
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

// timed reports whether the series keeps the distribution of times.
func (k Key) timed() bool {
	return k.Measure == document.Latency || k.Measure == document.Step
}

// level is one resolution at which events are counted: the last Count buckets
// of length Unit.
type level struct {
	Unit  time.Duration
	Count int
}

// The levels of counts, and the one of sketches.
const (
	fine = iota
	middle
	coarse
	levelCount
)

func levels() [levelCount]level {
	return [levelCount]level{
		fine:   {Unit: time.Minute, Count: 60},
		middle: {Unit: 10 * time.Minute, Count: 36},
		coarse: {Unit: time.Hour, Count: 72},
	}
}

// sketched is the level of the sketches of times, which cover an hour.
func sketched() level { return level{Unit: 10 * time.Minute, Count: 6} }

// index returns the number of the bucket that holds at.
func (l level) index(at time.Time) int64 {
	return at.UnixNano() / int64(l.Unit)
}

// Window is a stretch of time that ends now.
type Window struct {
	Name    string
	level   int
	buckets int
}

// Windows returns the windows of a report, the shortest first. The first two
// and the last two are pairs.
func Windows() [4]Window {
	return [4]Window{
		{Name: "5m", level: fine, buckets: 5},
		{Name: "1h", level: fine, buckets: 60},
		{Name: "6h", level: middle, buckets: 36},
		{Name: "3d", level: coarse, buckets: 72},
	}
}
