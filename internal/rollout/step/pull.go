package step

import (
	"cmp"
	"encoding/hex"
	"slices"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/rollout/sample"
)

// Request is a trainer's pull. Cursor is that of the last chunk that the trainer has
// accepted, zero for none. Max limits the samples of a new chunk; zero leaves it to the
// policy. Newest is the newest weights version known to the trainer.
type Request struct {
	Cursor uint64 `json:"cursor" cbor:"1,keyasint"`
	Max    int    `json:"max,omitempty" cbor:"2,keyasint,omitempty"`
	Newest uint64 `json:"newest,omitempty" cbor:"3,keyasint,omitempty"`
}

// PullDecision is the ledger's decision on a pull. Exactly one field is set: Chunk may be
// sent now; Commit must take effect first; or there is nothing to send before Wait has
// passed or another sample is finished.
type PullDecision struct {
	Chunk  *Chunk
	Commit *Commit
	Wait   time.Duration
}

// Pull decides how to answer a pull (rules 3 to 5).
func (l *Ledger) Pull(r Request, now time.Time) (PullDecision, error) {
	if l.canceling {
		return PullDecision{}, &CanceledError{ID: l.state.ID}
	}
	l.ObserveVersion(r.Newest)
	if l.pending != nil {
		return PullDecision{Commit: l.pending}, nil
	}
	if err := l.moveTo(r.Cursor); err != nil {
		return PullDecision{}, err
	}
	if len(l.delivered) == len(l.slots) {
		end := Chunk{ID: l.state.ID, Cursor: l.ackedCursor, Previous: l.ackedCursor, AllDelivered: true}
		return PullDecision{Chunk: &end}, nil
	}
	if chunk, ok := l.nextCommitted(); ok {
		return PullDecision{Chunk: &chunk}, nil
	}
	return l.prepare(r.Max, now)
}

// moveTo selects the path to the cursor as the path in effect (rule 3). It drops the
// results and cancels the attempts of samples on the path. Samples that are no longer on
// it are needed again; they are restored from the chunk after the cursor where it is
// available.
func (l *Ledger) moveTo(cursor uint64) error {
	if cursor == l.ackedCursor {
		return nil
	}
	delivered, err := l.state.deliveredAt(cursor)
	if err != nil {
		return err
	}
	l.ackedCursor, l.delivered = cursor, delivered
	for at := range delivered {
		s := &l.slots[l.slotIndex(at)]
		s.result, s.scoring, s.resume = nil, false, nil
	}
	for i := range l.slots {
		if delivered[l.slots[i].sampleKey] {
			l.cancelSlot(l.slots[i].sampleKey)
		}
	}
	for at, chunk := range l.chunks {
		switch {
		case chunk.Previous == cursor:
			l.restoreSamples(chunk)
		case at != cursor:
			delete(l.chunks, at)
		}
	}
	return nil
}

// nextCommitted returns the newest committed chunk directly after the acknowledged cursor,
// if its bytes are available and all its samples fresh (rules 4 and 7). If only some are
// fresh, it makes these ready for another chunk.
func (l *Ledger) nextCommitted() (Chunk, bool) {
	m, ok := l.state.newestAfter(l.ackedCursor)
	if !ok {
		return Chunk{}, false
	}
	chunk, ok := l.chunks[m.Cursor]
	if !ok {
		return Chunk{}, false
	}
	if !chunk.fresh(l.newest, l.state.MaxSampleAge) {
		l.restoreSamples(chunk)
		delete(l.chunks, chunk.Cursor)
		return Chunk{}, false
	}
	l.stats.Repeats++
	return chunk, true
}

// restoreSamples makes the fresh samples of a committed chunk ready for another chunk, so
// that they aren't generated again.
func (l *Ledger) restoreSamples(chunk Chunk) {
	for _, s := range chunk.Samples {
		at := &l.slots[l.slotIndex(sampleKey{s.Group, s.Index})]
		if at.result == nil && s.Fresh(l.newest, l.state.MaxSampleAge) {
			at.result = &s
			l.cancelSlot(at.sampleKey)
		}
	}
}

// prepare builds the next chunk after the acknowledged cursor from the ready samples, and
// makes its commit the pending one. It keeps CommitInterval between commits, to stay
// within the write rate of the platform, until all missing samples are ready.
func (l *Ledger) prepare(limit int, now time.Time) (PullDecision, error) {
	ready := l.ready()
	wanted := len(l.slots) - len(l.delivered)
	due := l.lastCommit.Add(l.policy.CommitInterval)
	if len(ready) == 0 {
		return PullDecision{Wait: l.policy.CommitInterval}, nil
	}
	if len(ready) < wanted && now.Before(due) {
		return PullDecision{Wait: due.Sub(now)}, nil
	}
	if limit <= 0 || limit > l.policy.Chunk {
		limit = l.policy.Chunk
	}
	ready = limitBytes(ready[:min(limit, len(ready))])
	chunk := Chunk{ID: l.state.ID, Cursor: l.state.Cursor + 1, Previous: l.ackedCursor, Samples: ready, AllDelivered: len(ready) == wanted}
	commit, err := l.commit(chunk)
	if err != nil {
		return PullDecision{}, err
	}
	l.pending = commit
	return PullDecision{Commit: commit}, nil
}

// ready returns the fresh samples that can be delivered, those of the oldest weights
// first. It drops stale ones, so that they are generated again.
func (l *Ledger) ready() []sample.Sample {
	var ready []sample.Sample
	for i := range l.slots {
		s := &l.slots[i]
		if s.result == nil || l.delivered[s.sampleKey] {
			continue
		}
		if !s.result.Fresh(l.newest, l.state.MaxSampleAge) {
			l.stats.Stale++
			l.stats.StaleTokens += s.result.Tokens
			s.result, s.scoring = nil, false
			continue
		}
		if !s.scoring {
			ready = append(ready, *s.result)
		}
	}
	slices.SortStableFunc(ready, func(a, b sample.Sample) int {
		return cmp.Compare(a.Versions[0], b.Versions[0])
	})
	return ready
}

// limitBytes returns the first samples whose texts fit into maxChunkBytes together, but
// at least one.
func limitBytes(ready []sample.Sample) []sample.Sample {
	size := 0
	for i, s := range ready {
		size += len(s.Text)
		if i > 0 && size > maxChunkBytes {
			return ready[:i]
		}
	}
	return ready
}

// commit returns the commit of a chunk: its manifest added to the state.
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
	next.Manifests = append(l.manifestsToKeep(), m)
	return &Commit{State: next, Chunk: &chunk}, nil
}

// manifestsToKeep returns all manifests, unless they list more than MaxSamples samples
// because of abandoned branches; then it returns only those of the path in effect.
func (l *Ledger) manifestsToKeep() []Manifest {
	refs := 0
	for _, m := range l.state.Manifests {
		refs += len(m.SampleRefs)
	}
	if refs <= MaxSamples {
		return slices.Clone(l.state.Manifests)
	}
	var path []Manifest
	for at := l.ackedCursor; at != 0; {
		m, _ := l.state.manifest(at)
		path = append(path, m)
		at = m.Previous
	}
	slices.Reverse(path)
	return path
}

// Cancel cancels the step and all running attempts. No further chunk is prepared. The
// commit that records the cancelation follows a pending one.
func (l *Ledger) Cancel() {
	l.canceling = true
	l.cancelRunning()
	l.prepareCancel()
}

// prepareCancel makes the commit that records the cancelation the pending one, once the
// step is being canceled and no other commit is pending.
func (l *Ledger) prepareCancel() {
	if l.pending != nil || !l.canceling || l.state.Canceled {
		return
	}
	next := l.state
	next.Canceled = true
	l.pending = &Commit{State: next}
}

// Committed records that the pending commit has taken effect.
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
	l.lastCommit = now
	l.chunks[commit.Chunk.Cursor] = *commit.Chunk
	l.stats.Samples += len(commit.Chunk.Samples)
	for _, s := range commit.Chunk.Samples {
		l.stats.DeliveredTokens += s.Tokens
	}
	l.prepareCancel()
}

// cancelRunning cancels every running attempt.
func (l *Ledger) cancelRunning() {
	for _, a := range l.sortedRunning() {
		l.cancelAttempt(a, &l.stats.FailedTokens)
	}
}
