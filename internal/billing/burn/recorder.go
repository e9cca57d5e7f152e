package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/site/document"
)

// maxSeries is the maximum number of series of a host. Events of further series
// are dropped; see Recorder.Dropped.
const maxSeries = 4096

// Recorder counts the events of a host against the current objectives. The zero
// value has no objectives. It is safe for concurrent use.
type Recorder struct {
	mu         sync.Mutex
	objectives []document.Objective
	series     map[Key]*series
	dropped    uint64 // see Dropped
}

// SetObjectives replaces the objectives. An objective that names a workspace
// overrides the one for all workspaces with the same route, measure and limit. A
// series whose objective is gone is dropped; one of which only the target has
// changed keeps its counts.
func (r *Recorder) SetObjectives(objectives []document.Objective) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.objectives = slices.Clone(objectives)
	slices.SortStableFunc(r.objectives, func(x, y document.Objective) int {
		return cmp.Compare(y.Workspace, x.Workspace) // objectives for all workspaces last
	})
	for key, s := range r.series {
		target, ok := r.target(key)
		if !ok {
			delete(r.series, key)
			continue
		}
		s.target = target
	}
}

// target returns the target of the objective that a series belongs to.
func (r *Recorder) target(key Key) (float64, bool) {
	for _, o := range r.objectives {
		if o.Route == key.Route && o.Measure == key.Measure && time.Duration(o.Within) == key.Within && covers(o.Workspace, key.Workspace) {
			return o.Target, true
		}
	}
	return 0, false
}

// covers reports whether the workspace or route of an objective, empty for all,
// covers that of an event or series.
func covers(objective, name string) bool {
	return objective == "" || objective == name
}

// Observe counts an event against every objective that covers it.
func (r *Recorder) Observe(now time.Time, e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var counted []Key
	for _, o := range r.objectives {
		key := Key{Workspace: e.Workspace, Route: o.Route, Measure: o.Measure, Within: time.Duration(o.Within)}
		if o.Measure == e.Measure && covers(o.Workspace, e.Workspace) && covers(o.Route, e.Route) && !slices.Contains(counted, key) {
			r.count(now, key, o.Target, e)
			counted = append(counted, key)
		}
	}
}

// count adds an event to a series and creates the series if needed.
func (r *Recorder) count(now time.Time, key Key, target float64, e Event) {
	s := r.series[key]
	if s == nil {
		if len(r.series) >= maxSeries {
			r.dropped++
			return
		}
		s = &series{target: target}
		if r.series == nil {
			r.series = make(map[Key]*series)
		}
		r.series[key] = s
	}
	if !key.timed() {
		e.Elapsed = 0
	}
	if e.Elapsed > key.Within { // complete, but too late
		e.Good, e.Bad = 0, e.Good+e.Bad
	}
	s.add(now, e)
}

// Dropped returns how many times an Event was not counted against an objective
// because its series would have exceeded maxSeries. An Event of several events counts
// once for each of these objectives.
func (r *Recorder) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}
