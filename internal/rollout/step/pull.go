package step

import (
	"cmp"
	"encoding/hex"
	"slices"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/rollout/sample"
)

// Request is a trainer's pull. Cursor names the last chunk that it holds, zero
// for none. Max bounds the samples of a new chunk. Newest is the newest weight
// version that the trainer knows.
type Request struct {
	Cursor uint64 `json:"cursor" cbor:"1,keyasint"`
	Max    int    `json:"max,omitempty" cbor:"2,keyasint,omitempty"`
	Newest uint64 `json:"newest,omitempty" cbor:"3,keyasint,omitempty"`
}

// PullDecision is the ledger's decision on a pull. Exactly one field is set: Chunk
// may be handed over now; Commit must take effect first; or nothing can be
// handed over before Wait has passed or a sample arrives.
type PullDecision struct {
	Chunk  *Chunk
	Commit *Commit
	Wait   time.Duration
}

// Pull decides on a pull (rules 3 to 5).
func (l *Ledger) Pull(r Request, now time.Time) (PullDecision, error) {
	if l.canceling {
		return PullDecision{}, &CanceledError{ID: l.state.ID}
	}
	l.ObserveVersion(r.Newest)
	if l.pending != nil {
		return PullDecision{Commit: l.pending}, nil
	}
	if err := l.move(r.Cursor); err != nil {
		return PullDecision{}, err
	}
	if len(l.held) == len(l.slots) {
		end := Chunk{ID: l.state.ID, Cursor: l.base, Previous: l.base, AllDelivered: true}
		return PullDecision{Chunk: &end}, nil
	}
	if chunk, ok := l.again(); ok {
		return PullDecision{Chunk: &chunk}, nil
	}
	return l.prepare(r.Max, now)
}

// move makes the path of the cursor the one in force (rule 3). The samples
// that the trainer now holds are released; those that it no longer holds are
// wanted again, from a known chunk where there is one.
func (l *Ledger) move(cursor uint64) error {
	if cursor == l.base {
		return nil
	}
	held, err := l.state.path(cursor)
	if err != nil {
		return err
	}
	l.base, l.held = cursor, held
	for at := range held {
		s := &l.slots[l.position(at)]
		s.done, s.scoring, s.resume = nil, false, nil
	}
	for i := range l.slots {
		if held[l.slots[i].place] {
			l.cancelSlot(l.slots[i].place)
		}
	}
	for at, chunk := range l.chunks {
		switch {
		case chunk.Previous == cursor:
			l.reinstate(chunk)
		case at != cursor:
			delete(l.chunks, at)
		}
	}
	return nil
}

// again returns the committed chunk that follows the base, if its bytes are
// known and fresh (rules 4 and 7).
func (l *Ledger) again() (Chunk, bool) {
	m, ok := l.state.follower(l.base)
	if !ok {
		return Chunk{}, false
	}
	chunk, ok := l.chunks[m.Cursor]
	if !ok {
		return Chunk{}, false
	}
	if !chunk.fresh(l.newest, l.state.Bound) {
		l.reinstate(chunk)
		delete(l.chunks, chunk.Cursor)
		return Chunk{}, false
	}
	l.stats.Repeats++
	return chunk, true
}

// reinstate takes the fresh samples of a known chunk as ready ones, so that
// they are not generated again.
func (l *Ledger) reinstate(chunk Chunk) {
	for _, s := range chunk.Samples {
		at := &l.slots[l.position(place{s.Group, s.Index})]
		if at.done == nil && s.Fresh(l.newest, l.state.Bound) {
			at.done = &s
			l.cancelSlot(at.place)
		}
	}
}

// prepare builds the next chunk of the base from the ready samples and makes
// its commit the pending one. Commits are spaced so that the platform's rate
// holds, but for the one that makes the step whole.
func (l *Ledger) prepare(limit int, now time.Time) (PullDecision, error) {
	ready := l.ready()
	wanted := len(l.slots) - len(l.held)
	due := l.last.Add(l.policy.CommitInterval)
	if len(ready) == 0 {
		return PullDecision{Wait: l.policy.CommitInterval}, nil
	}
	if len(ready) < wanted && now.Before(due) {
		return PullDecision{Wait: due.Sub(now)}, nil
	}
	if limit <= 0 || limit > l.policy.Chunk {
		limit = l.policy.Chunk
	}
	ready = fitting(ready[:min(limit, len(ready))])
	chunk := Chunk{ID: l.state.ID, Cursor: l.state.Cursor + 1, Previous: l.base, Samples: ready, AllDelivered: len(ready) == wanted}
	commit, err := l.commit(chunk)
	if err != nil {
		return PullDecision{}, err
	}
	l.pending = commit
	return PullDecision{Commit: commit}, nil
}

// ready returns the fresh samples to deliver, the oldest weights first. Stale
// ones are dropped, so that they are generated again.
func (l *Ledger) ready() []sample.Sample {
	var ready []sample.Sample
	for i := range l.slots {
		s := &l.slots[i]
		if s.done == nil || l.held[s.place] {
			continue
		}
		if !s.done.Fresh(l.newest, l.state.Bound) {
			l.stats.Stale++
			l.stats.StaleTokens += s.done.Tokens
			s.done, s.scoring = nil, false
			continue
		}
		if !s.scoring {
			ready = append(ready, *s.done)
		}
	}
	slices.SortStableFunc(ready, func(a, b sample.Sample) int {
		return cmp.Compare(a.Versions[0], b.Versions[0])
	})
	return ready
}

// fitting returns the samples whose texts fit one chunk, and at least one.
func fitting(ready []sample.Sample) []sample.Sample {
	size := 0
	for i, s := range ready {
		size += len(s.Text)
		if i > 0 && size > maxChunkText {
			return ready[:i]
		}
	}
	return ready
}

func (l *Ledger) commit(chunk Chunk) (*Commit, error) {
	digest, err := digestOf(chunk)
	if err != nil {
		return nil, err
	}
	m := Manifest{Cursor: chunk.Cursor, Previous: chunk.Previous, Digest: digest}
	for _, s := range chunk.Samples {
		sum, err := hex.DecodeString(s.Digest)
		if err != nil {
			return nil, err
		}
		m.SampleRefs = append(m.SampleRefs, SampleRef{Group: s.Group, Index: s.Index, Digest: sum})
	}
	next := l.state
	next.Cursor = chunk.Cursor
	next.Manifests = append(l.kept(), m)
	return &Commit{State: next, Chunk: &chunk}, nil
}

// kept returns the manifests to keep: all of them, unless abandoned branches
// fill the object, in which case only the path in force stays.
func (l *Ledger) kept() []Manifest {
	marks := 0
	for _, m := range l.state.Manifests {
		marks += len(m.SampleRefs)
	}
	if marks <= MaxSamples {
		return slices.Clone(l.state.Manifests)
	}
	var path []Manifest
	for at := l.base; at != 0; {
		m, _ := l.state.manifest(at)
		path = append(path, m)
		at = m.Previous
	}
	slices.Reverse(path)
	return path
}

// Cancel ends the step: no further chunk is prepared, and every attempt is
// canceled. The commit that says so follows the pending one.
func (l *Ledger) Cancel() {
	l.canceling = true
	l.stop()
	l.conclude()
}

// conclude prepares the commit that cancels the step.
func (l *Ledger) conclude() {
	if l.pending != nil || !l.canceling || l.state.Canceled {
		return
	}
	next := l.state
	next.Canceled = true
	l.pending = &Commit{State: next}
}

// Committed says that the pending commit has taken effect.
func (l *Ledger) Committed(now time.Time) {
	commit := l.pending
	if commit == nil {
		return
	}
	l.pending = nil
	l.state = commit.State
	l.stats.Commits++
	if commit.Chunk == nil {
		return
	}
	l.last = now
	l.chunks[commit.Chunk.Cursor] = *commit.Chunk
	l.stats.Samples += len(commit.Chunk.Samples)
	for _, s := range commit.Chunk.Samples {
		l.stats.DeliveredTokens += s.Tokens
	}
	l.conclude()
}

// stop cancels every running attempt.
func (l *Ledger) stop() {
	for _, a := range l.ordered() {
		l.drop(a, &l.stats.FailedTokens)
	}
}
