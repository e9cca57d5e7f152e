package batch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/rollout/batch"
)

// A step waits for its longest generations. Some of them run on engines that are slower by a
// third, or that have become several times slower.
var _ = DescribeTable("a generation is moved to a faster engine", func(generated, gap, quickest, runs int, want bool) {
	Expect(batch.MoveSavesTime(generated, time.Duration(gap)*time.Millisecond, time.Duration(quickest)*time.Millisecond, runs)).To(Equal(want))
},
	Entry("soon when its engine is several times slower", 5, 170, 48, 1, true),
	Entry("once it is long, when its engine is slower by a third", 25, 65, 48, 1, true),
	Entry("but not while it is short", 10, 65, 48, 1, false),
	Entry("nor for the difference between two measurements", 100, 50, 48, 1, false),
	Entry("nor to a slower one", 100, 48, 65, 1, false),
	Entry("nor to one whose pace is not known", 100, 170, 0, 1, false),
	// The generations of many hosts move to the same engine, slow it down, and move on.
	Entry("nor a second time for the same gain", 25, 65, 48, 2, false),
	Entry("but further from an engine that has become several times slower", 10, 170, 48, 3, true),
)
