package spread

// Current returns the document in force. It reports false while the host
// knows none, and is then not ready.
func (d *Runner) Current() (Accepted, bool) {
	current := d.current.Load()
	if current == nil {
		return Accepted{}, false
	}
	return *current, true
}

// Version returns the version in force, zero for none.
func (d *Runner) Version() uint64 {
	current, _ := d.Current()
	return current.Version
}

// Dropped counts what peers showed while the duty was behind.
func (d *Runner) Dropped() uint64 { return d.dropped.Load() }

// Subscribe returns a channel that brings each change of the document in
// force, starting with the current one. A reader that is late gets only the
// newest. cancel ends the subscription.
func (d *Runner) Subscribe() (changes <-chan Accepted, cancel func()) {
	subscriber := make(chan Accepted, 1)
	d.mu.Lock()
	defer d.mu.Unlock()
	if current, ok := d.Current(); ok {
		subscriber <- current
	}
	d.subscribers[subscriber] = struct{}{}
	return subscriber, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.subscribers, subscriber)
	}
}

// ReportPeerVersion tells the duty the version that a peer showed. It does not wait.
func (d *Runner) ReportPeerVersion(address string, version uint64) {
	if version <= d.Version() {
		return
	}
	select {
	case d.events <- PeerVersion{Address: address, Version: version}:
	default:
		d.dropped.Add(1)
	}
}

// SetRank tells the duty the rank of this host in its zone.
func (d *Runner) SetRank(rank int) { d.put(RankChanged{Rank: rank}) }
