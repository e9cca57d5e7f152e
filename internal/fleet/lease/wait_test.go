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

// part is a host's session and duty, moved by hand: every call is answered at
// once, and no time passes but what a test names.
type part struct {
	store   *explore.FakeStore
	session lease.Session
	duty    lease.Duty
}

func newPart(store *explore.FakeStore, host string, incarnation uint64, config lease.Config) *part {
	return &part{
		store:   store,
		session: lease.Session{Host: host, Incarnation: incarnation, Config: config},
		duty:    lease.Duty{Name: "order", Host: host, Incarnation: incarnation, Config: config},
	}
}

// move makes all calls that are due at an instant, and returns whether the host
// holds the duty then.
func (p *part) move(now time.Duration) bool {
	for again := true; again; {
		var (
			call commit.Call
			ok   bool
		)
		p.session, call, again = p.session.Next(p.duty.NeedsSession(now), now)
		if again {
			p.session = p.session.Apply(commit.Do(context.Background(), p.store, call), now)
		}
		if p.duty, call, ok = p.duty.Next(p.session, true, now); ok {
			again = true
			p.duty = p.duty.Apply(commit.Do(context.Background(), p.store, call), now)
		}
	}
	_, held := p.duty.Held(p.session, now)
	return held
}

// Pattern: the holder dies, alone or with all hosts, and what it did waits for
// the next one.
var _ = DescribeTable("a duty is taken after", func(host string, restarts bool, want time.Duration) {
	const (
		dies = 3 * time.Second
		step = 100 * time.Millisecond
	)
	store := &explore.FakeStore{}
	first := newPart(store, "a", 1, lease.Config{})
	Expect(first.move(0)).To(BeTrue())
	next := newPart(store, host, 2, lease.Config{SingleProcess: restarts})
	now := dies
	for ; !next.move(now); now += step {
		Expect(now).To(BeNumerically("<", time.Minute))
	}
	Expect(now - dies).To(Equal(want))
},
	Entry("the silence and the rest of the wait, by another host", "b", false,
		lease.DefaultTerm+lease.DefaultMargin+lease.DefaultOrderTimeout),
	Entry("the same, by a host whose earlier process may still run", "a", false,
		lease.DefaultTerm+lease.DefaultMargin+lease.DefaultOrderTimeout),
	Entry("the orders in flight, by a host whose earlier process has ended", "a", true, lease.DefaultOrderTimeout),
)
