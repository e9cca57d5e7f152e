package batch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/rollout/batch"
)

// Pattern: a step waits for its longest generations, some of which run on engines
// that are slower by a third, or that have become several times slower.
var _ = DescribeTable("a generation is moved to a faster engine", func(made, gap, quickest int, want bool) {
	Expect(batch.MovePays(made, time.Duration(gap)*time.Millisecond, time.Duration(quickest)*time.Millisecond)).To(Equal(want))
},
	Entry("soon when its engine is several times slower", 5, 170, 48, true),
	Entry("once it is long, when its engine is slower by a third", 25, 65, 48, true),
	Entry("but not while it is short", 10, 65, 48, false),
	Entry("nor for the difference between two measurements", 100, 50, 48, false),
	Entry("nor to a slower one", 100, 48, 65, false),
	Entry("nor to one whose pace is not known", 100, 170, 0, false),
)
