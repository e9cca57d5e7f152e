package spread

// Current returns the document in force. It returns false while the host has
// none and is therefore not ready (rule 5).
func (r *Runner) Current() (Accepted, bool) {
	current := r.current.Load()
	if current == nil {
		return Accepted{}, false
	}
	return *current, true
}

// Version returns the version in force, zero for none.
func (r *Runner) Version() uint64 {
	current, _ := r.Current()
	return current.Version
}

// Dropped returns the number of peer versions that were dropped because the event
// queue was full.
func (r *Runner) Dropped() uint64 { return r.dropped.Load() }

// Subscribe returns a channel that receives each change of the document in force,
// starting with the current one if there is one. A slow reader receives only the
// newest. cancel ends the subscription but does not close the channel.
func (r *Runner) Subscribe() (changes <-chan Accepted, cancel func()) {
	subscriber := make(chan Accepted, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if current, ok := r.Current(); ok {
		subscriber <- current
	}
	r.subscribers[subscriber] = struct{}{}
	return subscriber, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.subscribers, subscriber)
	}
}

// ReportPeerVersion reports the version that a peer has in force. It ignores one
// that is not above the version in force here, and does not block: see Dropped.
func (r *Runner) ReportPeerVersion(address string, version uint64) {
	if version <= r.Version() {
		return
	}
	select {
	case r.events <- PeerVersion{Address: address, Version: version}:
	default:
		r.dropped.Add(1)
	}
}

// SetRank sets the rank of this host in its zone, zero for the first (rule 3). A host
// with a negative rank does not watch the platform. SetRank waits while the event queue
// is full.
func (r *Runner) SetRank(rank int) { r.enqueue(RankChanged{Rank: rank}) }
