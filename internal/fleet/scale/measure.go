package scale

import (
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/roster"
)

// warmUp is how long a fleet runs before a measurement starts.
const warmUp = 20 * time.Second

// waitTimeout is the longest wait of a measurement.
const waitTimeout = 2 * time.Minute

// Figures are the costs of a fleet in steady state, per second. Bytes are those sent
// and received together; platform bytes are the size of the values that a host reads
// from the platform.
type Figures struct {
	Hosts              int
	MeanBytes          float64 // of all hosts
	WorstBytes         float64 // of the host with the most bytes
	MeanPackets        float64 // sent, acknowledgments included, of all hosts
	PlatformCalls      float64 // of the whole fleet
	WorstPlatformBytes float64 // of the host with the most platform bytes
}

// NewWarmedUp returns a fleet that has run for the warm-up time with a first document
// submitted.
func NewWarmedUp(config Config) *Fleet {
	f := New(config)
	f.Submit()
	f.Run(warmUp)
	return f
}

// MeasureSteadyState measures a fleet for a time while the configuration changes at
// the configured rate. The changes go on afterwards.
func (f *Fleet) MeasureSteadyState(d time.Duration) Figures {
	f.ScheduleChanges()
	before := make([]Cost, len(f.Hosts))
	for i, h := range f.Hosts {
		before[i] = h.Cost
	}
	f.Run(d)
	figures := Figures{Hosts: len(f.Hosts)}
	share := 1 / (d.Seconds() * float64(len(f.Hosts)))
	for i, h := range f.Hosts {
		c := h.Cost.Sub(before[i])
		figures.MeanBytes += float64(c.Bytes()) * share
		figures.MeanPackets += float64(c.SentPackets) * share
		figures.PlatformCalls += float64(c.PlatformCalls) / d.Seconds()
		figures.WorstBytes = max(figures.WorstBytes, float64(c.Bytes())/d.Seconds())
		figures.WorstPlatformBytes = max(figures.WorstPlatformBytes, float64(c.PlatformBytes)/d.Seconds())
	}
	return figures
}

// MeasureSpread submits a number of changes, one after the other, and returns the
// longest time until a change was in force on every host that is up, at most two
// minutes.
func (f *Fleet) MeasureSpread(changes int) time.Duration {
	longest := time.Duration(0)
	for range changes {
		version := f.Submit()
		took, _ := f.RunUntil(waitTimeout, func() bool { return f.InForce(version) })
		longest = max(longest, took)
		f.Run(time.Duration(f.Rand.Int64N(int64(2 * time.Second))))
	}
	return longest
}

// MeasureDetection crashes and restarts a number of hosts, one after the other, in
// successive zones, and returns the longest time until every other host of the zone had marked the
// crashed host failed, at most two minutes. It replaces OnMemberChanged and then removes it.
func (f *Fleet) MeasureDetection(crashes int) time.Duration {
	longest := time.Duration(0)
	for i := range crashes {
		zone := f.Zone(i % f.Config.Zones)
		crashed := zone[(i*7+1)%len(zone)]
		failed := 0
		f.OnMemberChanged = func(_ *Host, m roster.Member) {
			if m.Name == crashed.Name && m.Status == roster.Failed {
				failed++
			}
		}
		f.Crash(crashed)
		took, _ := f.RunUntil(waitTimeout, func() bool { return failed >= len(zone)-1 })
		longest = max(longest, took)
		f.Boot(crashed, uint32(f.Now.Unix()))
		f.Run(10 * time.Second)
	}
	f.OnMemberChanged = nil
	return longest
}

// CountFalseFailures runs a fleet in which no host fails and returns how often a host
// marked another one failed. It replaces OnMemberChanged and then removes it.
func (f *Fleet) CountFalseFailures(d time.Duration) int {
	count := 0
	f.OnMemberChanged = func(_ *Host, m roster.Member) {
		if m.Status == roster.Failed {
			count++
		}
	}
	f.Run(d)
	f.OnMemberChanged = nil
	return count
}
