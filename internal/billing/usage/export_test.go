package usage

import "maps"

// Clone returns a copy that shares no state with the counters.
func (c *Counters) Clone() *Counters {
	next := *c
	next.entries = map[CounterID]*entry{}
	for id, e := range c.entries {
		copied := *e
		next.entries[id] = &copied
	}
	next.acked = maps.Clone(c.acked)
	for target, acked := range c.acked {
		next.acked[target] = maps.Clone(acked)
	}
	return &next
}

// Clone returns a copy that shares no state with the ledger.
func (l *Ledger) Clone() *Ledger {
	next := *l
	next.totals = maps.Clone(l.totals)
	return &next
}
