package scale

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Scheduler is a queue of what happens at virtual times.
type Scheduler struct {
	Now    time.Time
	Rand   *rand.Rand
	queue  tasks
	number uint64
}

type task struct {
	at     time.Time
	number uint64 // keeps tasks of one time in order
	run    func()
}

type tasks []task

func (t tasks) Len() int { return len(t) }
func (t tasks) Less(i, j int) bool {
	if t[i].at.Equal(t[j].at) {
		return t[i].number < t[j].number
	}
	return t[i].at.Before(t[j].at)
}
func (t tasks) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *tasks) Push(x any)   { *t = append(*t, x.(task)) }
func (t *tasks) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// After runs a task once some virtual time has passed.
func (n *Scheduler) After(wait time.Duration, run func()) {
	n.number++
	heap.Push(&n.queue, task{at: n.Now.Add(wait), number: n.number, run: run})
}

// RunTasks runs tasks up to a time or until done reports true. It returns whether
// done did.
func (n *Scheduler) RunTasks(end time.Time, done func() bool) bool {
	for len(n.queue) > 0 && !n.queue[0].at.After(end) {
		next := heap.Pop(&n.queue).(task)
		n.Now = next.at
		next.run()
		if done != nil && done() {
			return true
		}
	}
	n.Now = end
	return false
}
