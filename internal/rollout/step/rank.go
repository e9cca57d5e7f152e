package step

import (
	"container/heap"
	"time"
)

// ranking is a heap of the engines by expected end for the samples of one
// group, so that a large group or fleet costs no search per sample.
type ranking struct {
	group  int
	built  bool
	ranked []ranked
}

type ranked struct {
	*candidate
	cost time.Duration
}

func (r *ranking) Len() int           { return len(r.ranked) }
func (r *ranking) Less(i, j int) bool { return r.ranked[i].cost < r.ranked[j].cost }
func (r *ranking) Swap(i, j int)      { r.ranked[i], r.ranked[j] = r.ranked[j], r.ranked[i] }

// Push adds an engine, as package heap asks for it.
func (r *ranking) Push(x any) { r.ranked = append(r.ranked, x.(ranked)) }

// Pop removes the last engine, as package heap asks for it.
func (r *ranking) Pop() any {
	last := r.ranked[len(r.ranked)-1]
	r.ranked = r.ranked[:len(r.ranked)-1]
	return last
}

func (r *ranking) isFor(group int) bool { return r.built && r.group == group }

// rank orders the engines that are still free for the group of a slot.
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

// placeRanked starts a slot on the first engine of the ranking and ranks that
// engine anew. A slot that keeps away from that engine searches for itself.
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
	r.ranked[0].cost = l.placementCost(at, first.candidate)
	heap.Fix(r, 0)
	return assignment
}
