package step

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/rollout/sample"
)

// Ledger is the state of a step at its owner. It does no I/O and reads no
// clock; one goroutine owns it.
type Ledger struct {
	state   State
	plan    Plan
	policy  Policy
	history *History
	newest  uint64

	ackedCursor  uint64             // cursor that the trainer holds, as far as known
	delivered    map[sampleKey]bool // path of base
	slots        []slot             // ordered by group and index
	groupStart   []int              // position of each group's first slot
	running      map[string]*attempt
	siblings     map[groupOnEngine]int // running attempts of a group on an engine
	chunks       map[uint64]Chunk      // bytes of committed chunks around base
	pending      *Commit
	canceling    bool
	lastCommit   time.Time // of the last commit
	cancels      []string
	groupStats   []groupStat
	stats        Stats
	hedgedTokens float64 // expected tokens of the hedges so far
}

// slot is the state of one wanted sample.
type slot struct {
	sampleKey
	result      *sample.Sample
	scoring     bool // done awaits its score
	running     int
	attempts    int
	failures    int
	notBefore   time.Time // no attempt before
	avoidEngine string    // engine of the last failure
	resume      *engine.Resume
	mostTokens  int // most tokens that an attempt has made
}

// attempt is one running generation.
type attempt struct {
	id            string
	slot          int
	engine        string
	hedge         bool
	started       time.Time
	lastProgress  time.Time // last progress
	tokens        int
	versions      []uint64
	ratedSpeed    float64 // tokens per second that the engine stated
	resumedTokens int     // tokens that the attempt started from
}

type groupOnEngine struct {
	group  int
	engine string
}

type groupStat struct {
	finished, tokens int
}

// Stats counts what a step cost. Tokens are generated tokens.
type Stats struct {
	Samples         int // committed
	Commits         int
	Attempts        int
	Hedges          int
	Failures        int
	Unlabelled      int
	Stale           int
	StaleTokens     int
	HedgeTokens     int // of losers
	FailedTokens    int
	DeliveredTokens int
	CanceledEarly   int
	UnscoredSamples int
	Repeats         int // looks at a committed chunk, the first hand-over included
	CopyFailures    int // chunks without a copy
	ProgressDropped uint64
}

// Commit is a write of the step object that has to take effect before Chunk,
// when there is one, may be handed over.
type Commit struct {
	State State
	Chunk *Chunk
}

// NewLedger returns a ledger for a plan and a state that this owner has just
// written. The trainer is taken to hold the last committed chunk until its
// first pull says otherwise.
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

// Restore gives the ledger the bytes of a committed chunk from a copy. It
// reports whether they are the ones that were committed.
func (l *Ledger) Restore(chunk Chunk) bool {
	m, ok := l.state.manifest(chunk.Cursor)
	if !ok || !chunk.matches(m) {
		return false
	}
	l.chunks[chunk.Cursor] = chunk
	return true
}

// ObserveVersion takes the newest weight version that the trainer or the weight store
// has shown, and cancels the attempts that can no longer finish fresh: a
// version once in a sample stays in it.
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

func (l *Ledger) tooStale(versions []uint64) bool {
	return len(versions) > 0 && !sample.Fresh(versions, l.newest, l.state.Bound)
}

// drop ends an attempt, counts its tokens and asks for its cancelation.
func (l *Ledger) cancelAttempt(a *attempt, waste *int) {
	l.removeAttempt(a)
	*waste += a.tokens
	l.cancels = append(l.cancels, a.id)
}

func (l *Ledger) removeAttempt(a *attempt) {
	delete(l.running, a.id)
	l.slots[a.slot].running--
	at := groupOnEngine{l.slots[a.slot].group, a.engine}
	if l.siblings[at]--; l.siblings[at] == 0 {
		delete(l.siblings, at)
	}
}

// ordered returns the running attempts in a fixed order, so that decisions
// don't depend on the order of a map.
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

func (l *Ledger) attemptID(s *slot) string {
	return fmt.Sprintf("%s/%d/%d.%d.%d", l.state.ID.Key(), l.state.Epoch, s.group, s.index, s.attempts)
}
