package gate

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// StaleError says that a table was not taken because one at least as new is in
// force: an accepted configuration never reverts.
type StaleError struct {
	Version uint64
	InForce uint64
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("table of version %d is not newer than %d", e.Version, e.InForce)
}

// Swap puts a newer table in force, ends the streams of every key that it
// lacks, and returns these callers ordered by workspace and key. A table that
// is not newer is refused with a *StaleError.
func (g *Gate) Swap(next *Table) ([]Caller, error) {
	gone, ends, err := g.swap(next)
	for _, end := range ends {
		end()
	}
	return gone, err
}

func (g *Gate) swap(next *Table) ([]Caller, []func(), error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.table.Load()
	if old == nil {
		g.table.Store(next)
		return nil, nil, nil
	}
	if next.Version <= old.Version {
		return nil, nil, &StaleError{Version: next.Version, InForce: old.Version}
	}
	g.table.Store(next)
	gone := old.Withdrawn(next)
	slices.SortFunc(gone, compareCallers)
	return gone, g.takeStreams(func(c Caller) bool { return !next.holds(c) }), nil
}

func compareCallers(a, b Caller) int {
	return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.KeyID, b.KeyID))
}

// RegisterStream registers a stream of an admitted caller. end is called once if the
// key is withdrawn while the stream runs; it must not block and must not call
// the gate. leave is called when the stream is over. RegisterStream checks the key
// again, because the table may have changed after Check.
func (g *Gate) RegisterStream(caller Caller, end func()) (leave func(), err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.table.Load()
	if t == nil {
		return nil, &RefusedError{Reason: ReasonNotReady}
	}
	if !t.holds(caller) {
		return nil, &RefusedError{Reason: ReasonUnknown}
	}
	g.next++
	id := g.next
	if g.streams == nil {
		g.streams = make(map[Caller]map[uint64]func())
	}
	if g.streams[caller] == nil {
		g.streams[caller] = make(map[uint64]func())
	}
	g.streams[caller][id] = end
	return func() { g.leave(caller, id) }, nil
}

func (g *Gate) leave(caller Caller, id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.streams[caller], id)
	if len(g.streams[caller]) == 0 {
		delete(g.streams, caller)
	}
}

// ExpireGrace ends the streams of every workspace whose grace has run out on a
// host without news since cutOff, and returns how many it ended. The host
// calls it each second while it is cut off.
func (g *Gate) ExpireGrace(cutOff, now time.Time) int {
	t := g.table.Load()
	if t == nil || cutOff.IsZero() {
		return 0
	}
	g.mu.Lock()
	ends := g.takeStreams(func(c Caller) bool {
		return !c.Anonymous() && !t.inGrace(c.Workspace, cutOff, now)
	})
	g.mu.Unlock()
	for _, end := range ends {
		end()
	}
	return len(ends)
}

// takeStreams removes the streams of matching callers and returns their ends.
func (g *Gate) takeStreams(match func(Caller) bool) []func() {
	var ends []func()
	for caller, streams := range g.streams {
		if !match(caller) {
			continue
		}
		for _, end := range streams {
			ends = append(ends, end)
		}
		delete(g.streams, caller)
	}
	return ends
}
