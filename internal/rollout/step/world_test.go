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

// weak removes one guard of the protocol, to show that the exploration would
// find the fault that the guard prevents.
type disabled struct {
	previousCheck bool // the trainer takes a chunk whatever it follows
	commitFirst   bool // chunks leave before their commit
	versionCheck  bool // the platform takes every write
	cursorCheck   bool // an owner trusts its own list of cursors
}

// faults are what may still happen in a world.
type faults struct {
	crash, rewind, repeat, release, lose, late, forget int
}

// host is one owner of the step in the model.
type host struct {
	ledger  *Ledger
	version uint64
}

// write is a Put that takes effect after its caller gave up.
type latePut struct {
	value  []byte
	expect uint64
}

// world is a platform, two hosts that may own a step, one trainer and what is
// in flight between them. Generations end at once.
type model struct {
	disabled  disabled
	remaining faults
	object    object.Object
	fault     string // of the next Put: "", "refuse", "lose" or "late"
	hosts     [2]*host
	copies    map[uint64]Chunk
	newest    uint64
	taken     []Chunk // the trainer's path
	inFlight  []Chunk
	late      []latePut
	now       int
	sent      map[uint64]string // of every chunk that ever left
}

// violation is a broken promise.
type violation struct{ reason string }

func (v *violation) Error() string { return v.reason }

var modelPlan = Plan{ID: ID{Workspace: "w", Trainer: "t", Number: 1}, Model: "m", Groups: []Group{{Prompt: "p", Size: 3}}}

func newModel(off disabled, remaining faults) *model {
	return &model{disabled: off, remaining: remaining, newest: 1, copies: map[uint64]Chunk{}, sent: map[uint64]string{}}
}

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

func cloneLedger(l *Ledger) *Ledger {
	c := *l
	c.slots, c.groupStats = slices.Clone(l.slots), slices.Clone(l.groupStats)
	c.siblings = maps.Clone(l.siblings)
	c.running, c.chunks, c.delivered = maps.Clone(l.running), maps.Clone(l.chunks), maps.Clone(l.delivered)
	c.history = &History{}
	return &c
}

func (m *model) Get(context.Context, string) (object.Object, error) {
	if m.object.Version == 0 {
		return object.Object{}, &object.NotFoundError{}
	}
	return m.object, nil
}

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

// Save and Load are the copies.
func (m *model) Save(context.Context, string, []byte) error { return nil }

func (m *model) Load(_ context.Context, key string) ([]byte, error) {
	for cursor, chunk := range m.copies {
		if key == chunkKey(modelPlan.ID, cursor) {
			return wire.Encode(chunk)
		}
	}
	return nil, &object.NotFoundError{Key: key}
}

// takeOver makes host i the owner, as Open does but without its goroutine.
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
	out := put(context.Background(), m, state.ID, value, m.object.Version)
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

func (m *model) time() time.Time { return time.Unix(int64(m.now), 0) }

func (m *model) generate(h *host) {
	for _, assignment := range h.ledger.Assign(m.time(), []Engine{{Name: "e", Version: m.newest, FreeSlots: 9}}) {
		text := fmt.Sprint(assignment.Attempt, " under ", m.newest)
		s := sample.Sample{Text: text, Digest: sample.Digest(text), Tokens: 1, Versions: []uint64{m.newest}}
		h.ledger.Complete(assignment.Attempt, s, m.time())
	}
}

func (m *model) cursor() uint64 {
	if len(m.taken) == 0 {
		return 0
	}
	return m.taken[len(m.taken)-1].Cursor
}

// pull sends a pull to host i. The chunk that it answers is in flight until it
// is taken or lost.
func (m *model) pull(i int, cursor uint64) error {
	h := m.hosts[i]
	answer, err := h.ledger.Pull(Request{Cursor: cursor, Max: 2, Newest: m.newest}, m.time())
	if err != nil {
		return m.checkUnknownCursor(i, err)
	}
	m.generate(h)
	switch {
	case answer.Chunk != nil && len(answer.Chunk.Samples) > 0:
		return m.send(*answer.Chunk)
	case answer.Commit != nil && answer.Commit.Chunk != nil && m.disabled.commitFirst:
		return m.send(*answer.Commit.Chunk)
	}
	return nil
}

// doubt is what an owner does with a cursor that it does not know. No cursor
// that a trainer holds may be unknown to the owner in force.
func (m *model) checkUnknownCursor(i int, err error) error {
	if m.disabled.cursorCheck {
		return nil
	}
	fenced, _ := verify(context.Background(), m, modelPlan.ID, m.hosts[i].ledger.state.Epoch)
	if fenced == nil {
		return &violation{err.Error()}
	}
	m.hosts[i] = nil
	return nil
}

// leave checks a chunk that leaves an owner.
func (m *model) send(chunk Chunk) error {
	data, err := wire.Encode(chunk)
	if err != nil {
		return err
	}
	if !chunk.fresh(m.newest, modelPlan.Bound) {
		return &violation{"stale chunk handed over"}
	}
	if known, ok := m.sent[chunk.Cursor]; ok && known != string(data) {
		return &violation{"two chunks under one cursor"}
	}
	m.sent[chunk.Cursor] = string(data)
	m.inFlight = append(m.inFlight, chunk)
	return nil
}

// take gives the trainer a chunk in flight (rule 1).
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

// write carries out the pending commit of host i.
func (m *model) write(i int, fault string) error {
	h := m.hosts[i]
	commit := h.ledger.Pending()
	value, err := wire.Encode(commit.State)
	if err != nil {
		return err
	}
	m.copies[commit.Chunk.Cursor] = *commit.Chunk
	m.fault = fault
	out := put(context.Background(), m, modelPlan.ID, value, h.version)
	switch {
	case out.fenced != nil:
		m.hosts[i] = nil
	case out.err == nil:
		h.version = out.version
		h.ledger.Committed(m.time())
	}
	return nil
}

// ends runs the world to the end of the step without further faults.
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

// forward lets the owner of the latest epoch, or a new one, serve a pull.
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

func (m *model) latestOwner() int {
	best := -1
	for i, h := range m.hosts {
		if h != nil && (best < 0 || h.ledger.state.Epoch > m.hosts[best].ledger.state.Epoch) {
			best = i
		}
	}
	return best
}

func (m *model) deliveredSamples() map[sampleKey]bool {
	have := map[sampleKey]bool{}
	for _, chunk := range m.taken {
		for _, s := range chunk.Samples {
			have[sampleKey{s.Group, s.Index}] = true
		}
	}
	return have
}

// key identifies a world, so that it is explored once.
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

func sortedCursors(chunks map[uint64]Chunk) []uint64 {
	all := slices.Collect(maps.Keys(chunks))
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all
}
