package compare

import (
	"fmt"
	"slices"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/rollout/step"
)

// Result holds the measurements of one run, or of several runs joined by Add.
type Result struct {
	Scenario           Scenario
	Steps              int             // completed within the run
	StepTimes          []time.Duration // from the opening to the completion of each step, sorted
	TrainerWait        time.Duration   // waiting for samples, from the opening to the end of each step, summed over the trainers
	TrainerWork        time.Duration   // training time after each completed step, summed over the trainers
	Samples            int             // delivered once, fresh and with the right label
	Stale              int             // delivered although stale
	Mislabeled         int             // delivered with other weights versions than the true ones
	Duplicates         int             // delivered twice
	DeliveredTokens    float64         // tokens of delivered samples, also of stale, mislabeled and duplicate ones
	WastedTokens       float64         // generated tokens, less those of delivered samples, running streams and samples still to be delivered
	Cost               float64         // of all servers from their order on, in hours of one on-demand server
	SpotTokens         float64         // tokens generated on spot servers
	GeneratedTokens    float64         // tokens
	Writes             int             // of step objects
	MaxWritesPerSecond int             // largest number of writes in any second
	RolloutTimes       []time.Duration // from a release until the last serving engine has loaded it, sorted
	Reclaimed          int             // number of reclaimed servers
	Crashed            int             // number of engine crashes
	Stats              step.Stats      // summed over the steps; only the counters that addStats adds
}

// Idle returns the share of the time that trainers waited for samples.
func (r Result) Idle() float64 {
	return r.TrainerWait.Seconds() / max(1, (r.TrainerWait+r.TrainerWork).Seconds())
}

// CostPerThousand returns the cost per thousand fresh samples, in hours of an
// on-demand server. Without a fresh sample, one is assumed.
func (r Result) CostPerThousand() float64 { return r.Cost * 1000 / max(1, float64(r.Samples)) }

// WastedShare returns the share of generated tokens that were wasted.
func (r Result) WastedShare() float64 { return r.WastedTokens / max(1, r.GeneratedTokens) }

// SpotShare returns the share of tokens that spot servers generated.
func (r Result) SpotShare() float64 { return r.SpotTokens / max(1, r.GeneratedTokens) }

// WritesPerSecond returns the mean rate of writes of step objects to the platform.
func (r Result) WritesPerSecond() float64 { return float64(r.Writes) / r.Scenario.Length.Seconds() }

// Quantile returns the q-quantile of sorted times without interpolation: the element at
// index q*len(times), rounded down, and at most the last. It returns zero if there are
// none.
func Quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	return times[min(len(times)-1, int(q*float64(len(times))))]
}

// Header is the head of a Markdown table whose rows Row returns. The decisions are the
// baseline, p50 and p99 are of the step times, and the roll-out time is the longest one.
const Header = "| site | reclaims | decisions | steps | idle | p50 s | p99 s | wasted | cost/1000 | spot | writes/s | roll-out s | stale or mislabeled |\n" +
	"|---|---|---|---|---|---|---|---|---|---|---|---|---|"

// Row returns the result as a row of a Markdown table.
func (r Result) Row() string {
	return fmt.Sprintf("| %s | %v | %s | %d | %.1f%% | %.0f | %.0f | %.1f%% | %.3f | %.0f%% | %.2f | %.1f | %d |",
		r.Scenario.Name, r.Scenario.Reclaims, r.Scenario.Baseline, r.Steps, 100*r.Idle(),
		Quantile(r.StepTimes, 0.5).Seconds(), Quantile(r.StepTimes, 0.99).Seconds(),
		100*r.WastedShare(), r.CostPerThousand(), 100*r.SpotShare(), r.WritesPerSecond(),
		Quantile(r.RolloutTimes, 1).Seconds(), r.Stale+r.Mislabeled)
}

// Add adds the measurements of another run of the same site under another seed, which
// reduces the effect of chance in a single run. The scenario stays that of r, except that
// its Length becomes the sum of both, as WritesPerSecond requires. Stats is not added.
func (r *Result) Add(other Result) {
	r.Scenario.Length += other.Scenario.Length
	r.Steps += other.Steps
	r.StepTimes = append(r.StepTimes, other.StepTimes...)
	r.TrainerWait += other.TrainerWait
	r.TrainerWork += other.TrainerWork
	r.Samples += other.Samples
	r.Stale += other.Stale
	r.Mislabeled += other.Mislabeled
	r.Duplicates += other.Duplicates
	r.DeliveredTokens += other.DeliveredTokens
	r.WastedTokens += other.WastedTokens
	r.Cost += other.Cost
	r.SpotTokens += other.SpotTokens
	r.GeneratedTokens += other.GeneratedTokens
	r.Writes += other.Writes
	r.MaxWritesPerSecond = max(r.MaxWritesPerSecond, other.MaxWritesPerSecond)
	r.RolloutTimes = append(r.RolloutTimes, other.RolloutTimes...)
	r.Reclaimed += other.Reclaimed
	r.Crashed += other.Crashed
	r.sort()
}

// sort sorts the times, as Quantile requires.
func (r *Result) sort() {
	slices.Sort(r.StepTimes)
	slices.Sort(r.RolloutTimes)
}
