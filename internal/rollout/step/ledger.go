package step

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/rollout/sample"
)

// Ledger is the state machine of a step: it tracks the samples and the running
// attempts, decides which generations to start or cancel, and answers pulls. It does
// no I/O and reads no clock, so that a simulation or a model check can run it. It
// isn't safe for concurrent use; an Owner calls it from one goroutine.
type Ledger struct {
	state   State
	plan    Plan
	policy  Policy
	history *History
	newest  uint64 // newest known weights version

	ackedCursor  uint64             // cursor that the last pull acknowledged
	delivered    map[sampleKey]bool // samples on the path to ackedCursor
	slots        []slot             // ordered by group and index
	groupStart   []int              // index of each group's first slot
	running      map[string]*attempt
	siblings     map[groupOnEngine]int // running attempts of a group on an engine
	chunks       map[uint64]Chunk      // by cursor, the available committed chunks at ackedCursor or directly after it
	pending      *Commit
	canceling    bool      // Cancel was called
	lastCommit   time.Time // time of the last commit of a chunk
	cancels      []string  // attempts to return by DrainCancels
	groupStats   []groupStat
	stats        Stats
	hedgedTokens float64 // sum of the expected tokens of all hedges
}

// slot is the state of one sample of the plan.
type slot struct {
	sampleKey
	result      *sample.Sample // accepted sample that isn't acknowledged, nil for none
	scoring     bool           // result awaits its score
	running     int            // running attempts
	attempts    int            // attempts started
	failures    int            // failed attempts and rejected samples; never reset
	notBefore   time.Time      // no attempt starts before this time
	avoidEngine string         // engine of the last failed attempt
	resume      *engine.Resume // exported text of an interrupted attempt
	mostTokens  int            // largest number of tokens of any attempt so far
}

// attempt is one running generation for a slot.
type attempt struct {
	id            string
	slot          int // index in Ledger.slots
	engine        string
	hedge         bool
	started       time.Time
	lastProgress  time.Time // time of the last new token, or the start
	tokens        int       // tokens so far, those of a resumed text included
	versions      []uint64  // weights versions reported so far, those of a resumed text included
	ratedSpeed    float64   // tokens per second that the engine reported at the start, or defaultSpeed
	resumedTokens int       // tokens of the text that the attempt resumed from
}

// groupOnEngine is the key of the count of attempts of one group on one engine.
type groupOnEngine struct {
	group  int
	engine string
}

// groupStat is the number and the sum of tokens of the finished samples of a group.
type groupStat struct {
	finished, tokens int
}

// Stats counts the work and the waste of a step at its current owner. Fields whose
// names end in Tokens count generated tokens. The field names are sent to other hosts.
type Stats struct {
	Samples         int // samples of committed chunks
	Commits         int
	Attempts        int
	Hedges          int    // attempts that were started as hedges
	Failures        int    // failed attempts and corrupt samples
	Unlabelled      int    // samples without weights versions
	Stale           int    // finished samples that were dropped as stale
	StaleTokens     int    // of stale samples, and of canceled attempts and exported texts that could not finish fresh
	HedgeTokens     int    // of attempts canceled because the slot no longer needed them
	FailedTokens    int    // of failed attempts, rejected samples and canceled steps
	DeliveredTokens int    // of samples of committed chunks
	CanceledEarly   int    // attempts canceled because they could no longer finish fresh
	UnscoredSamples int    // samples whose scoring was given up
	Repeats         int    // times that a committed chunk was returned, the first included
	CopyFailures    int    // chunks whose copy could not be saved
	ProgressDropped uint64 // reports of progress or of a failed copy that were dropped because the message queue was full
}

// Commit is a write of the step object. If Chunk isn't nil, the write must have taken
// effect before the chunk may be sent. A commit without a chunk cancels the step.
type Commit struct {
	State State
	Chunk *Chunk
}

// NewLedger returns a ledger for a plan and the state that its owner has just written.
// Until the first pull, the trainer is assumed to have the last committed chunk. It
// returns an *UnknownCursorError if a manifest on the path to that chunk is missing.
func NewLedger(state State, plan Plan, policy Policy, history *History) (*Ledger, error) {
	if history == nil {
		history = &History{}
	}
	l := &Ledger{
		state: state, plan: plan, policy: policy.withDefaults(), history: history,
		running: map[string]*attempt{}, siblings: map[groupOnEngine]int{}, chunks: map[uint64]Chunk{},
		groupStats: make([]groupStat, len(plan.Groups)),
	}
	for g, group := range plan.Groups {
		l.groupStart = append(l.groupStart, len(l.slots))
		for i := range group.Size {
			l.slots = append(l.slots, slot{sampleKey: sampleKey{g, i}})
		}
	}
	last := uint64(0)
	if n := len(state.Manifests); n > 0 {
		last = state.Manifests[n-1].Cursor
	}
	delivered, err := state.deliveredAt(last)
	if err != nil {
		return nil, err
	}
	l.ackedCursor, l.delivered = last, delivered
	return l, nil
}

// Restore adds a committed chunk that was loaded from a copy. It reports whether the
// chunk matches its manifest; one that doesn't is ignored.
func (l *Ledger) Restore(chunk Chunk) bool {
	m, ok := l.state.manifest(chunk.Cursor)
	if !ok || !chunk.matches(m) {
		return false
	}
	l.chunks[chunk.Cursor] = chunk
	return true
}

// ObserveVersion records the newest weights version that the trainer or the weight store
// has reported. It cancels the attempts that can no longer finish fresh, since a sample
// keeps every version that generated a part of it.
func (l *Ledger) ObserveVersion(newest uint64) {
	if newest <= l.newest {
		return
	}
	l.newest = newest
	for _, a := range l.sortedRunning() {
		if l.tooStale(a.versions) {
			l.cancelAttempt(a, &l.stats.StaleTokens)
			l.stats.CanceledEarly++
		}
	}
}

// tooStale reports whether a sample with these versions would be past the bound.
func (l *Ledger) tooStale(versions []uint64) bool {
	return len(versions) > 0 && !sample.Fresh(versions, l.newest, l.state.MaxSampleAge)
}

// cancelAttempt removes a running attempt, adds its tokens to *waste, and lists it for
// DrainCancels.
func (l *Ledger) cancelAttempt(a *attempt, waste *int) {
	l.removeAttempt(a)
	*waste += a.tokens
	l.cancels = append(l.cancels, a.id)
}

// removeAttempt removes an attempt from the running ones.
func (l *Ledger) removeAttempt(a *attempt) {
	delete(l.running, a.id)
	l.slots[a.slot].running--
	at := groupOnEngine{l.slots[a.slot].group, a.engine}
	if l.siblings[at]--; l.siblings[at] == 0 {
		delete(l.siblings, at)
	}
}

// sortedRunning returns the running attempts sorted by slot and ID, so that decisions
// don't depend on the iteration order of a map.
func (l *Ledger) sortedRunning() []*attempt {
	attempts := make([]*attempt, 0, len(l.running))
	for _, a := range l.running {
		attempts = append(attempts, a)
	}
	slices.SortFunc(attempts, func(a, b *attempt) int {
		if a.slot != b.slot {
			return a.slot - b.slot
		}
		return strings.Compare(a.id, b.id)
	})
	return attempts
}

// attemptID returns the ID of the latest attempt at a slot. It contains the epoch, so
// that attempts of successive owners differ.
func (l *Ledger) attemptID(s *slot) string {
	return fmt.Sprintf("%s/%d/%d.%d.%d", l.state.ID.Key(), l.state.Epoch, s.group, s.index, s.attempts)
}
