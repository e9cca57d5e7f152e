package engine

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
)

// sequence is the state of one generation: its progress, its text so far and the
// channel that carries its events to the caller.
type sequence struct {
	request   engine.Request
	textHash  uint64   // determines every token of the text
	prefixes  []uint64 // see engine.PrefixHashes
	prefill   int      // blocks of the prompt and of a resumed text left to compute
	generated int      // tokens generated so far
	total     int      // tokens of the complete text
	reason    string   // Reason of the last event, unless the generation is canceled or exported
	versions  []uint64 // weights versions that computed any block or token so far
	text      strings.Builder
	digest    hash.Hash         // of text
	events    chan engine.Event // has capacity for all events, so the batch never blocks on it
}

// newSequence prepares a generation from its start, or from the end of the text of its
// Resume. The engine generates burst tokens per step.
func newSequence(request engine.Request, burst int) *sequence {
	naturalLength := Length(request.Prompt, request.Seed)
	s := &sequence{
		request:  request,
		textHash: textHash(request.Prompt, request.Seed),
		prefixes: engine.PrefixHashes(request.Adapter, request.Prompt),
		total:    naturalLength,
		reason:   "stop",
		digest:   sha256.New(),
	}
	if request.MaxTokens > 0 && request.MaxTokens < naturalLength {
		s.total = request.MaxTokens
		s.reason = "length"
	}
	if request.Resume != nil {
		s.append(request.Resume.Text)
		s.generated = request.Resume.Tokens
	}
	s.events = make(chan engine.Event, max(0, s.total-s.generated)/burst+3)
	return s
}

// append adds text to the sequence and to its digest.
func (s *sequence) append(text string) {
	s.text.WriteString(text)
	_, _ = io.WriteString(s.digest, text)
}

// generate appends up to burst tokens computed by a weights version, sends them as one
// event with all versions so far, and returns their number.
func (s *sequence) generate(burst int, version uint64) int {
	count := min(burst, s.total-s.generated)
	if count <= 0 {
		return 0
	}
	var text strings.Builder
	for range count {
		text.WriteString(token(s.textHash, s.generated))
		s.generated++
	}
	s.append(text.String())
	s.versions = union(s.versions, version)
	s.events <- engine.Event{ID: s.request.ID, Text: text.String(), Tokens: count, Versions: s.versions}
	return count
}

// finish sends the last event, with the digest of the complete text, and closes the
// channel.
func (s *sequence) finish(reason string) {
	s.events <- engine.Event{
		ID:       s.request.ID,
		Done:     true,
		Tokens:   s.generated,
		Versions: s.versions,
		Digest:   hex.EncodeToString(s.digest.Sum(nil)),
		Reason:   reason,
	}
	close(s.events)
}

// batch holds the running and the waiting generations of one process.
type batch struct {
	running []*sequence
	waiting []*sequence
}

// find returns the generation with an ID, or nil.
func (b *batch) find(id string) *sequence {
	for _, s := range slices.Concat(b.running, b.waiting) {
		if s.request.ID == id {
			return s
		}
	}
	return nil
}

// remove deletes a generation, running or waiting, from the batch.
func (b *batch) remove(s *sequence) {
	same := func(other *sequence) bool { return other == s }
	b.running = slices.DeleteFunc(b.running, same)
	b.waiting = slices.DeleteFunc(b.waiting, same)
}

// admit moves waiting generations into free slots and returns them. The highest
// priority goes first; equal priorities keep their order of arrival.
func (b *batch) admit(slots int) []*sequence {
	admitted := []*sequence{}
	for len(b.running) < slots && len(b.waiting) > 0 {
		best := 0
		for i, s := range b.waiting {
			if s.request.Priority > b.waiting[best].request.Priority {
				best = i
			}
		}
		s := b.waiting[best]
		b.waiting = slices.Delete(b.waiting, best, best+1)
		b.running = append(b.running, s)
		admitted = append(admitted, s)
	}
	return admitted
}

// loop runs the steps of one process until it ends or a poisoned prompt crashes it.
func (e *Engine) loop(b *boot) {
	for e.awaitStep(b) {
		if e.step(b) {
			e.Crash()
			return
		}
	}
}

// awaitStep waits for the next step: a tick if Settings.Ticks is set, otherwise until
// there is a generation and the step time has passed. It returns false once the
// process has ended.
func (e *Engine) awaitStep(b *boot) bool {
	if e.settings.Ticks != nil {
		select {
		case <-e.settings.Ticks:
			return true
		case <-b.gone:
			return false
		}
	}
	if e.idle(b) {
		select {
		case <-b.wake:
		case <-b.gone:
			return false
		}
	}
	timer := time.NewTimer(e.settings.Step)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-b.gone:
		return false
	}
}

// idle reports whether no generation is running or waiting.
func (e *Engine) idle(b *boot) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(b.batch.running)+len(b.batch.waiting) == 0
}

// step admits waiting generations and advances each running one. It returns true, without
// advancing any, if it admits a poisoned prompt: the caller must then crash the process.
func (e *Engine) step(b *boot) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot != b {
		return false
	}
	for _, s := range b.batch.admit(e.settings.Slots) {
		e.counts.Started++
		if e.settings.Poison != "" && strings.Contains(s.request.Prompt, e.settings.Poison) {
			return true
		}
		e.prepare(b, s)
	}
	e.counts.Peak = max(e.counts.Peak, len(b.batch.running))
	for _, s := range slices.Clone(b.batch.running) {
		e.advance(b, s)
	}
	return false
}

// prepare looks up the prompt's blocks in the cache and sets how many are left to
// compute. The blocks of a resumed text are computed again, unless its cache was imported:
// then nothing is left to compute.
func (e *Engine) prepare(b *boot, s *sequence) {
	if resume := s.request.Resume; resume != nil && len(resume.Cache) > 0 {
		s.versions = union(nil, resume.Versions...)
		return
	}
	hits, versions := b.cache.reuse(s.prefixes)
	s.versions = versions
	s.prefill = len(s.prefixes) - hits + s.text.Len()/engine.BlockBytes
	e.counts.Hits += hits
	e.counts.Misses += len(s.prefixes) - hits
}

// advance runs one step of a generation: prefill while blocks are left to compute, then
// tokens until the text is complete.
func (e *Engine) advance(b *boot, s *sequence) {
	if s.prefill > 0 {
		s.prefill -= e.settings.Prefill
		s.versions = union(s.versions, b.version)
		if s.prefill <= 0 {
			b.cache.store(s.prefixes, s.versions, e.settings.Now())
		}
		return
	}
	e.counts.Tokens += s.generate(e.settings.Burst, b.version)
	if s.generated >= s.total {
		b.batch.remove(s)
		s.finish(s.reason)
	}
}
