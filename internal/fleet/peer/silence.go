package peer

import (
	"slices"
	"time"
)

// Hosts can be removed for good at any time, also without a signal, and their objects stay.
// What a host does by rank, such as taking over batches or contending for a duty, must not wait
// for them. So each host records which others have stopped answering its calls, and passes over
// these silent hosts where a wrong decision is harmless. Their objects are removed later, see
// Pruner.

// The rule by which a host counts as silent.
const (
	// silentMisses is the number of failed calls in a row, and silentTime the least time
	// between the first and the last of them. Both exceed what a single lost connection or a
	// host without processor time for a second causes.
	silentMisses = 3
	silentTime   = 2500 * time.Millisecond
	// hearingTime is how recently another host has to have answered. Without an answer of any
	// host, this host itself may be cut off.
	hearingTime = 3 * time.Second
)

// contact is what the calls to a host have shown. The zero value knows nothing.
type contact struct {
	answered    time.Time // of the latest call that was answered
	firstMissed time.Time // of the failed calls since then
	lastMissed  time.Time
	misses      int
}

// record adds the outcome of a call that ended at a time.
func (c *contact) record(at time.Time, answered bool) {
	switch {
	case answered:
		*c = contact{answered: at}
	case c.misses == 0:
		c.firstMissed = at
		fallthrough
	default:
		c.lastMissed = at
		c.misses++
	}
}

// silentFor returns how long a host has failed to answer, zero if it doesn't count as silent.
func (c *contact) silentFor() time.Duration {
	if since := c.lastMissed.Sub(c.firstMissed); c.misses >= silentMisses && since >= silentTime {
		return since
	}
	return 0
}

// recordCall records the outcome of a call to a host.
func (d *Directory) recordCall(host string, at time.Time, answered bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.contacts == nil {
		d.contacts = map[string]*contact{}
	}
	c := d.contacts[host]
	if c == nil {
		c = &contact{}
		d.contacts[host] = c
	}
	wasSilent := c.silentFor() > 0
	c.record(at, answered)
	if silent := c.silentFor() > 0; silent != wasSilent {
		d.flips++
	}
	if answered {
		d.answered = at
	}
}

// RankRevision returns a number that differs from an earlier one if RankAnswering or RankedAnswering
// may have changed, so that callers can keep what they derive from them.
func (d *Directory) RankRevision(now time.Time) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	revision := 2 * (d.changes + d.flips)
	if d.hears(now) {
		revision++
	}
	return revision
}

// hears reports whether a host has answered this one lately. The caller holds the lock.
func (d *Directory) hears(now time.Time) bool { return now.Sub(d.answered) < hearingTime }

// Silent returns the hosts that have stopped answering this host's calls. It returns none
// while no host answers.
func (d *Directory) Silent(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.silent(now)
}

// silent is Silent for a caller that holds the lock.
func (d *Directory) silent(now time.Time) []string {
	if !d.hears(now) {
		return nil
	}
	var names []string
	for name, c := range d.contacts {
		if c.silentFor() > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// RankAnswering is Rank among the hosts that are not silent.
func (d *Directory) RankAnswering(key string, without ...string) int {
	return d.Rank(key, slices.Concat(without, d.Silent(time.Now()))...)
}

// RankedAnswering returns all hosts in the order of Rank, the silent ones last, and the number of
// those that are not silent.
func (d *Directory) RankedAnswering(key string) (hosts []Host, answering int) {
	silent := d.Silent(time.Now())
	var last []Host
	for _, h := range d.Ranked(key) {
		if slices.Contains(silent, h.Name) {
			last = append(last, h)
		} else {
			hosts = append(hosts, h)
		}
	}
	return append(hosts, last...), len(hosts)
}

// FirstAnswering returns the names of the first count hosts of RankedAnswering. This host may be
// among them.
func (d *Directory) FirstAnswering(key string, count int) []string {
	hosts, _ := d.RankedAnswering(key)
	var names []string
	for _, h := range hosts[:min(count, len(hosts))] {
		names = append(names, h.Name)
	}
	return names
}
