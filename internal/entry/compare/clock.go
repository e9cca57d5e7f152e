package compare

import (
	"container/heap"
	"time"
)

// clock runs callbacks in virtual time, in the order of their times and, for
// equal times, of their making.
type clock struct {
	now   time.Time
	queue callbacks
	made  uint64
}

type callback struct {
	at    time.Time
	order uint64
	run   func()
}

type callbacks []callback

func (c callbacks) Len() int      { return len(c) }
func (c callbacks) Swap(i, j int) { c[i], c[j] = c[j], c[i] }
func (c callbacks) Less(i, j int) bool {
	if c[i].at.Equal(c[j].at) {
		return c[i].order < c[j].order
	}
	return c[i].at.Before(c[j].at)
}
func (c *callbacks) Push(x any) { *c = append(*c, x.(callback)) }
func (c *callbacks) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

func (c *clock) after(delay time.Duration, run func()) {
	c.made++
	heap.Push(&c.queue, callback{at: c.now.Add(delay), order: c.made, run: run})
}

// every runs a callback at an interval until the time end.
func (c *clock) every(interval time.Duration, end time.Time, run func()) {
	c.after(interval, func() {
		run()
		if c.now.Before(end) {
			c.every(interval, end, run)
		}
	})
}

func (c *clock) run() {
	for len(c.queue) > 0 {
		next := heap.Pop(&c.queue).(callback)
		c.now = next.at
		next.run()
	}
}
