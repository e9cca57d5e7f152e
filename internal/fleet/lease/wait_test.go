package lease_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/fleet/commit"
	"github.com/hyssopwall/hyssopwall/internal/fleet/explore"
	"github.com/hyssopwall/hyssopwall/internal/fleet/lease"
)

// contender is a host's session and duty, driven by a test: every call is answered at
// once, and the test sets the time.
type contender struct {
	store   *explore.FakeStore
	session lease.Session
	duty    lease.Duty
}

func newContender(store *explore.FakeStore, host string, incarnation uint64, config lease.Config) *contender {
	return &contender{
		store:   store,
		session: lease.Session{Host: host, Incarnation: incarnation, Config: config},
		duty:    lease.Duty{Name: "order", Host: host, Incarnation: incarnation, Config: config},
	}
}

// advance makes all calls that are due at an instant, and reports whether the host
// holds the duty then.
func (c *contender) advance(now time.Duration) bool {
	for progress := true; progress; {
		var (
			call commit.Call
			ok   bool
		)
		c.session, call, progress = c.session.Next(c.duty.NeedsSession(now), now)
		if progress {
			c.session = c.session.Apply(commit.Do(context.Background(), c.store, call), now)
		}
		if c.duty, call, ok = c.duty.Next(c.session, true, now); ok {
			progress = true
			c.duty = c.duty.Apply(commit.Do(context.Background(), c.store, call), now)
		}
	}
	_, held := c.duty.Held(c.session, now)
	return held
}

// Guards against a wait before a takeover that is shorter than safe or longer than needed
// when the holder's process dies, alone or with those of all hosts.
var _ = DescribeTable("a duty is taken after", func(host string, restarts bool, want time.Duration) {
	const (
		diesAt = 3 * time.Second
		step   = 100 * time.Millisecond
	)
	store := &explore.FakeStore{}
	first := newContender(store, "a", 1, lease.Config{})
	Expect(first.advance(0)).To(BeTrue())
	next := newContender(store, host, 2, lease.Config{SingleProcess: restarts})
	now := diesAt
	for ; !next.advance(now); now += step {
		Expect(now).To(BeNumerically("<", time.Minute))
	}
	Expect(now - diesAt).To(Equal(want))
},
	Entry("the term and the rest of the wait, by another host", "b", false,
		lease.DefaultTerm+lease.DefaultMargin+lease.DefaultOrderTimeout),
	Entry("the term and the rest of the wait, by a host whose earlier process may still run", "a", false,
		lease.DefaultTerm+lease.DefaultMargin+lease.DefaultOrderTimeout),
	Entry("the timeout of orders, by a host whose earlier process has ended", "a", true, lease.DefaultOrderTimeout),
)
