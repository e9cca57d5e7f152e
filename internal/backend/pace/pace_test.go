package pace_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/backend/pace"
	"github.com/hyssopwall/hyssopwall/internal/standin/cases"
)

func TestPace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Pace Suite")
}

// script is a test case of a server that has started. In each step at most one thing happens,
// after some milliseconds; then there is room for the given number of requests, -1 for no
// limit.
type script struct {
	Pattern string
	Limit   int
	Steps   []struct {
		After, Took  int
		Refuse, Fail bool
		Room         int
	}
}

var _ = Describe("the window of a server", func() {
	all, err := cases.Load[script]("testdata/*.hujson")
	if err != nil {
		panic(err)
	}
	for _, c := range all {
		It(c.Name+": "+c.Data.Pattern, func() {
			now := time.Unix(1_800_000_000, 0)
			window := pace.Started(now)
			for i, s := range c.Data.Steps {
				now = now.Add(time.Duration(s.After) * time.Millisecond)
				switch {
				case s.Took > 0:
					window.Answer(now, time.Duration(s.Took)*time.Millisecond, c.Data.Limit)
				case s.Refuse:
					window.Refuse(now)
				case s.Fail:
					window.Fail(now)
				}
				room := 0
				for room >= 0 && window.Allows(now, room, func() int { return 0 }) {
					room++
					if room > 1000 {
						room = -1
					}
				}
				Expect(room).To(Equal(s.Room), "step %d", i)
			}
		})
	}
})

// A request is chosen with the time from before the server was listed: its goroutine stood
// still meanwhile. Guards against a negative number of steps.
var _ = It("is allowed for the first hosts at a time before its listing", func() {
	window := pace.Started(time.Unix(1_800_000_000, 0))
	before := time.Unix(1_800_000_000, 0).Add(-time.Minute)
	Expect(window.Allows(before, 0, func() int { return 0 })).To(BeTrue())
	Expect(window.Allows(before, 0, func() int { return 4 })).To(BeFalse())
})
