package batch

import (
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
)

// A step ends with its longest generations, and engines differ in speed. A long
// generation is moved to a faster engine when one has a free slot. That engine has to
// read the prompt and the text so far, which takes milliseconds.

const (
	// moveCost is the duration of a move: opening a connection, reading the text and
	// generating the first event.
	moveCost = 150 * time.Millisecond
	// remainingShare is the expected number of remaining events as a share of those
	// generated so far. Lengths have a long tail: the longer a generation already is, the
	// longer it goes on.
	remainingShare = 0.5
	// maxMoveRuns is the number of runs after which a generation is no longer moved for
	// speed.
	maxMoveRuns = 4
	// paceWindow is the number of events over which the pace is measured.
	paceWindow = 5
)

// MoveSavesTime reports whether a generation ends sooner on another engine. Generated is
// the number of its events so far and gap the time between two of them. Quickest is the
// time between two events on the fastest other engine, zero if unknown. Runs is the number
// of runs of the generation so far, the current one included: each further move has to save
// more, because engines slow down when others move to them too.
func MoveSavesTime(generated int, gap, quickest time.Duration, runs int) bool {
	if quickest <= 0 {
		return false
	}
	remaining := remainingShare * float64(generated)
	return remaining*float64(gap-quickest) > float64(max(1, runs))*float64(moveCost)
}

// paceMeter measures the time between the events of one run.
type paceMeter struct {
	choice *pool.Choice // the engine of the run, to which the pace is reported
	events int
	since  time.Time // start of the current window
}

// observe records an event, and at the first one that the engine has answered. At the end of each window it reports the mean time between
// two events to the pool, for the comparison of engines, and returns it and true.
func (p *paceMeter) observe(now time.Time) (time.Duration, bool) {
	if p.events%paceWindow == 0 {
		gap := now.Sub(p.since) / paceWindow
		first := p.events == 0
		p.since = now
		p.events++
		if first {
			p.choice.RecordAnswer()
			return 0, false
		}
		p.choice.RecordEventInterval(now, gap)
		return gap, true
	}
	p.events++
	return 0, false
}
