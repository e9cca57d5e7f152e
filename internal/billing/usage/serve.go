package usage

// Copy handles a Copy message of another host. It returns after the rows are
// stored.
func (m *Meter) Copy(message Copy) {
	m.initialize()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters.Copy(message)
}

// Collect answers the sealer with the counters that are not sealed yet. Open is
// the current window by the sealer's clock; this host counts in no window later
// than the one after it.
func (m *Meter) Collect(open Window) Holdings {
	m.initialize()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.maxWindow = open + 1
	holdings := m.counters.Holdings()
	holdings.CurrentWindow = WindowAt(m.Now())
	return holdings
}

// Cover handles a Cover message of the sealer, which lists sealed totals.
func (m *Meter) Cover(message Cover) {
	m.initialize()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters.Cover(message)
}
