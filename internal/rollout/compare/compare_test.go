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

// The flag is known only once the specs run, so that one spec goes through the
// scenarios.
var _ = DescribeTable("the decisions keep their promises",
	func(reclaims bool) {
		for _, c := range scenarios() {
			if testing.Short() {
				c.Length = shortLength
			}
			for _, r := range table(c, reclaims) {
				Expect(r.Samples).To(BeNumerically(">", 0))
				Expect(r.Stale + r.Mislabeled + r.Repeated).To(BeZero())
				Expect(r.MostWrites).To(BeNumerically("<", 20))
			}
		}
	},
	Entry("without reclaims", false),
	Entry("with reclaims", true),
)
