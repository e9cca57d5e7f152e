package gate

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// StaleError is returned for a table that is not newer than the current one: an
// accepted configuration is never replaced by an older one.
type StaleError struct {
	Version uint64
	InForce uint64 // version of the current table
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("table of version %d is not newer than the current version %d", e.Version, e.InForce)
}

// Swap makes a newer table the current one, ends the streams of every key that it
// lacks, and returns the callers of these keys ordered by workspace and key. For a
// table that is not newer it returns a *StaleError and changes nothing.
func (g *Gate) Swap(next *Table) ([]Caller, error) {
	withdrawn, ends, err := g.swap(next)
	for _, end := range ends {
		end()
	}
	return withdrawn, err
}

// swap is Swap, but returns the functions that end the streams. They are called
// without the lock.
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
	withdrawn := old.Withdrawn(next)
	slices.SortFunc(withdrawn, compareCallers)
	return withdrawn, g.removeStreams(func(c Caller) bool { return !next.isValid(c) }), nil
}

// compareCallers orders callers by workspace and key identifier.
func compareCallers(a, b Caller) int {
	return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.KeyID, b.KeyID))
}

// RegisterStream registers a stream of an admitted caller. end is called once if
// the key is withdrawn, or its grace runs out, while the stream runs; it must not
// block and must not call the gate. The returned function must be called when the
// stream is over. RegisterStream checks the key again, because the table may have
// changed after Check.
func (g *Gate) RegisterStream(caller Caller, end func()) (unregister func(), err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.table.Load()
	if t == nil {
		return nil, &RefusedError{Reason: ReasonNotReady}
	}
	if !t.isValid(caller) {
		return nil, &RefusedError{Reason: ReasonUnknown}
	}
	g.lastID++
	id := g.lastID
	if g.streams == nil {
		g.streams = make(map[Caller]map[uint64]func())
	}
	if g.streams[caller] == nil {
		g.streams[caller] = make(map[uint64]func())
	}
	g.streams[caller][id] = end
	return func() { g.unregister(caller, id) }, nil
}

// unregister removes a stream that is over.
func (g *Gate) unregister(caller Caller, id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.streams[caller], id)
	if len(g.streams[caller]) == 0 {
		delete(g.streams, caller)
	}
}

// ExpireGrace ends the streams of every workspace whose grace has run out on a host
// that received no updates since cutOff, and returns their number. A zero cutOff
// means that the host is not cut off. While it is, the host must call ExpireGrace at
// short intervals: a stream outlives its grace by up to one interval.
func (g *Gate) ExpireGrace(cutOff, now time.Time) int {
	t := g.table.Load()
	if t == nil || cutOff.IsZero() {
		return 0
	}
	g.mu.Lock()
	ends := g.removeStreams(func(c Caller) bool {
		return !c.Anonymous() && !t.withinGrace(c.Workspace, cutOff, now)
	})
	g.mu.Unlock()
	for _, end := range ends {
		end()
	}
	return len(ends)
}

// removeStreams removes the streams of matching callers and returns the functions
// that end them. The caller holds the lock.
func (g *Gate) removeStreams(match func(Caller) bool) []func() {
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
