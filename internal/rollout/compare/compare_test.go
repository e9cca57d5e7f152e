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

// full runs every decision at the size to design for as well, and prints the
// table.
var full = flag.Bool("full", false, "run all comparisons at full size")

// seeds is the number of runs of each site.
var seeds = flag.Int("seeds", 3, "runs of each site under different seeds")

// only names the one scenario to run.
var only = flag.String("only", "", "run only the scenario of this name")

// red runs the comparison that is listed in KNOWN-RED.txt.
var red = flag.Bool("red", false, "run the comparison that is known to fail")

// seedStep lies between the seeds of a site's runs.
const seedStep = 100

// shortLength is the length of a run under the race detector.
const shortLength = 15 * time.Minute

func TestCompare(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Compare Suite")
}

// table runs a scenario under every kind of decisions, side by side, and
// returns the results by baseline.
func table(c compare.Scenario, reclaims bool) map[compare.Baseline]compare.Result {
	all := []compare.Baseline{compare.None, compare.Arrival, compare.AllAtOnce, compare.OnDemand}
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

func scenarios() []compare.Scenario {
	all := []compare.Scenario{compare.Forge(), compare.Consortium()}
	if *full {
		all = append(all, compare.Tenth(), compare.Full())
	}
	return slices.DeleteFunc(all, func(c compare.Scenario) bool { return *only != "" && c.Name != *only })
}

// The flags are known only once the specs run, so that one spec goes through
// the scenarios. A short run is too short to compare and checks the promises
// alone.
var _ = DescribeTable("the decisions",
	func(reclaims bool) {
		for _, c := range scenarios() {
			if testing.Short() {
				c.Length = shortLength
			}
			results := table(c, reclaims)
			for _, r := range results {
				keeps(r)
			}
			if testing.Short() {
				continue
			}
			ours := results[compare.None]
			Expect(ours.Times[len(ours.Times)-1]).To(BeNumerically("<=", wholeWithin))
			Expect(compare.Quantile(ours.Rolls, 1)).To(BeNumerically("<=", rolledWithin))
			beats(ours, results[compare.Arrival])
			beats(ours, results[compare.OnDemand])
		}
	},
	Entry("without reclaims", false),
	Entry("with reclaims", true),
)

// The targets.
const (
	wholeWithin  = 24 * time.Minute
	rolledWithin = 11 * time.Second
	mostWrites   = 20 // of step objects in any second
)

// keeps are the promises, whatever the site.
func keeps(r compare.Result) {
	Expect(r.Samples).To(BeNumerically(">", 0))
	Expect(r.Stale + r.Mislabeled + r.Repeated).To(BeZero())
	Expect(r.MostWrites).To(BeNumerically("<", mostWrites))
}

func beats(ours, base compare.Result) {
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
				results := table(c, reclaims)
				beats(results[compare.None], results[compare.AllAtOnce])
			}
		}
	})
})
