package usage

import "maps"

// Clone returns a deep copy.
func (b *Counters) Clone() *Counters {
	next := *b
	next.entries = map[CounterID]*entry{}
	for cell, e := range b.entries {
		twin := *e
		next.entries[cell] = &twin
	}
	next.sent = maps.Clone(b.sent)
	for target, sent := range b.sent {
		next.sent[target] = maps.Clone(sent)
	}
	return &next
}

// Clone returns a deep copy.
func (l *Ledger) Clone() *Ledger {
	next := *l
	next.counted = maps.Clone(l.counted)
	return &next
}
