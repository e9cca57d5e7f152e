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
type weak struct {
	anyPrevious   bool // the trainer takes a chunk whatever it follows
	early         bool // chunks leave before their commit
	unconditional bool // the platform takes every write
	credulous     bool // an owner trusts its own list of cursors
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
type write struct {
	value  []byte
	expect uint64
}

// world is a platform, two hosts that may own a step, one trainer and what is
// in flight between them. Generations end at once.
type world struct {
	weak    weak
	left    faults
	object  object.Object
	fault   string // of the next Put: "", "refuse", "lose" or "late"
	hosts   [2]*host
	copies  map[uint64]Chunk
	newest  uint64
	held    []Chunk // the trainer's path
	replies []Chunk
	late    []write
	now     int
	digests map[uint64]string // of every chunk that ever left
}

// violation is a broken promise.
type violation struct{ what string }

func (v *violation) Error() string { return v.what }

var explored = Plan{ID: ID{Workspace: "w", Trainer: "t", Number: 1}, Model: "m", Groups: []Group{{Prompt: "p", Size: 3}}}

func newWorld(w weak, left faults) *world {
	return &world{weak: w, left: left, newest: 1, copies: map[uint64]Chunk{}, digests: map[uint64]string{}}
}

func (w *world) clone() *world {
	c := *w
	for i, h := range w.hosts {
		if h != nil {
			c.hosts[i] = &host{cloneLedger(h.ledger), h.version}
		}
	}
	c.copies, c.digests = maps.Clone(w.copies), maps.Clone(w.digests)
	c.held, c.replies, c.late = slices.Clone(w.held), slices.Clone(w.replies), slices.Clone(w.late)
	return &c
}

func cloneLedger(l *Ledger) *Ledger {
	c := *l
	c.slots, c.groups = slices.Clone(l.slots), slices.Clone(l.groups)
	c.siblings = maps.Clone(l.siblings)
	c.running, c.chunks, c.held = maps.Clone(l.running), maps.Clone(l.chunks), maps.Clone(l.held)
	c.history = &History{}
	return &c
}

func (w *world) Get(context.Context, string) (object.Object, error) {
	if w.object.Version == 0 {
		return object.Object{}, &object.NotFoundError{}
	}
	return w.object, nil
}

func (w *world) Put(_ context.Context, key string, value []byte, expect uint64) (object.Object, error) {
	fault := w.fault
	w.fault = ""
	switch fault {
	case "refuse":
		return object.Object{}, &object.OutageError{Err: errors.New("down")}
	case "late":
		w.late = append(w.late, write{value, expect})
		return object.Object{}, &object.UnknownError{Key: key, Err: errors.New("timeout")}
	}
	if w.object.Version != expect && !w.weak.unconditional {
		return object.Object{}, &object.ConflictError{Key: key, Want: expect, Have: w.object.Version}
	}
	w.object = object.Object{Key: key, Version: w.object.Version + 1, Value: value}
	if fault == "lose" {
		return object.Object{}, &object.UnknownError{Key: key, Err: errors.New("timeout")}
	}
	return w.object, nil
}

// Save and Load are the copies.
func (w *world) Save(context.Context, string, []byte) error { return nil }

func (w *world) Load(_ context.Context, key string) ([]byte, error) {
	for cursor, chunk := range w.copies {
		if key == chunkKey(explored.ID, cursor) {
			return wire.Encode(chunk)
		}
	}
	return nil, &object.NotFoundError{Key: key}
}

// takeOver makes host i the owner, as Open does but without its goroutine.
func (w *world) takeOver(i int) error {
	state := State{ID: explored.ID, GroupSizes: explored.sizes()}
	if w.object.Version > 0 {
		decoded, err := wire.Decode[State](w.object.Value)
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
	out := put(context.Background(), w, state.ID, value, w.object.Version)
	if out.version == 0 {
		return out.err
	}
	ledger, err := NewLedger(state, explored, Policy{CommitInterval: time.Nanosecond}, nil)
	if err != nil {
		return &violation{err.Error()}
	}
	restore(context.Background(), w, ledger)
	w.hosts[i] = &host{ledger, out.version}
	w.generate(w.hosts[i])
	return nil
}

func (w *world) time() time.Time { return time.Unix(int64(w.now), 0) }

func (w *world) generate(h *host) {
	for _, work := range h.ledger.Assign(w.time(), []Engine{{Name: "e", Version: w.newest, FreeSlots: 9}}) {
		text := fmt.Sprint(work.Attempt, " under ", w.newest)
		s := sample.Sample{Text: text, Digest: sample.Digest(text), Tokens: 1, Versions: []uint64{w.newest}}
		h.ledger.Complete(work.Attempt, s, w.time())
	}
}

func (w *world) cursor() uint64 {
	if len(w.held) == 0 {
		return 0
	}
	return w.held[len(w.held)-1].Cursor
}

// pull sends a pull to host i. The chunk that it answers is in flight until it
// is taken or lost.
func (w *world) pull(i int, cursor uint64) error {
	h := w.hosts[i]
	answer, err := h.ledger.Pull(Request{Cursor: cursor, Max: 2, Newest: w.newest}, w.time())
	if err != nil {
		return w.doubt(i, err)
	}
	w.generate(h)
	switch {
	case answer.Chunk != nil && len(answer.Chunk.Samples) > 0:
		return w.leave(*answer.Chunk)
	case answer.Commit != nil && answer.Commit.Chunk != nil && w.weak.early:
		return w.leave(*answer.Commit.Chunk)
	}
	return nil
}

// doubt is what an owner does with a cursor that it does not know. No cursor
// that a trainer holds may be unknown to the owner in force.
func (w *world) doubt(i int, err error) error {
	if w.weak.credulous {
		return nil
	}
	fenced, _ := verify(context.Background(), w, explored.ID, w.hosts[i].ledger.state.Epoch)
	if fenced == nil {
		return &violation{err.Error()}
	}
	w.hosts[i] = nil
	return nil
}

// leave checks a chunk that leaves an owner.
func (w *world) leave(chunk Chunk) error {
	data, err := wire.Encode(chunk)
	if err != nil {
		return err
	}
	if !chunk.fresh(w.newest, explored.Bound) {
		return &violation{"stale chunk handed over"}
	}
	if known, ok := w.digests[chunk.Cursor]; ok && known != string(data) {
		return &violation{"two chunks under one cursor"}
	}
	w.digests[chunk.Cursor] = string(data)
	w.replies = append(w.replies, chunk)
	return nil
}

// take gives the trainer a chunk in flight (rule 1).
func (w *world) take(chunk Chunk) error {
	if chunk.Previous != w.cursor() && !w.weak.anyPrevious {
		return nil
	}
	have := map[place]bool{}
	for _, held := range w.held {
		for _, s := range held.Samples {
			have[place{s.Group, s.Index}] = true
		}
	}
	for _, s := range chunk.Samples {
		if have[place{s.Group, s.Index}] {
			return &violation{"sample delivered twice"}
		}
	}
	w.held = append(w.held, chunk)
	return nil
}

// write carries out the pending commit of host i.
func (w *world) write(i int, fault string) error {
	h := w.hosts[i]
	commit := h.ledger.Pending()
	value, err := wire.Encode(commit.State)
	if err != nil {
		return err
	}
	w.copies[commit.Chunk.Cursor] = *commit.Chunk
	w.fault = fault
	out := put(context.Background(), w, explored.ID, value, h.version)
	switch {
	case out.fenced != nil:
		w.hosts[i] = nil
	case out.err == nil:
		h.version = out.version
		h.ledger.Committed(w.time())
	}
	return nil
}

// ends runs the world to the end of the step without further faults.
func (w *world) ends() error {
	w = w.clone()
	w.left = faults{}
	for range 40 {
		w.now++
		if len(w.whole()) == 3 {
			return nil
		}
		if err := w.forward(); err != nil {
			return err
		}
	}
	return &violation{"step stuck"}
}

// forward lets the owner of the latest epoch, or a new one, serve a pull.
func (w *world) forward() error {
	i := w.latest()
	if i < 0 {
		return w.takeOver(0)
	}
	if w.hosts[i].ledger.Pending() != nil {
		return w.write(i, "")
	}
	w.replies = nil
	if err := w.pull(i, w.cursor()); err != nil || len(w.replies) == 0 {
		return err
	}
	return w.take(w.replies[0])
}

func (w *world) latest() int {
	best := -1
	for i, h := range w.hosts {
		if h != nil && (best < 0 || h.ledger.state.Epoch > w.hosts[best].ledger.state.Epoch) {
			best = i
		}
	}
	return best
}

func (w *world) whole() map[place]bool {
	have := map[place]bool{}
	for _, chunk := range w.held {
		for _, s := range chunk.Samples {
			have[place{s.Group, s.Index}] = true
		}
	}
	return have
}

// key identifies a world, so that it is explored once.
func (w *world) key() string {
	var b strings.Builder
	fmt.Fprint(&b, w.left, w.newest, string(w.object.Value), len(w.late))
	for _, l := range w.late {
		fmt.Fprint(&b, "|", l.expect == w.object.Version, string(l.value))
	}
	for _, h := range w.hosts {
		if h == nil {
			b.WriteString("|-")
			continue
		}
		l := h.ledger
		fmt.Fprint(&b, "|", h.version == w.object.Version, l.state.Epoch, l.state.Cursor, l.base, l.newest, l.pending != nil)
		for _, s := range l.slots {
			if s.done != nil {
				b.WriteString(s.done.Attempt)
			}
			b.WriteByte(',')
		}
		fmt.Fprint(&b, cursors(l.chunks))
	}
	fmt.Fprint(&b, "|", cursors(w.copies))
	for _, c := range w.held {
		fmt.Fprint(&b, "h", c.Cursor)
	}
	for _, c := range w.replies {
		fmt.Fprint(&b, "r", c.Cursor)
	}
	return b.String()
}

func cursors(chunks map[uint64]Chunk) []uint64 {
	all := slices.Collect(maps.Keys(chunks))
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all
}
