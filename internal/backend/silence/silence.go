// Package silence decides when the backend servers of an availability zone count as cut off
// from this host, so that generations and requests there need not wait for their own
// timeouts. It addresses the partition of a zone for several seconds: a generation would wait
// 1.5 s for its next event, and 4 s for its first one.
//
// Rules, to which the code refers by number:
//
//  1. A zone is declared silent only if at least minServers of its servers have active
//     streams. A stream is active once it has delivered an event: before that it may wait in
//     the queue of its server.
//  2. Nothing has arrived from any server in the zone for quietTime. If all servers with
//     active streams could be loading weights at the same time, nothing has arrived for
//     longer than a load takes.
//  3. Something has arrived from another zone within witnessTime. Otherwise this host may be
//     cut off itself.
//  4. A stall of this host is no evidence. The time between two checks counts as silence only
//     up to maxStep, and a check that is late declares nothing.
//  5. The silence ends with the first answer or event from the zone, also one to a health
//     check, and when the zone has no listed servers any more.
package silence

import (
	"slices"
	"time"
)

// Times and limits of the rules.
const (
	// CheckInterval is the interval at which Check is to be called.
	CheckInterval = 50 * time.Millisecond
	// ProbeInterval is the interval at which one server of a silent zone is probed.
	ProbeInterval = 300 * time.Millisecond

	minServers = 3
	// quietTime is above the longest gap of an engine that has become four times slower.
	quietTime = 400 * time.Millisecond
	// loadTime is longer than the pause of an engine that loads weights, about 0.9 s.
	loadTime = time.Second
	// loadingShare is the share of a model's engines that load at the same time.
	loadingShare = 0.25
	// witnessTime is above the gap between two events of one undisturbed generation.
	witnessTime = 200 * time.Millisecond
	// maxStep tolerates checks that are late by one interval, as on a host with a small share
	// of a core.
	maxStep = 2 * CheckInterval
)

// ZoneError reports that a stream was ended because its zone was declared silent.
type ZoneError struct {
	Zone string
}

func (e *ZoneError) Error() string { return "zone " + e.Zone + " is silent" }

// Activity is the state of a zone at a check: the number of servers with active streams of
// this host, and the number of listed servers.
type Activity struct {
	Active, Listed int
}

// Detector applies the rules. The zero value is ready to use. It is not safe for concurrent
// use.
type Detector struct {
	zones   map[string]*zone
	checked time.Time     // time of the latest check
	watched time.Duration // time that counts as silence until then (rule 4)
}

// zone is what a detector knows of a zone from which something has arrived.
type zone struct {
	arrived time.Time     // time of the latest arrival
	watched time.Duration // by Detector.watchedAt, of the latest arrival
	silent  bool
}

// watchedAt returns the time that this host has spent without a stall (rule 4).
func (d *Detector) watchedAt(now time.Time) time.Duration {
	if d.checked.IsZero() {
		return 0
	}
	return d.watched + max(0, min(now.Sub(d.checked), maxStep))
}

// Observe records that something has arrived from a zone. It returns true if that ends the
// silence of the zone (rule 5).
func (d *Detector) Observe(now time.Time, name string) (ended bool) {
	if d.zones == nil {
		d.zones = map[string]*zone{}
	}
	z := d.zones[name]
	if z == nil {
		z = &zone{}
		d.zones[name] = z
	}
	ended = z.silent
	z.arrived, z.watched, z.silent = now, d.watchedAt(now), false
	return ended
}

// Check returns the zones that are declared silent now, and those whose silence ends because
// they have no listed servers, both in the order of their names.
func (d *Detector) Check(now time.Time, zones map[string]Activity) (declared, ended []string) {
	late := !d.checked.IsZero() && now.Sub(d.checked) > maxStep
	d.watched = d.watchedAt(now)
	d.checked = now
	for name, z := range d.zones {
		activity := zones[name]
		switch {
		case z.silent && activity.Listed == 0:
			z.silent = false
			ended = append(ended, name)
		case !z.silent && !late && d.isSilent(now, name, z, activity):
			z.silent = true
			declared = append(declared, name)
		}
	}
	slices.Sort(declared)
	slices.Sort(ended)
	return declared, ended
}

// isSilent applies rules 1 to 3.
func (d *Detector) isSilent(now time.Time, name string, z *zone, activity Activity) bool {
	required := quietTime
	if float64(activity.Active) <= loadingShare*float64(activity.Listed) {
		required = loadTime
	}
	return activity.Active >= minServers && d.watched-z.watched >= required && d.hasWitness(now, name)
}

// hasWitness reports whether something has arrived from another zone lately (rule 3).
func (d *Detector) hasWitness(now time.Time, name string) bool {
	for other, z := range d.zones {
		if other != name && !z.silent && now.Sub(z.arrived) <= witnessTime {
			return true
		}
	}
	return false
}

// IsSilent reports whether a zone is silent.
func (d *Detector) IsSilent(name string) bool {
	z := d.zones[name]
	return z != nil && z.silent
}
