package compare

import (
	"fmt"
	"slices"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/rollout/step"
)

// Result is what a run measured.
type Result struct {
	Scenario   Scenario
	Steps      int             // whole within the run
	Times      []time.Duration // from open to whole, sorted
	Waited     time.Duration   // of all trainers, for samples
	Worked     time.Duration   // of all trainers, training
	Samples    int             // handed over, fresh and rightly labeled
	Stale      int             // handed over past the bound
	Mislabeled int             // handed over under other versions than the truth
	Repeated   int             // handed over twice
	Delivered  float64         // tokens
	Wasted     float64         // tokens generated and not delivered
	Cost       float64         // in hours of one on-demand server
	Spot       float64         // tokens generated on spot servers
	Generated  float64         // tokens
	Writes     int             // of step objects
	MostWrites int             // in any one second
	Rolls      []time.Duration // from a release to the last serving engine, sorted
	Reclaimed  int             // servers
	Crashed    int
	Stats      step.Stats // sum of some counters
}

// Idle returns the share of time in which trainers waited.
func (r Result) Idle() float64 {
	return r.Waited.Seconds() / max(1, (r.Waited+r.Worked).Seconds())
}

// CostPerThousand returns the cost per thousand fresh samples, in hours of an
// on-demand server.
func (r Result) CostPerThousand() float64 { return r.Cost * 1000 / max(1, float64(r.Samples)) }

// WastedShare returns the share of generated tokens that nobody got.
func (r Result) WastedShare() float64 { return r.Wasted / max(1, r.Generated) }

// SpotShare returns the share of tokens generated on spot servers.
func (r Result) SpotShare() float64 { return r.Spot / max(1, r.Generated) }

// WritesPerSecond returns the mean rate of writes to the platform.
func (r Result) WritesPerSecond() float64 { return float64(r.Writes) / r.Scenario.Length.Seconds() }

// Quantile returns the q-quantile of sorted times, or zero without any.
func Quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	return times[min(len(times)-1, int(q*float64(len(times))))]
}

// Header names the columns of Row.
const Header = "| site | reclaims | decisions | steps | idle | p50 s | p99 s | wasted | cost/1000 | spot | writes/s | roll-out s | stale or mislabeled |\n" +
	"|---|---|---|---|---|---|---|---|---|---|---|---|---|"

// Row returns the result as a line of a table.
func (r Result) Row() string {
	return fmt.Sprintf("| %s | %v | %s | %d | %.1f%% | %.0f | %.0f | %.1f%% | %.3f | %.0f%% | %.2f | %.1f | %d |",
		r.Scenario.Name, r.Scenario.Reclaims, r.Scenario.Baseline, r.Steps, 100*r.Idle(),
		Quantile(r.Times, 0.5).Seconds(), Quantile(r.Times, 0.99).Seconds(),
		100*r.WastedShare(), r.CostPerThousand(), 100*r.SpotShare(), r.WritesPerSecond(),
		Quantile(r.Rolls, 1).Seconds(), r.Stale+r.Mislabeled)
}

// Add adds the figures of another run of the same site, under another seed, so
// that the chance of a single run weighs less.
func (r *Result) Add(other Result) {
	r.Scenario.Length += other.Scenario.Length
	r.Steps += other.Steps
	r.Times = append(r.Times, other.Times...)
	r.Waited += other.Waited
	r.Worked += other.Worked
	r.Samples += other.Samples
	r.Stale += other.Stale
	r.Mislabeled += other.Mislabeled
	r.Repeated += other.Repeated
	r.Delivered += other.Delivered
	r.Wasted += other.Wasted
	r.Cost += other.Cost
	r.Spot += other.Spot
	r.Generated += other.Generated
	r.Writes += other.Writes
	r.MostWrites = max(r.MostWrites, other.MostWrites)
	r.Rolls = append(r.Rolls, other.Rolls...)
	r.Reclaimed += other.Reclaimed
	r.Crashed += other.Crashed
	r.sort()
}

func (r *Result) sort() {
	slices.Sort(r.Times)
	slices.Sort(r.Rolls)
}
