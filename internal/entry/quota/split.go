package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Rules of the split. A limit is divided among availability zones, and each zone's
// part among its hosts, by the same steps:
//
//  1. One half is divided evenly, the other half by demand, so that new demand finds
//     a share at any zone and host at once.
//  2. A part whose demand report is older than staleAfter keeps the largest fraction
//     that it had within settleTime, and the parts with fresh reports divide the rest.
//     For a zone that is cut off, all others are stale, so that it keeps a fixed
//     share.
//  3. A host enforces the smallest share that it computed within settleTime: its
//     share shrinks at once and grows late. While reports are in flight, hosts thus
//     reduce their shares before others increase theirs, and an increase just before
//     a zone is cut off, which other zones don't know of, never takes effect.
//
// settleTime exceeds staleAfter, so that rules 2 and 3 use the same history on both
// sides of a partition. While reports arrive within reportDelay, the shares of all
// hosts together exceed the limit by at most MaxOvershoot.

// MaxOvershoot is the fraction of a limit by which all shares together may exceed it.
const MaxOvershoot = 0.10

const (
	evenFraction = 0.5             // divided evenly (rule 1)
	reportDelay  = 2 * time.Second // longest time that a report is assumed to take
	staleAfter   = 2*reportDelay + time.Second
	settleTime   = staleAfter + reportDelay
)

// DemandReport is the last reported demand of one part of a division: an availability
// zone among zones, or a host among the hosts of a zone.
type DemandReport struct {
	Name   string
	Demand float64   // in the unit of Limiter.Demand
	At     time.Time // when the report was made, by the clock of this host
}

// Splitter computes one host's share of one limit. The zero value has no history. It
// is not safe for concurrent use.
type Splitter struct {
	zones history
	hosts history
	slots []pastSlots // this host's slots within settleTime
}

// pastSlots is the result of a past division of the concurrency.
type pastSlots struct {
	at    time.Time
	slots int
}

// history is the divisions within settleTime, oldest first.
type history []division

// division is the fraction of each part, by name.
type division struct {
	at        time.Time
	fractions map[string]float64
}

// Divide returns this host's share of a limit. zones has one report for every
// availability zone of the configuration, hosts one for every live host of the own
// zone. Both include the own one, with At equal to now.
func (s *Splitter) Divide(now time.Time, limit Limit, zone, host string, zones, hosts []DemandReport) Share {
	s.zones = s.zones.divide(now, zones)
	s.hosts = s.hosts.divide(now, hosts)
	inZone := divideSlots(limit.Concurrency, s.zones.last())[zone]
	return Share{
		Fraction: s.zones.least(zone) * s.hosts.least(host),
		Slots:    s.leastSlots(now, divideSlots(inZone, s.hosts.last())[host]),
	}
}

// leastSlots applies rule 3 to the concurrency, which is divided in whole numbers.
func (s *Splitter) leastSlots(now time.Time, slots int) int {
	s.slots = append(s.slots, pastSlots{at: now, slots: slots})
	s.slots = slices.DeleteFunc(s.slots, func(p pastSlots) bool { return now.Sub(p.at) > settleTime })
	for _, p := range s.slots {
		slots = min(slots, p.slots)
	}
	return slots
}

// divide appends a division by rules 1 and 2.
func (h history) divide(now time.Time, reports []DemandReport) history {
	latest := make(map[string]float64, len(reports))
	rest, fresh, demand := 1.0, 0, 0.0
	for _, r := range reports {
		if kept, ok := h.most(r.Name); ok && now.Sub(r.At) > staleAfter {
			latest[r.Name] = kept
			rest -= kept
			continue
		}
		fresh++
		demand += r.Demand
	}
	rest = max(0, rest)
	for _, r := range reports {
		if _, done := latest[r.Name]; !done {
			latest[r.Name] = rest * fractionOf(r.Demand, demand, fresh)
		}
	}
	h = slices.DeleteFunc(h, func(d division) bool { return now.Sub(d.at) > settleTime })
	return append(h, division{at: now, fractions: latest})
}

// last returns the fractions of the latest division.
func (h history) last() map[string]float64 { return h[len(h)-1].fractions }

// least returns the smallest fraction of a part, 1 if no division has the part.
// Divisions without the part do not count.
func (h history) least(name string) float64 {
	least := 1.0
	for _, d := range h {
		if fraction, ok := d.fractions[name]; ok {
			least = min(least, fraction)
		}
	}
	return least
}

// most returns the largest fraction of a part, false if no division has the part.
func (h history) most(name string) (most float64, ok bool) {
	for _, d := range h {
		if fraction, known := d.fractions[name]; known {
			most, ok = max(most, fraction), true
		}
	}
	return most, ok
}

// fractionOf returns a part's fraction by rule 1, given its own demand, and the total
// demand and the number of the parts with fresh reports.
func fractionOf(own, total float64, count int) float64 {
	even := 1 / float64(count)
	if total <= 0 {
		return even
	}
	return evenFraction*even + (1-evenFraction)*own/total
}

// divideSlots divides a whole number by fractions, in the order of the names. The
// parts add up to the number when the fractions add up to 1.
func divideSlots(total int, fractions map[string]float64) map[string]int {
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
