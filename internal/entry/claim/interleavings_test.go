package claim_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/fleet/explore"
)

var from = flag.Uint64("explore.seed", seed, "seed of the walks")

var times = flag.Int("explore.times", 1, "multiplies the walks explored")

// Bounds of the walks in CI; the flag multiplies them.
const (
	walks = 600
	steps = 60
	seed  = uint64(1)
)

var _ = Describe("the interleavings of a claim", func() {
	DescribeTable("never allow two attempts to run", func(faults, crashes int, lone bool) {
		count := walks * *times
		if testing.Short() {
			count = walks / 6
		}
		m := model{whole: true}.explored(faults, crashes, lone)
		near := explore.Search(m, 2*count)
		AddReportEntry("claim, search", near.String())
		Expect(near.Violation).NotTo(HaveOccurred(), near.String())
		far := explore.Walk(m, *from, count, steps)
		AddReportEntry("claim, walks", far.String())
		Expect(far.Violation).NotTo(HaveOccurred(), far.String())
	},
		Entry("with an owner and a copy", 2, 1, false),
		Entry("without crashes", 2, 0, false),
		Entry("with an owner alone", 2, 1, true),
	)

	DescribeTable("are broken without", func(w weak, faults, crashes int, lone bool, seed uint64) {
		m := model{weak: w}.explored(faults, crashes, lone)
		m.Key = nil
		report := explore.Walk(m, max(seed, *from), 6_000, steps)
		AddReportEntry("without a guard", report.String())
		Expect(report.Violation).To(HaveOccurred(), report.String())
	},
		Entry("the acknowledgments of the copies", weak{acks: true}, 0, 0, false, seed),
		Entry("the refusal of old epochs", weak{floor: true}, 0, 0, false, seed),
		Entry("bringing a new copy up to date", weak{sync: true}, 0, 0, false, seed),
		Entry("asking a host that is brought up to date", weak{join: true}, 0, 0, false, uint64(4)),
		Entry("reading back", weak{readBack: true}, 1, 0, false, uint64(6)),
		Entry("the renewal of an owner alone", weak{renewal: true, lost: true}, 0, 0, true, seed),
		Entry("the mark of a lost view", weak{lost: true}, 0, 1, false, seed),
	)
})
