package demo

import (
	"sync"

	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// eventCounter counts the logged events of all hosts by number.
type eventCounter struct {
	mu     sync.Mutex
	counts map[event.Number]int
}

func newEventCounter() *eventCounter { return &eventCounter{counts: make(map[event.Number]int)} }

// add counts an event; it is the sink of the hosts' logs.
func (c *eventCounter) add(entry event.Entry, _ []any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[entry.Number]++
}

// total returns the number of events of all kinds.
func (c *eventCounter) total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := 0
	for _, count := range c.counts {
		sum += count
	}
	return sum
}

// byName returns the counts, keyed by the event numbers in the form that logs show, such as
// HW4001.
func (c *eventCounter) byName() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := make(map[string]int, len(c.counts))
	for number, count := range c.counts {
		names[number.String()] = count
	}
	return names
}
