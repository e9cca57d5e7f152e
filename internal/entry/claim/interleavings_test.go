package claim_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/fleet/explore"
)

var walkSeed = flag.Uint64("explore.seed", seed, "seed of the walks")

var walkFactor = flag.Int("explore.times", 1, "multiplies the walks explored")

// Size of the exploration in CI; the flag explore.times multiplies the walks.
const (
	walks = 600
	steps = 60 // of each walk
	seed  = uint64(1)
)

var _ = Describe("the interleavings of a claim", func() {
	DescribeTable("never allow two attempts to run", func(faults, crashes int, lone bool) {
		count := walks * *walkFactor
		if testing.Short() {
			count = walks / 6
		}
		m := model{planned: true}.explored(faults, crashes, lone)
		searched := explore.Search(m, 2*count)
		AddReportEntry("claim, search", searched.String())
		Expect(searched.Violation).NotTo(HaveOccurred(), searched.String())
		walked := explore.Walk(m, *walkSeed, count, steps)
		AddReportEntry("claim, walks", walked.String())
		Expect(walked.Violation).NotTo(HaveOccurred(), walked.String())
	},
		Entry("with an owner and a copy", 2, 1, false),
		Entry("without crashes", 2, 0, false),
		Entry("with an owner alone", 2, 1, true),
	)

	// The model must be able to fail: without any one guard of the protocol, a walk
	// finds two attempts that run.
	DescribeTable("are broken without", func(guards removedGuards, faults, crashes int, lone bool, seed uint64) {
		m := model{removed: guards}.explored(faults, crashes, lone)
		m.Key = nil
		report := explore.Walk(m, max(seed, *walkSeed), 6_000, steps)
		AddReportEntry("without a guard", report.String())
		Expect(report.Violation).To(HaveOccurred(), report.String())
	},
		Entry("the acknowledgments of the copies", removedGuards{acks: true}, 0, 0, false, seed),
		Entry("the refusal of old epochs", removedGuards{minEpoch: true}, 0, 0, false, seed),
		Entry("bringing a new copy up to date", removedGuards{sync: true}, 0, 0, false, seed),
		Entry("the acknowledgment of a host that is brought up to date", removedGuards{join: true}, 0, 0, false, uint64(4)),
		Entry("reading back", removedGuards{readBack: true}, 1, 0, false, uint64(6)),
		Entry("the renewal of an owner alone", removedGuards{renewal: true, lost: true}, 0, 0, true, seed),
		Entry("the mark of a lost view", removedGuards{lost: true}, 0, 1, false, seed),
	)
})
