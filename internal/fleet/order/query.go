package order

// Ready returns the intents that may be sent now, at most one for a target.
// The journal holds them, so that the next holder repeats what this one leaves
// open.
func (d *Desk[C]) Ready() []Intent[C] {
	if d.phase == over || d.journal.Epoch != d.Epoch {
		return nil
	}
	return d.left()
}

// Over says that another holder has the duty. The desk does nothing more.
func (d *Desk[C]) Over() bool { return d.phase == over }

// Settled returns the command that a target accepted last from this desk, or
// was observed to follow.
func (d *Desk[C]) Settled(target string) (C, bool) {
	command, ok := d.settled[target]
	return command, ok
}
