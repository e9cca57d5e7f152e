package batch

import (
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
)

// A step ends with its longest generations, and engines differ in speed. A
// generation that turns out long goes on at a faster engine once one has room:
// the engine reads the prompt and the text so far, which takes milliseconds.

const (
	// moveCost is the time that a move takes: a connection, the reading of the
	// text and the first event.
	moveCost = 150 * time.Millisecond
	// remainingShare is the expected rest of a generation as a share of what it has
	// made: lengths have a long tail, so that the longer one is the longer it goes on.
	remainingShare = 0.5
	// maxMoveRuns is the number of runs up to which a generation is moved for speed.
	maxMoveRuns = 4
	// paceWindow is the number of events over which a pace is measured.
	paceWindow = 5
)

// MoveSavesTime says whether a generation that has made some events, one in each gap,
// ends sooner at an engine that makes one in each quickest; zero is unknown. Runs
// counts the engines that it has been at: engines slow down as others move to them
// too, so that each further move has to gain more.
func MoveSavesTime(made int, gap, quickest time.Duration, runs int) bool {
	if quickest <= 0 {
		return false
	}
	rest := remainingShare * float64(made)
	return rest*float64(gap-quickest) > float64(max(1, runs))*float64(moveCost)
}

// paceMeter measures the pace of one run.
type paceMeter struct {
	choice *pool.Choice
	events int
	since  time.Time // of the window's first event
}

// event takes an event in. At the end of each window it returns the time
// between two events.
func (p *paceMeter) observe(now time.Time) (time.Duration, bool) {
	if p.events%paceWindow == 0 {
		gap := now.Sub(p.since) / paceWindow
		first := p.events == 0
		p.since = now
		p.events++
		if first {
			return 0, false
		}
		p.choice.Paced(now, gap)
		return gap, true
	}
	p.events++
	return 0, false
}
