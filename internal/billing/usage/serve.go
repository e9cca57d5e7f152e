package usage

// Copy serves another host's message. It returns after the rows are stored.
func (m *Meter) Copy(message Copy) {
	m.start()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.book.Copy(message)
}

// Collect serves the sealer: it returns what is not covered yet. Open is the
// window of the sealer's clock.
func (m *Meter) Collect(open Window) Holdings {
	m.start()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit = open + 1
	held := m.book.Holdings()
	held.CurrentWindow = WindowAt(m.Now())
	return held
}

// Cover serves the sealer: the rows are sealed.
func (m *Meter) Cover(message Cover) {
	m.start()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.book.Cover(message)
}
