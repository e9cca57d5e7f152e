package step

import (
	"container/heap"
	"time"
)

// ranking is a heap of candidates by their cost for the samples of one group. It avoids
// a scan of all engines for each sample.
type ranking struct {
	group  int
	built  bool
	ranked []ranked
}

// ranked is a candidate and its placement cost for the group.
type ranked struct {
	*candidate
	placementCost time.Duration
}

func (r *ranking) Len() int           { return len(r.ranked) }
func (r *ranking) Less(i, j int) bool { return r.ranked[i].placementCost < r.ranked[j].placementCost }
func (r *ranking) Swap(i, j int)      { r.ranked[i], r.ranked[j] = r.ranked[j], r.ranked[i] }

// Push implements heap.Interface.
func (r *ranking) Push(x any) { r.ranked = append(r.ranked, x.(ranked)) }

// Pop implements heap.Interface.
func (r *ranking) Pop() any {
	last := r.ranked[len(r.ranked)-1]
	r.ranked = r.ranked[:len(r.ranked)-1]
	return last
}

// isFor reports whether the ranking has been built for the group.
func (r *ranking) isFor(group int) bool { return r.built && r.group == group }

// rank returns the ranking of the candidates with free slots for the group of a slot.
func (l *Ledger) rank(at int, candidates []*candidate) ranking {
	r := ranking{group: l.slots[at].group, built: true}
	for _, e := range candidates {
		if e.FreeSlots > 0 {
			r.ranked = append(r.ranked, ranked{e, l.placementCost(at, e)})
		}
	}
	heap.Init(&r)
	return r
}

// assignRanked starts an attempt at a slot on the first candidate of the ranking and
// updates the rank of that candidate. If the slot avoids its engine, it searches all
// candidates and rebuilds the ranking instead.
func (l *Ledger) assignRanked(at int, r *ranking, candidates []*candidate, now time.Time) Assignment {
	first := r.ranked[0]
	if first.Name == l.slots[at].avoidEngine {
		if assignment, ok := l.assignBest(at, candidates, now, ""); ok {
			*r = l.rank(at, candidates)
			return assignment
		}
	}
	assignment := l.startAttempt(at, first.candidate, now, false)
	if first.FreeSlots <= 0 {
		heap.Pop(r)
		return assignment
	}
	r.ranked[0].placementCost = l.placementCost(at, first.candidate)
	heap.Fix(r, 0)
	return assignment
}
