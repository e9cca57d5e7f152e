package compare

import (
	"container/heap"
	"time"
)

// clock runs callbacks in virtual time, ordered by due time. Callbacks that are
// due at the same time run in the order in which they were scheduled.
type clock struct {
	now       time.Time
	queue     callbackHeap
	lastOrder uint64
}

// callback is a scheduled function and its due time.
type callback struct {
	at    time.Time
	order uint64
	run   func()
}

// callbackHeap is a min-heap of callbacks by due time and order of scheduling.
type callbackHeap []callback

func (c callbackHeap) Len() int      { return len(c) }
func (c callbackHeap) Swap(i, j int) { c[i], c[j] = c[j], c[i] }
func (c callbackHeap) Less(i, j int) bool {
	if c[i].at.Equal(c[j].at) {
		return c[i].order < c[j].order
	}
	return c[i].at.Before(c[j].at)
}
func (c *callbackHeap) Push(x any) { *c = append(*c, x.(callback)) }
func (c *callbackHeap) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// after schedules run to be called once the delay has passed.
func (c *clock) after(delay time.Duration, run func()) {
	c.lastOrder++
	heap.Push(&c.queue, callback{at: c.now.Add(delay), order: c.lastOrder, run: run})
}

// every calls run once per interval. The first call at or after end is the last.
func (c *clock) every(interval time.Duration, end time.Time, run func()) {
	c.after(interval, func() {
		run()
		if c.now.Before(end) {
			c.every(interval, end, run)
		}
	})
}

// run advances the virtual time from callback to callback until none is left.
func (c *clock) run() {
	for len(c.queue) > 0 {
		next := heap.Pop(&c.queue).(callback)
		c.now = next.at
		next.run()
	}
}
