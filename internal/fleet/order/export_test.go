package order

import (
	"fmt"
	"maps"
)

// Clone returns a deep copy.
func (d *Desk[C]) Clone() *Desk[C] {
	next := *d
	next.wanted = maps.Clone(d.wanted)
	next.settled = maps.Clone(d.settled)
	next.closed = maps.Clone(d.closed)
	next.refused = maps.Clone(d.refused)
	next.doubt = maps.Clone(d.doubt)
	return &next
}

// Dump returns everything that decides the desk's future.
func (d *Desk[C]) Dump() string { return fmt.Sprintf("%+v", *d) }
