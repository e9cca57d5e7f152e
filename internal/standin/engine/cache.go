package engine

import (
	"container/list"
	"slices"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
)

// maxEvents is the number of recent cache events that are always kept; older ones are
// dropped in batches.
const maxEvents = 4096

// block is a cached part of a prompt, with the weights versions that computed it or
// the blocks before it.
type block struct {
	prefix   uint64
	versions []uint64
}

// timedEvent is a cache event and the time at which it happened.
type timedEvent struct {
	at    time.Time
	event engine.CacheEvent
}

// cache holds prompt blocks by prefix hash and evicts the least recently used one when
// it is full. It records an event for each block that is stored or evicted.
type cache struct {
	limit     int         // maximum number of blocks; with zero nothing stays cached
	dropEvent func() bool // reports whether the next event is lost; may be nil
	blocks    map[uint64]*list.Element
	recent    list.List // of *block, most recent first
	events    []timedEvent
	sequence  uint64 // sequence number of the last event
}

// reuse returns the number of leading blocks that are cached and their weights
// versions, and marks these blocks as recently used.
func (c *cache) reuse(prefixes []uint64) (int, []uint64) {
	versions := []uint64{}
	for hits, prefix := range prefixes {
		element, found := c.blocks[prefix]
		if !found {
			return hits, versions
		}
		c.recent.MoveToFront(element)
		versions = union(versions, element.Value.(*block).versions...)
	}
	return len(prefixes), versions
}

// store adds the blocks of a prompt that are not cached yet. Cached ones keep their
// versions.
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

// evict removes a block and records the eviction.
func (c *cache) evict(element *list.Element, now time.Time) {
	old := c.recent.Remove(element).(*block)
	delete(c.blocks, old.prefix)
	c.publish(old.prefix, true, now)
}

// flush evicts every block.
func (c *cache) flush(now time.Time) {
	for c.recent.Len() > 0 {
		c.evict(c.recent.Back(), now)
	}
}

// publish records an event. A lost event uses up its sequence number, so that the
// reader sees a gap.
func (c *cache) publish(prefix uint64, evicted bool, now time.Time) {
	c.sequence++
	if c.dropEvent != nil && c.dropEvent() {
		return
	}
	event := engine.CacheEvent{Sequence: c.sequence, Prefix: prefix, Evicted: evicted}
	c.events = append(c.events, timedEvent{now, event})
	if len(c.events) > 2*maxEvents {
		c.events = slices.Clone(c.events[len(c.events)-maxEvents:])
	}
}

// since returns the events with a sequence number above after that happened at until
// or earlier.
func (c *cache) since(after uint64, until time.Time) []engine.CacheEvent {
	events := []engine.CacheEvent{}
	for _, timed := range c.events {
		if timed.event.Sequence > after && !timed.at.After(until) {
			events = append(events, timed.event)
		}
	}
	return events
}

// union returns a new sorted set of the versions in set and more.
func union(set []uint64, more ...uint64) []uint64 {
	all := slices.Concat(set, more)
	slices.Sort(all)
	return slices.Compact(all)
}
