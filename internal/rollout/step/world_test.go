package step

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/rollout/sample"
)

// disabled lists the checks of the protocol that a model switches off, to show that the
// exploration finds the fault that each check prevents.
type disabled struct {
	previousCheck bool // without it, the trainer accepts a chunk after any cursor
	commitFirst   bool // without it, chunks are sent before their commit
	versionCheck  bool // without it, the platform accepts every write
	cursorCheck   bool // without it, an owner doesn't read the object on an unknown cursor
}

// faults are the numbers of faults and other optional events that may still happen:
// crash, an owner loses its state; rewind, the trainer returns to an earlier cursor;
// repeat, an earlier pull arrives again; release, a new weights version is released and
// all chunks in flight are lost; lose, a write fails or its response is lost after it
// took effect; late, a write takes effect after it has timed out; forget, all copies are
// lost.
type faults struct {
	crash, rewind, repeat, release, lose, late, forget int
}

// host is one owner of the step in the model, with the version of the step object that
// it has last written.
type host struct {
	ledger  *Ledger
	version uint64
}

// latePut is a Put that may take effect after it has timed out.
type latePut struct {
	value  []byte
	expect uint64
}

// model is a state of the checked system: the platform, two hosts that may own the step,
// one trainer, and the messages in flight between them. Generations finish at once.
type model struct {
	disabled  disabled
	remaining faults
	object    object.Object
	fault     string // fault of the next Put: "", "refuse", "lose" or "late"
	hosts     [2]*host
	copies    map[uint64]Chunk
	newest    uint64
	taken     []Chunk // chunks that the trainer has accepted
	inFlight  []Chunk // sent to the trainer and not yet received
	late      []latePut
	now       int
	sent      map[uint64]string // encoded bytes of every chunk ever sent, by cursor
}

// violation is an error that reports a violated invariant of the protocol.
type violation struct{ reason string }

func (v *violation) Error() string { return v.reason }

// modelPlan is the plan of the step in the model.
var modelPlan = Plan{ID: ID{Workspace: "w", Trainer: "t", Number: 1}, Model: "m", Groups: []Group{{Prompt: "p", Size: 3}}}

// newModel returns the initial state.
func newModel(off disabled, remaining faults) *model {
	return &model{disabled: off, remaining: remaining, newest: 1, copies: map[uint64]Chunk{}, sent: map[uint64]string{}}
}

// clone returns a deep copy of a state.
func (m *model) clone() *model {
	c := *m
	for i, h := range m.hosts {
		if h != nil {
			c.hosts[i] = &host{cloneLedger(h.ledger), h.version}
		}
	}
	c.copies, c.sent = maps.Clone(m.copies), maps.Clone(m.sent)
	c.taken, c.inFlight, c.late = slices.Clone(m.taken), slices.Clone(m.inFlight), slices.Clone(m.late)
	return &c
}

// cloneLedger returns a copy of a ledger, but with an empty history.
func cloneLedger(l *Ledger) *Ledger {
	c := *l
	c.slots, c.groupStats = slices.Clone(l.slots), slices.Clone(l.groupStats)
	c.siblings = maps.Clone(l.siblings)
	c.running, c.chunks, c.delivered = maps.Clone(l.running), maps.Clone(l.chunks), maps.Clone(l.delivered)
	c.history = &History{}
	return &c
}

// Get implements Store.
func (m *model) Get(context.Context, string) (object.Object, error) {
	if m.object.Version == 0 {
		return object.Object{}, &object.NotFoundError{}
	}
	return m.object, nil
}

// Put implements Store. It applies the fault of the model and clears it.
func (m *model) Put(_ context.Context, key string, value []byte, expect uint64) (object.Object, error) {
	fault := m.fault
	m.fault = ""
	switch fault {
	case "refuse":
		return object.Object{}, &object.OutageError{Err: errors.New("down")}
	case "late":
		m.late = append(m.late, latePut{value, expect})
		return object.Object{}, &object.UnknownError{Key: key, Err: errors.New("timeout")}
	}
	if m.object.Version != expect && !m.disabled.versionCheck {
		return object.Object{}, &object.ConflictError{Key: key, Want: expect, Have: m.object.Version}
	}
	m.object = object.Object{Key: key, Version: m.object.Version + 1, Value: value}
	if fault == "lose" {
		return object.Object{}, &object.UnknownError{Key: key, Err: errors.New("timeout")}
	}
	return m.object, nil
}

// Save implements Copies. The model saves copies in write instead.
func (m *model) Save(context.Context, string, []byte) error { return nil }

// Load implements Copies.
func (m *model) Load(_ context.Context, key string) ([]byte, error) {
	for cursor, chunk := range m.copies {
		if key == chunkKey(modelPlan.ID, cursor) {
			return wire.Encode(chunk)
		}
	}
	return nil, &object.NotFoundError{Key: key}
}

// takeOver makes host i the owner of the step as Open does, but starts no goroutine.
func (m *model) takeOver(i int) error {
	state := State{ID: modelPlan.ID, GroupSizes: modelPlan.sizes()}
	if m.object.Version > 0 {
		decoded, err := wire.Decode[State](m.object.Value)
		if err != nil {
			return &violation{err.Error()}
		}
		state = decoded
	}
	state.Epoch++
	state.Owner = fmt.Sprint("h", i)
	value, err := wire.Encode(state)
	if err != nil {
		return err
	}
	out := writeObject(context.Background(), m, state.ID, value, m.object.Version)
	if out.version == 0 {
		return out.err
	}
	ledger, err := NewLedger(state, modelPlan, Policy{CommitInterval: time.Nanosecond}, nil)
	if err != nil {
		return &violation{err.Error()}
	}
	restore(context.Background(), m, ledger)
	m.hosts[i] = &host{ledger, out.version}
	m.generate(m.hosts[i])
	return nil
}

// time returns the current time of the model, a second per action.
func (m *model) time() time.Time { return time.Unix(int64(m.now), 0) }

// generate finishes a sample for every slot that the ledger of a host assigns.
func (m *model) generate(h *host) {
	for _, assignment := range h.ledger.Assign(m.time(), []Engine{{Name: "e", Version: m.newest, FreeSlots: 9}}) {
		text := fmt.Sprint(assignment.Attempt, " under ", m.newest)
		s := sample.Sample{Text: text, Digest: sample.Digest(text), Tokens: 1, Versions: []uint64{m.newest}}
		h.ledger.Complete(assignment.Attempt, s, m.time())
	}
}

// cursor returns the cursor of the last chunk that the trainer has accepted.
func (m *model) cursor() uint64 {
	if len(m.taken) == 0 {
		return 0
	}
	return m.taken[len(m.taken)-1].Cursor
}

// pull handles a pull at host i. A chunk in its response is in flight until the trainer
// receives it.
func (m *model) pull(i int, cursor uint64) error {
	h := m.hosts[i]
	decision, err := h.ledger.Pull(Request{Cursor: cursor, Max: 2, Newest: m.newest}, m.time())
	if err != nil {
		return m.checkUnknownCursor(i, err)
	}
	m.generate(h)
	switch {
	case decision.Chunk != nil && len(decision.Chunk.Samples) > 0:
		return m.send(*decision.Chunk)
	case decision.Commit != nil && decision.Commit.Chunk != nil && m.disabled.commitFirst:
		return m.send(*decision.Commit.Chunk)
	}
	return nil
}

// checkUnknownCursor reads the object as an owner does on an unknown cursor. A cursor of
// the trainer that is unknown to the current owner is a violation.
func (m *model) checkUnknownCursor(i int, err error) error {
	if m.disabled.cursorCheck {
		return nil
	}
	fenced, _ := verifyEpoch(context.Background(), m, modelPlan.ID, m.hosts[i].ledger.state.Epoch)
	if fenced == nil {
		return &violation{err.Error()}
	}
	m.hosts[i] = nil
	return nil
}

// send puts a chunk in flight. A stale chunk, or a chunk that differs from one sent with
// the same cursor, is a violation.
func (m *model) send(chunk Chunk) error {
	data, err := wire.Encode(chunk)
	if err != nil {
		return err
	}
	if !chunk.fresh(m.newest, modelPlan.MaxSampleAge) {
		return &violation{"stale chunk sent"}
	}
	if known, ok := m.sent[chunk.Cursor]; ok && known != string(data) {
		return &violation{"two chunks with one cursor"}
	}
	m.sent[chunk.Cursor] = string(data)
	m.inFlight = append(m.inFlight, chunk)
	return nil
}

// receive delivers a chunk to the trainer, which accepts it only if it follows its cursor
// (rule 1). A sample that is delivered twice is a violation.
func (m *model) receive(chunk Chunk) error {
	if chunk.Previous != m.cursor() && !m.disabled.previousCheck {
		return nil
	}
	have := map[sampleKey]bool{}
	for _, taken := range m.taken {
		for _, s := range taken.Samples {
			have[sampleKey{s.Group, s.Index}] = true
		}
	}
	for _, s := range chunk.Samples {
		if have[sampleKey{s.Group, s.Index}] {
			return &violation{"sample delivered twice"}
		}
	}
	m.taken = append(m.taken, chunk)
	return nil
}

// write writes the pending commit of host i with a fault, none if it is empty.
func (m *model) write(i int, fault string) error {
	h := m.hosts[i]
	commit := h.ledger.Pending()
	value, err := wire.Encode(commit.State)
	if err != nil {
		return err
	}
	m.copies[commit.Chunk.Cursor] = *commit.Chunk
	m.fault = fault
	out := writeObject(context.Background(), m, modelPlan.ID, value, h.version)
	switch {
	case out.fenced != nil:
		m.hosts[i] = nil
	case out.err == nil:
		h.version = out.version
		h.ledger.Committed(m.time())
	}
	return nil
}

// checkCompletes checks that the step completes if no further faults happen.
func (m *model) checkCompletes() error {
	m = m.clone()
	m.remaining = faults{}
	for range 40 {
		m.now++
		if len(m.deliveredSamples()) == 3 {
			return nil
		}
		if err := m.advance(); err != nil {
			return err
		}
	}
	return &violation{"step stuck"}
}

// advance makes the owner of the latest epoch write its pending commit or answer a pull.
// If there is no owner, host 0 takes over the step.
func (m *model) advance() error {
	i := m.latestOwner()
	if i < 0 {
		return m.takeOver(0)
	}
	if m.hosts[i].ledger.Pending() != nil {
		return m.write(i, "")
	}
	m.inFlight = nil
	if err := m.pull(i, m.cursor()); err != nil || len(m.inFlight) == 0 {
		return err
	}
	return m.receive(m.inFlight[0])
}

// latestOwner returns the index of the host with the highest epoch, -1 if there is none.
func (m *model) latestOwner() int {
	best := -1
	for i, h := range m.hosts {
		if h != nil && (best < 0 || h.ledger.state.Epoch > m.hosts[best].ledger.state.Epoch) {
			best = i
		}
	}
	return best
}

// deliveredSamples returns the samples that the trainer has accepted.
func (m *model) deliveredSamples() map[sampleKey]bool {
	have := map[sampleKey]bool{}
	for _, chunk := range m.taken {
		for _, s := range chunk.Samples {
			have[sampleKey{s.Group, s.Index}] = true
		}
	}
	return have
}

// key returns a string that identifies a state, so that each one is explored once.
func (m *model) key() string {
	var b strings.Builder
	fmt.Fprint(&b, m.remaining, m.newest, string(m.object.Value), len(m.late))
	for _, l := range m.late {
		fmt.Fprint(&b, "|", l.expect == m.object.Version, string(l.value))
	}
	for _, h := range m.hosts {
		if h == nil {
			b.WriteString("|-")
			continue
		}
		l := h.ledger
		fmt.Fprint(&b, "|", h.version == m.object.Version, l.state.Epoch, l.state.Cursor, l.ackedCursor, l.newest, l.pending != nil)
		for _, s := range l.slots {
			if s.result != nil {
				b.WriteString(s.result.Attempt)
			}
			b.WriteByte(',')
		}
		fmt.Fprint(&b, sortedCursors(l.chunks))
	}
	fmt.Fprint(&b, "|", sortedCursors(m.copies))
	for _, c := range m.taken {
		fmt.Fprint(&b, "h", c.Cursor)
	}
	for _, c := range m.inFlight {
		fmt.Fprint(&b, "r", c.Cursor)
	}
	return b.String()
}

// sortedCursors returns the cursors of the chunks in ascending order.
func sortedCursors(chunks map[uint64]Chunk) []uint64 {
	all := slices.Collect(maps.Keys(chunks))
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all
}
