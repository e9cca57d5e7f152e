package burn

import "slices"

// Merged is the sum of the snapshots of several hosts. The zero value is
// empty. It belongs to one goroutine.
type Merged struct {
	hosts   []string
	version uint64
	series  map[Key]*series
	dropped uint64
}

// Add adds a checked snapshot, once for each host: a second one of the same
// host is not added, and Add returns false. The target of an objective is the
// one of the newest document.
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

func (m *Merged) add(key Key, s *series, version uint64) {
	have := m.series[key]
	if have == nil {
		m.series[key] = s
		return
	}
	if version > m.version {
		have.target = s.target
	}
	have.merge(s)
}
