package order

// Sendable returns the intents that may be sent now, at most one for a target.
// The stored journal holds them, so that the next holder repeats those that this
// holder leaves open.
func (s *State[C]) Sendable() []Intent[C] {
	if s.phase == stopped || s.journal.Epoch != s.Epoch {
		return nil
	}
	return s.openIntents()
}

// Stopped reports whether the state makes no more calls or sends: another holder
// has the duty, or the journal can't be encoded or decoded.
func (s *State[C]) Stopped() bool { return s.phase == stopped }

// Confirmed returns the command that a target last accepted from this holder or
// was observed to follow.
func (s *State[C]) Confirmed(target string) (C, bool) {
	command, ok := s.confirmed[target]
	return command, ok
}
