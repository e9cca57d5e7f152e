package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/site/document"
)

// maxSeries bounds the series of a host. Events of further ones are dropped
// and counted.
const maxSeries = 4096

// Recorder counts the events of a host against the objectives in force. The zero
// value has no objectives. It may be used by several goroutines.
type Recorder struct {
	mu         sync.Mutex
	objectives []document.Objective
	series     map[Key]*series
	dropped    uint64
}

// SetObjectives replaces the objectives. One that names a workspace takes the
// place of one for all workspaces that counts the same. A series whose objective is gone is
// dropped; one whose target alone has changed keeps its counts.
func (b *Recorder) SetObjectives(objectives []document.Objective) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.objectives = slices.Clone(objectives)
	slices.SortStableFunc(b.objectives, func(x, y document.Objective) int {
		return cmp.Compare(y.Workspace, x.Workspace) // those of all workspaces last
	})
	for key, s := range b.series {
		target, ok := b.target(key)
		if !ok {
			delete(b.series, key)
			continue
		}
		s.target = target
	}
}

// target returns the target of the objective that a series belongs to.
func (b *Recorder) target(key Key) (float64, bool) {
	for _, o := range b.objectives {
		if o.Route == key.Route && o.Measure == key.Measure && time.Duration(o.Within) == key.Within && covers(o.Workspace, key.Workspace) {
			return o.Target, true
		}
	}
	return 0, false
}

// covers reports whether a name of an objective, empty for all, covers a name.
func covers(objective, name string) bool {
	return objective == "" || objective == name
}

// Observe counts an event against every objective that covers it.
func (b *Recorder) Observe(now time.Time, e Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var counted []Key
	for _, o := range b.objectives {
		key := Key{Workspace: e.Workspace, Route: o.Route, Measure: o.Measure, Within: time.Duration(o.Within)}
		if o.Measure == e.Measure && covers(o.Workspace, e.Workspace) && covers(o.Route, e.Route) && !slices.Contains(counted, key) {
			b.count(now, key, o.Target, e)
			counted = append(counted, key)
		}
	}
}

func (b *Recorder) count(now time.Time, key Key, target float64, e Event) {
	s := b.series[key]
	if s == nil {
		if len(b.series) >= maxSeries {
			b.dropped++
			return
		}
		s = &series{target: target}
		if b.series == nil {
			b.series = make(map[Key]*series)
		}
		b.series[key] = s
	}
	if !key.timed() {
		e.Elapsed = 0
	}
	if e.Elapsed > key.Within { // whole, but too late
		e.Good, e.Bad = 0, e.Good+e.Bad
	}
	s.add(now, e)
}

// Dropped returns the events that were not counted for want of room.
func (b *Recorder) Dropped() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dropped
}
