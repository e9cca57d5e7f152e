package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Rules of the split. A limit is divided among availability zones, and each
// zone's part among its hosts, by the same steps:
//
//  1. Half of the whole is divided evenly, the other half by demand, so that
//     demand that starts anywhere finds a share at once.
//  2. A part whose report is older than staleAfter is kept at the most that it
//     had over the last settleTime, and the fresh parts divide the rest. A
//     cut-off zone sees all others as stale, so that it keeps a fixed share.
//  3. The own share is the least that the division gave over the last
//     settleTime: it shrinks at once and grows late. Hosts whose reports are
//     in flight thus give before they take, and what a zone gained unheard
//     just before it was cut off never counts.
//
// settleTime exceeds staleAfter, so that rules 2 and 3 look at the same past
// from both sides of a cut. While reports arrive within reportDelay, the shares
// of all hosts together pass the limit by at most Slack.

// MaxOvershoot is the part of a limit by which all shares together may pass it.
const MaxOvershoot = 0.10

const (
	evenPart    = 0.5
	reportDelay = 2 * time.Second
	staleAfter  = 2*reportDelay + time.Second
	settleTime  = staleAfter + reportDelay
)

// DemandReport is what one side of a division last reported: an availability zone
// among zones, or a host among the hosts of a zone.
type DemandReport struct {
	Name   string
	Demand float64
	At     time.Time // when the report was made, by the clock of this host
}

// Splitter divides one limit from the view of one host. The zero value has no
// history. It is owned by one goroutine.
type Splitter struct {
	zones history
	hosts history
	slots []pastSlots
}

type pastSlots struct {
	at    time.Time
	slots int
}

// history is what past divisions gave each part.
type history []division

type division struct {
	at        time.Time
	fractions map[string]float64
}

// Divide returns this host's share of a limit. zones holds one part for every
// availability zone of the configuration, hosts one for every live host of the
// own zone; both contain the own one, with At equal to now.
func (s *Splitter) Divide(now time.Time, limit Limit, zone, host string, zones, hosts []DemandReport) Share {
	s.zones = s.zones.divide(now, zones)
	s.hosts = s.hosts.divide(now, hosts)
	inZone := slotsOf(limit.Concurrency, s.zones.last())[zone]
	return Share{
		Fraction: s.zones.least(zone) * s.hosts.least(host),
		Slots:    s.settleSlots(now, slotsOf(inZone, s.hosts.last())[host]),
	}
}

// settleSlots applies rule 3 to the concurrency, which is divided in whole
// numbers.
func (s *Splitter) settleSlots(now time.Time, slots int) int {
	s.slots = append(s.slots, pastSlots{at: now, slots: slots})
	s.slots = slices.DeleteFunc(s.slots, func(p pastSlots) bool { return now.Sub(p.at) > settleTime })
	for _, p := range s.slots {
		slots = min(slots, p.slots)
	}
	return slots
}

// divide adds a division by rules 1 and 2.
func (h history) divide(now time.Time, parts []DemandReport) history {
	next := make(map[string]float64, len(parts))
	rest, fresh, demand := 1.0, 0, 0.0
	for _, p := range parts {
		if kept, ok := h.most(p.Name); ok && now.Sub(p.At) > staleAfter {
			next[p.Name] = kept
			rest -= kept
			continue
		}
		fresh++
		demand += p.Demand
	}
	rest = max(0, rest)
	for _, p := range parts {
		if _, done := next[p.Name]; !done {
			next[p.Name] = rest * portion(p.Demand, demand, fresh)
		}
	}
	h = slices.DeleteFunc(h, func(d division) bool { return now.Sub(d.at) > settleTime })
	return append(h, division{at: now, fractions: next})
}

func (h history) last() map[string]float64 { return h[len(h)-1].fractions }

// least returns the smallest fraction of a part. A division that did not know
// the part does not count.
func (h history) least(name string) float64 {
	least := 1.0
	for _, d := range h {
		if fraction, ok := d.fractions[name]; ok {
			least = min(least, fraction)
		}
	}
	return least
}

func (h history) most(name string) (most float64, ok bool) {
	for _, d := range h {
		if fraction, known := d.fractions[name]; known {
			most, ok = max(most, fraction), true
		}
	}
	return most, ok
}

func portion(own, total float64, count int) float64 {
	even := 1 / float64(count)
	if total <= 0 {
		return even
	}
	return evenPart*even + (1-evenPart)*own/total
}

// slotsOf divides a whole number by fractions so that the parts add up to it.
func slotsOf(total int, fractions map[string]float64) map[string]int {
	names := make([]string, 0, len(fractions))
	for name := range fractions {
		names = append(names, name)
	}
	slices.SortFunc(names, cmp.Compare[string])
	slots := make(map[string]int, len(names))
	sum, given := 0.0, 0
	for _, name := range names {
		sum += fractions[name]
		upTo := min(total, int(math.Round(sum*float64(total))))
		slots[name] = max(0, upTo-given)
		given = max(given, upTo)
	}
	return slots
}
