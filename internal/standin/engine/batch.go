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

// sequence is one generation.
type sequence struct {
	request  engine.Request
	from     uint64
	prefixes []uint64
	prefill  int // prompt blocks still to compute
	next     int // tokens there are
	total    int // tokens at the end
	reason   string
	versions []uint64 // versions behind any block or token so far
	text     strings.Builder
	digest   hash.Hash
	events   chan engine.Event // holds all events, so the batch never waits
}

// newSequence prepares a generation from its start, or from where the resumed
// one stood.
func newSequence(request engine.Request, burst int) *sequence {
	natural := Length(request.Prompt, request.Seed)
	s := &sequence{
		request:  request,
		from:     source(request.Prompt, request.Seed),
		prefixes: engine.PrefixHashes(request.Adapter, request.Prompt),
		total:    natural,
		reason:   "stop",
		digest:   sha256.New(),
	}
	if request.MaxTokens > 0 && request.MaxTokens < natural {
		s.total = request.MaxTokens
		s.reason = "length"
	}
	if request.Resume != nil {
		s.append(request.Resume.Text)
		s.next = request.Resume.Tokens
	}
	s.events = make(chan engine.Event, max(0, s.total-s.next)/burst+3)
	return s
}

func (s *sequence) append(text string) {
	s.text.WriteString(text)
	_, _ = io.WriteString(s.digest, text)
}

// generate makes up to burst tokens under a version and sends their event.
func (s *sequence) generate(burst int, version uint64) int {
	count := min(burst, s.total-s.next)
	if count <= 0 {
		return 0
	}
	var text strings.Builder
	for range count {
		text.WriteString(token(s.from, s.next))
		s.next++
	}
	s.append(text.String())
	s.versions = union(s.versions, version)
	s.events <- engine.Event{ID: s.request.ID, Text: text.String(), Tokens: count, Versions: s.versions}
	return count
}

// finish sends the last event.
func (s *sequence) finish(reason string) {
	s.events <- engine.Event{
		ID:       s.request.ID,
		Done:     true,
		Tokens:   s.next,
		Versions: s.versions,
		Digest:   hex.EncodeToString(s.digest.Sum(nil)),
		Reason:   reason,
	}
	close(s.events)
}

// batch holds the generations that run and wait.
type batch struct {
	running []*sequence
	waiting []*sequence
}

// find returns a generation by its ID.
func (b *batch) find(id string) *sequence {
	for _, s := range slices.Concat(b.running, b.waiting) {
		if s.request.ID == id {
			return s
		}
	}
	return nil
}

// remove takes a generation out.
func (b *batch) remove(s *sequence) {
	same := func(other *sequence) bool { return other == s }
	b.running = slices.DeleteFunc(b.running, same)
	b.waiting = slices.DeleteFunc(b.waiting, same)
}

// admit moves waiting generations into free slots, those of the highest
// priority first, and returns them.
func (b *batch) admit(slots int) []*sequence {
	admitted := []*sequence{}
	for len(b.running) < slots && len(b.waiting) > 0 {
		at := 0
		for i, s := range b.waiting {
			if s.request.Priority > b.waiting[at].request.Priority {
				at = i
			}
		}
		s := b.waiting[at]
		b.waiting = slices.Delete(b.waiting, at, at+1)
		b.running = append(b.running, s)
		admitted = append(admitted, s)
	}
	return admitted
}

// loop runs the batch of one process.
func (e *Engine) loop(b *boot) {
	for e.awaitStep(b) {
		if e.step(b) {
			e.Crash()
			return
		}
	}
}

// awaitStep waits until there is work and its time has come.
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

func (e *Engine) idle(b *boot) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(b.batch.running)+len(b.batch.waiting) == 0
}

// step advances every running generation by one step. It returns true when a
// poisoned prompt crashes the process.
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

// prepare looks up the prompt's blocks. An imported cache needs no prefill.
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
	if s.next >= s.total {
		b.batch.remove(s)
		s.finish(s.reason)
	}
}
