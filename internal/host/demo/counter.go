package demo

import (
	"sync"

	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// counter counts the events of all hosts by number.
type counter struct {
	mu     sync.Mutex
	counts map[event.Number]int
}

func newCounter() *counter { return &counter{counts: make(map[event.Number]int)} }

func (c *counter) add(entry event.Entry, _ []any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[entry.Number]++
}

func (c *counter) total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := 0
	for _, count := range c.counts {
		sum += count
	}
	return sum
}

// byName returns the counts under the numbers as logs show them.
func (c *counter) byName() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := make(map[string]int, len(c.counts))
	for number, count := range c.counts {
		names[number.String()] = count
	}
	return names
}
