package batch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The wall clock jumps by seconds on the host that accepts a batch, or on the host that
// runs it. Guards against an item that is given up before it expires.
var _ = DescribeTable("items expire no earlier than their route allows, however wall clocks jump", func(off, earliest, latest time.Duration) {
	now := time.Now()
	record := Record{Submitted: now.Add(off).UnixMilli()}
	left := expiry(Batch{Expiry: 40 * time.Second}, record, now).Sub(now)
	Expect(left).To(BeNumerically(">=", earliest))
	Expect(left).To(BeNumerically("<=", latest))
},
	Entry("just now", time.Duration(0), 40*time.Second, 40*time.Second),
	Entry("by a host whose clock is behind", -2400*time.Millisecond, 40*time.Second, 40*time.Second),
	Entry("by a host whose clock is ahead", 2400*time.Millisecond, 40*time.Second, 40*time.Second),
	Entry("a while ago", -20*time.Second, 20*time.Second, 25*time.Second),
	Entry("long ago", -time.Hour, time.Duration(0), time.Duration(0)),
)
