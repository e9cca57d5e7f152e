package engine

import (
	"container/list"
	"slices"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
)

// maxEvents is the number of cache events that the engine keeps.
const maxEvents = 4096

// block is a cached part of a prompt. Its versions built it or the blocks that
// it follows.
type block struct {
	prefix   uint64
	versions []uint64
}

type datedEvent struct {
	at    time.Time
	event engine.CacheEvent
}

// cache holds prefix blocks, and drops the least recently used when it is full.
type cache struct {
	limit    int
	lose     func() bool // says that the next event is lost
	blocks   map[uint64]*list.Element
	recent   list.List // of *block, most recent first
	events   []datedEvent
	sequence uint64
}

// reuse returns how many leading blocks are cached and the versions in them.
func (c *cache) reuse(prefixes []uint64) (int, []uint64) {
	versions := []uint64{}
	for at, prefix := range prefixes {
		element, found := c.blocks[prefix]
		if !found {
			return at, versions
		}
		c.recent.MoveToFront(element)
		versions = union(versions, element.Value.(*block).versions...)
	}
	return len(prefixes), versions
}

// store keeps the blocks of a prompt.
func (c *cache) store(prefixes, versions []uint64, now time.Time) {
	if c.blocks == nil {
		c.blocks = make(map[uint64]*list.Element)
	}
	for _, prefix := range prefixes {
		if _, found := c.blocks[prefix]; found {
			continue
		}
		c.blocks[prefix] = c.recent.PushFront(&block{prefix, versions})
		c.publish(prefix, false, now)
		if len(c.blocks) > c.limit {
			c.evict(c.recent.Back(), now)
		}
	}
}

func (c *cache) evict(element *list.Element, now time.Time) {
	old := c.recent.Remove(element).(*block)
	delete(c.blocks, old.prefix)
	c.publish(old.prefix, true, now)
}

// flush drops every block.
func (c *cache) flush(now time.Time) {
	for c.recent.Len() > 0 {
		c.evict(c.recent.Back(), now)
	}
}

func (c *cache) publish(prefix uint64, evicted bool, now time.Time) {
	c.sequence++
	if c.lose != nil && c.lose() {
		return
	}
	event := engine.CacheEvent{Sequence: c.sequence, Prefix: prefix, Evicted: evicted}
	c.events = append(c.events, datedEvent{now, event})
	if len(c.events) > 2*maxEvents {
		c.events = slices.Clone(c.events[len(c.events)-maxEvents:])
	}
}

// since returns the events after a sequence number that are no newer than a
// time.
func (c *cache) since(after uint64, until time.Time) []engine.CacheEvent {
	shown := []engine.CacheEvent{}
	for _, dated := range c.events {
		if dated.event.Sequence > after && !dated.at.After(until) {
			shown = append(shown, dated.event)
		}
	}
	return shown
}

// union adds versions to a sorted set and returns a new one.
func union(set []uint64, more ...uint64) []uint64 {
	all := slices.Concat(set, more)
	slices.Sort(all)
	return slices.Compact(all)
}
