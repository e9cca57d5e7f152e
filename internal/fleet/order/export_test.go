package order

import (
	"fmt"
	"maps"
)

// Clone returns a deep copy.
func (s *State[C]) Clone() *State[C] {
	next := *s
	next.desired = maps.Clone(s.desired)
	next.confirmed = maps.Clone(s.confirmed)
	next.completed = maps.Clone(s.completed)
	next.refused = maps.Clone(s.refused)
	next.mayTakeEffectUntil = maps.Clone(s.mayTakeEffectUntil)
	return &next
}

// Dump returns everything that determines the future behavior of the state.
func (s *State[C]) Dump() string { return fmt.Sprintf("%+v", *s) }
