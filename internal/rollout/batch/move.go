package batch

import (
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
)

// A step ends with its longest generations, and engines differ in speed. A long
// generation is moved to a faster engine when one has a free slot. That engine has to
// read the prompt and the text so far, which takes milliseconds.
//
// Results before the due time of a batch are not worth more. Where a batch has a due time
// and the engines send work time estimates, a generation therefore moves only to avoid
// lateness (MoveAvoidsLateness), unless the trainer lags; elsewhere it moves whenever that
// saves time (MoveSavesTime).

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
	paceWindow = pool.IntervalEvents
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

// Limits of MoveAvoidsLateness.
const (
	// minPaceWindows and minPaceTime are what a pace has to have lasted for. Engines are
	// slowed by noise for about 0.6 s at a time, which may touch two windows and shows in less
	// than 0.8 s of those that minSpeedup counts as slow.
	minPaceWindows = 2
	minPaceTime    = 800 * time.Millisecond
	// maxPaceWindows is the number of windows kept. It covers minPaceTime for event
	// intervals from 19 ms; the usual ones are 40 to 90 ms.
	maxPaceWindows = 16
	// minSpeedup is how much longer the events have to take here than on the fastest other
	// engine. The fastest of some 45 measured paces is well below the mean also when all
	// engines are alike, and one slow event in a window of five is noise.
	minSpeedup = 1.4
)

// Progress is the state of a generation on an engine.
type Progress struct {
	Generated int             // number of events so far
	Expected  float64         // estimated number of events of the complete text; zero if unknown
	Gaps      []time.Duration // mean time between two events in each window, the newest last
	Quickest  time.Duration   // time between two events on the fastest other engine, zero if unknown
	Runs      int             // see MoveSavesTime
	LatestEnd time.Time       // end by which the generation is not late; see latestEnd
}

// MoveAvoidsLateness reports whether a generation should move because it would otherwise
// end too late: its expected end here, with the error of its pace, is after LatestEnd, and
// another engine is faster than every window of the lasting pace by enough to pay for the
// move. It returns false until the pace has lasted for minPaceWindows and minPaceTime.
func MoveAvoidsLateness(now time.Time, p Progress) bool {
	least, largest, ok := lastingPace(p.Gaps)
	if !ok || p.Quickest <= 0 || float64(least) < minSpeedup*float64(p.Quickest) {
		return false
	}
	remaining := p.remaining()
	expected := remaining * float64(least)
	paceError := remaining * float64(largest-least) / 2
	if !now.Add(time.Duration(expected + paceError)).After(p.LatestEnd) {
		return false
	}
	return remaining*float64(least-p.Quickest) > float64(max(1, p.Runs))*float64(moveCost)
}

// remaining returns the expected number of remaining events. A text that has outgrown its
// estimate goes on by remainingShare.
func (p Progress) remaining() float64 {
	if left := p.Expected - float64(p.Generated); left > 0 {
		return left
	}
	return remainingShare * float64(p.Generated)
}

// lastingPace returns the least and the largest mean interval among the newest windows
// that together reach minPaceWindows and minPaceTime, and false if there are too few.
func lastingPace(gaps []time.Duration) (least, largest time.Duration, ok bool) {
	var covered time.Duration
	count := 0
	for i := len(gaps) - 1; i >= 0; i-- {
		gap := gaps[i]
		if count == 0 || gap < least {
			least = gap
		}
		largest = max(largest, gap)
		covered += gap * paceWindow
		count++
		if count >= minPaceWindows && covered >= minPaceTime {
			return least, largest, true
		}
	}
	return 0, 0, false
}

// paceMeter measures the time between the events of one run.
type paceMeter struct {
	choice *pool.Choice // the engine of the run, to which the pace is reported
	events int
	since  time.Time       // start of the current window
	gaps   []time.Duration // of the latest windows, at most maxPaceWindows
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
		if len(p.gaps) == maxPaceWindows {
			p.gaps = p.gaps[1:]
		}
		p.gaps = append(p.gaps, gap)
		return gap, true
	}
	p.events++
	return 0, false
}
