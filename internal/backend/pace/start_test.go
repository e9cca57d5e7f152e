package pace

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a report on the start of a server that counts requests before or after it.
var _ = It("counts the requests of the first seconds after a start, by second", func() {
	began := time.Unix(1e9, 0)
	start := NewStart(began, true)
	Expect(start.Any()).To(BeFalse())
	for _, ms := range []int{-10, 0, 999, 1000, 4999, 5000, 9000} {
		start.Send(began.Add(time.Duration(ms) * time.Millisecond))
	}
	start.Refuse(began.Add(time.Second))
	start.Fail(began.Add(6 * time.Second))
	Expect(start).To(Equal(Start{Since: began, Recovered: true, Sends: [5]int{2, 1, 0, 0, 1}, Refusals: 1}))
	Expect(start.Any()).To(BeTrue())
	var none Start
	none.Send(began)
	Expect(none.Any()).To(BeFalse())
})
