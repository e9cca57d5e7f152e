package node

import (
	"math/rand/v2"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/entry/outage"
	"github.com/hyssopwall/hyssopwall/internal/site/policy"
)

// registerGauges registers the gauges that operators look at first.
func (n *Node) registerGauges() {
	n.Meter.Gauge("news_age_seconds", func() float64 { return n.policyAge().Seconds() })
	n.Meter.Gauge("batches_open", func() float64 { return float64(n.Batches.RunningCount()) })
	n.Meter.Gauge("copies_held_bytes", func() float64 { return float64(n.Batches.CopiesSize()) })
	n.Meter.Gauge("ready", func() float64 { return boolGauge(n.Ready()) })
	n.Meter.Gauge("cut_off", func() float64 { return boolGauge(n.isCutOff()) })
	n.Meter.Gauge("store_direct", func() float64 { return boolGauge(!n.health.Down()) })
	n.Meter.Gauge("servers_cold", func() float64 { cold, _ := n.Pool.WarmUpCounts(); return float64(cold) })
	n.Meter.Gauge("sends_stopped", func() float64 { _, stopped := n.Pool.WarmUpCounts(); return float64(stopped) })
	n.Meter.Gauge("servers_paced", func() float64 { return float64(n.Pool.PacedCount()) })
	n.Meter.Gauge("zones_evacuated", func() float64 { return float64(n.Pool.EvacuatedCount()) })
	n.Meter.Gauge("work_times_known", func() float64 {
		known, _ := n.Pool.CountWorkTimes(time.Now())
		return float64(known)
	})
	n.Meter.Gauge("work_times_slow", func() float64 {
		_, slow := n.Pool.CountWorkTimes(time.Now())
		return float64(slow)
	})
	n.Meter.Gauge("duty_held", func() float64 {
		_, held := n.holder.Held(ControlDuty)
		return boolGauge(held)
	})
	n.Meter.Gauge("configuration_version", func() float64 {
		if p := n.Policy(); p != nil {
			return float64(p.Version)
		}
		return 0
	})
}

// boolGauge returns 1 for true and 0 for false.
func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// mayContend reports whether this host may contend for the duty. It must be ready and among
// the first maxContenders hosts that answer, and no other host may have claimed the duty within
// holderTimeout. A host that just started or lost the duty waits for Settings.ContendDelay, so
// that two hosts don't take turns, unless its last holder was an earlier process of this host.
func (n *Node) mayContend(string) bool {
	now := n.clock()
	mayReturn := n.resumesDuty.Load() || now-time.Duration(n.dutyLost.Load()) > n.Settings.ContendDelay
	vacant := now-time.Duration(n.otherHeld.Load()) > holderTimeout
	return mayReturn && vacant && n.Directory.RankAnswering(ControlDuty) < maxContenders && n.Ready()
}

// Policy returns the current configuration, or nil before the first one has been read.
func (n *Node) Policy() *policy.Policy { return n.policy.Load() }

// policyAge returns the time since the configuration was last known to be current.
func (n *Node) policyAge() time.Duration { return n.clock() - time.Duration(n.policyKnown.Load()) }

// outageRetryAfter returns the time after which a caller should return that this host refuses
// because it can't reach the store. A host that follows others may not have called the store
// itself since the outage began, so that the age of the configuration counts as well.
func (n *Node) outageRetryAfter() time.Duration {
	age := max(n.health.DownTime(time.Now()), min(n.policyAge(), n.clock()-n.startedAt))
	isolated := len(n.otherHosts()) > 0 && time.Since(n.Directory.LastAnswer()) > isolationDelay
	return outage.Outage{Age: age, Isolated: isolated}.RetryAfter(rand.Float64())
}

// Ready reports whether the host should get callers: it knows the configuration, the list of
// backend servers and, if there are any, the evacuated zones, the configuration was known to
// be current less than maxReadyAge ago, the host isn't cut off from other zones, and no
// planned stop has begun.
func (n *Node) Ready() bool {
	return !n.draining.Load() && n.Policy() != nil && n.Pool.HasList() && !n.Pool.EvacuationsPending() && n.policyAge() < maxReadyAge && !n.isCutOff()
}

// Draining reports whether a planned stop has begun.
func (n *Node) Draining() bool { return n.draining.Load() }
