package compare_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/hyssopwall/hyssopwall/internal/rollout/compare"
)

// full adds the scenarios Tenth and Full.
var full = flag.Bool("full", false, "run all comparisons at full size")

// seeds is the number of runs of each scenario and baseline.
var seeds = flag.Int("seeds", 3, "runs of each site under different seeds")

// only is the name of the only scenario to run; empty runs all.
var only = flag.String("only", "", "run only the scenario of this name")

// red runs the comparison that is known to fail and listed in KNOWN-RED.txt.
var red = flag.Bool("red", false, "run the comparison that is known to fail")

// seedStep is the difference between the seeds of successive runs of a scenario.
const seedStep = 100

// shortLength is the simulated time of a run in short tests, such as those under the
// race detector.
const shortLength = 15 * time.Minute

func TestCompare(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Compare Suite")
}

// runBaselines runs a scenario under every baseline in parallel, prints the table of the
// results and returns them by baseline.
func runBaselines(c compare.Scenario, reclaims bool) map[compare.Baseline]compare.Result {
	all := []compare.Baseline{compare.None, compare.ArrivalOrder, compare.AllAtOnce, compare.OnDemand}
	results := make([]compare.Result, len(all))
	var group errgroup.Group
	for i, baseline := range all {
		group.Go(func() error {
			c := c
			c.Baseline, c.Reclaims = baseline, reclaims
			results[i] = compare.Run(c)
			for range *seeds - 1 {
				c.Seed += seedStep
				results[i].Add(compare.Run(c))
			}
			return nil
		})
	}
	Expect(group.Wait()).To(Succeed())
	fmt.Fprintln(GinkgoWriter, compare.Header)
	byName := map[compare.Baseline]compare.Result{}
	for i, r := range results {
		fmt.Fprintln(GinkgoWriter, r.Row())
		byName[all[i]] = r
	}
	return byName
}

// scenarios returns the scenarios that the flags select.
func scenarios() []compare.Scenario {
	all := []compare.Scenario{compare.Forge(), compare.Consortium()}
	if *full {
		all = append(all, compare.Tenth(), compare.Full())
	}
	return slices.DeleteFunc(all, func(c compare.Scenario) bool { return *only != "" && c.Name != *only })
}

// One spec loops over the scenarios, because the flags are parsed only after the specs
// are declared. A short run is too short for a comparison and checks the guarantees
// only.
var _ = DescribeTable("the decisions",
	func(reclaims bool) {
		for _, c := range scenarios() {
			if testing.Short() {
				c.Length = shortLength
			}
			results := runBaselines(c, reclaims)
			for _, r := range results {
				expectGuarantees(r)
			}
			if testing.Short() {
				continue
			}
			ours := results[compare.None]
			Expect(ours.StepTimes[len(ours.StepTimes)-1]).To(BeNumerically("<=", maxStepTime))
			Expect(compare.Quantile(ours.RolloutTimes, 1)).To(BeNumerically("<=", maxRolloutTime))
			expectBetter(ours, results[compare.ArrivalOrder])
			expectBetter(ours, results[compare.OnDemand])
		}
	},
	Entry("without reclaims", false),
	Entry("with reclaims", true),
)

// Limits of the measurements. Those of times apply to runs without a baseline, that of
// writes to every run.
const (
	maxStepTime    = 24 * time.Minute // of the longest step
	maxRolloutTime = 11 * time.Second // of the longest roll-out
	writesLimit    = 20               // of step objects in any second; exclusive
)

// expectGuarantees checks the guarantees that hold for every site and baseline.
func expectGuarantees(r compare.Result) {
	Expect(r.Samples).To(BeNumerically(">", 0))
	Expect(r.Stale + r.Mislabeled + r.Duplicates).To(BeZero())
	Expect(r.MaxWritesPerSecond).To(BeNumerically("<", writesLimit))
}

// expectBetter checks that the product has less idle time and lower cost than a baseline.
func expectBetter(ours, base compare.Result) {
	Expect(ours.Idle()).To(BeNumerically("<", base.Idle()), "idle time against %s", base.Scenario.Baseline)
	Expect(ours.CostPerThousand()).To(BeNumerically("<", base.CostPerThousand()), "cost against %s", base.Scenario.Baseline)
}

var _ = Describe("the swap of weights in waves", func() {
	It("beats all engines swapping at once at both sites", func() {
		if !*red {
			Skip("known red, see KNOWN-RED.txt")
		}
		for _, c := range scenarios() {
			for _, reclaims := range []bool{false, true} {
				results := runBaselines(c, reclaims)
				expectBetter(results[compare.None], results[compare.AllAtOnce])
			}
		}
	})
})
