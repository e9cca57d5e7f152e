package scale

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Scheduler runs tasks in the order of their virtual times.
type Scheduler struct {
	Now    time.Time
	Rand   *rand.Rand
	queue  tasks
	number uint64
}

type task struct {
	at     time.Time
	number uint64 // orders tasks of the same time by their creation
	run    func()
}

// tasks is a heap of tasks, the earliest first.
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

// After schedules a task to run after a virtual time.
func (s *Scheduler) After(wait time.Duration, run func()) {
	s.number++
	heap.Push(&s.queue, task{at: s.Now.Add(wait), number: s.number, run: run})
}

// RunTasks runs the tasks up to a time or until done, when set, reports true after a
// task. It reports whether done did.
func (s *Scheduler) RunTasks(end time.Time, done func() bool) bool {
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		next := heap.Pop(&s.queue).(task)
		s.Now = next.at
		next.run()
		if done != nil && done() {
			return true
		}
	}
	s.Now = end
	return false
}
