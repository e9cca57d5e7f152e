package burn

import "slices"

// Merged is the sum of the snapshots of several hosts. The zero value is empty.
// It is not safe for concurrent use.
type Merged struct {
	hosts   []string
	version uint64
	series  map[Key]*series
	dropped uint64
}

// Add adds a snapshot that passed Snapshot.Check and reports whether it did. A second
// snapshot of a host is not added; neither is one with an invalid sketch, for which Add
// returns an error. The target of an objective is taken from the snapshot with the
// highest document version.
func (m *Merged) Add(snapshot Snapshot) (bool, error) {
	if slices.Contains(m.hosts, snapshot.Host) {
		return false, nil
	}
	decoded := make([]*series, len(snapshot.Series))
	for i, one := range snapshot.Series {
		var err error
		if decoded[i], err = one.decode(); err != nil {
			return false, err
		}
	}
	if m.series == nil {
		m.series = make(map[Key]*series)
	}
	for i, one := range snapshot.Series {
		m.add(one.Key, decoded[i], snapshot.Version)
	}
	m.hosts = append(m.hosts, snapshot.Host)
	slices.Sort(m.hosts)
	m.version = max(m.version, snapshot.Version)
	m.dropped += snapshot.Dropped
	return true, nil
}

// add merges one series of a snapshot with the given document version.
func (m *Merged) add(key Key, s *series, version uint64) {
	existing := m.series[key]
	if existing == nil {
		m.series[key] = s
		return
	}
	if version > m.version {
		existing.target = s.target
	}
	existing.merge(s)
}
