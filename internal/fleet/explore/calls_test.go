package explore_test

import (
	"context"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/billing/usage"
)

// The platform's rate limits, and the fleet that the bounds are computed for.
const (
	platformReads  = 2000.0 // calls per second
	platformWrites = 300.0  // calls per second
	maxShare       = 0.01   // of the limits that these protocols may use while idle
	fleetHosts     = 390
	fleetShards    = 64
	dailyFailures  = 64 // of hosts of the fleet
	duties         = 4
)

// countCalls returns the numbers of calls that a step makes.
func (s *site) countCalls(step func()) (reads, writes int) {
	reads, writes = s.store.Calls()
	step()
	r, w := s.store.Calls()
	return r - reads, w - writes
}

// waitHolder runs the site until a host of the zone holds the duty, for an hour at
// most, and returns the time that it took.
func (s *site) waitHolder(ctx context.Context, contend func(*host) bool, zone string) time.Duration {
	start := s.Now()
	for !strings.Contains(strings.Join(s.holders(), " "), zone) && s.Now() < start+time.Hour {
		s.advance(ctx, 500*time.Millisecond, contend)
	}
	return s.Now() - start
}

var _ = Describe("calls to the platform", func() {
	It("stay below a hundredth of its rate limits while idle, and are few after a failure", func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s := newSite(ctx)
		s.advance(ctx, time.Minute, func(h *host) bool { return h.zone == "a" })
		s.tickManagers(ctx)

		reads, writes := s.countCalls(func() { s.advance(ctx, time.Hour, all) })
		hour := time.Hour.Seconds()
		reportFigure("idle leases, %d duties with one more contender each: %.2f reads/s, %.2f writes/s", duties, duties*float64(reads)/hour, duties*float64(writes)/hour)
		Expect(duties * float64(reads) / hour).To(BeNumerically("<", maxShare*platformReads))
		Expect(duties * float64(writes) / hour).To(BeNumerically("<", maxShare*platformWrites))

		reads, writes = s.countCalls(func() { s.tickManagers(ctx) })
		reportFigure("idle claims: %d reads, %d writes", reads, writes)
		Expect(reads + writes).To(BeZero())

		first := s.hosts[0]
		_ = first.sealer.RunOnce(ctx)
		for i := range 100 {
			Expect(s.hosts[i%6].meter.Add(ctx, "w", usage.Count{Requests: 1})).To(Succeed())
		}
		s.advance(ctx, usage.WindowLength+usage.SealDelay, func(h *host) bool { return h.zone == "a" })
		reads, writes = s.countCalls(func() {
			for range 720 {
				_ = first.sealer.RunOnce(ctx)
			}
		})
		reportFigure("usage, one window sealed and reported in 720 turns: %d reads, %d writes", reads, writes)
		Expect(float64(reads+writes) / hour).To(BeNumerically("<", maxShare*platformWrites))

		var took time.Duration
		s.setCuts([]string{"a"}, false)
		reads, writes = s.countCalls(func() { took = s.waitHolder(ctx, all, "b") })
		reportFigure("a holder that is cut off: %v until the next one holds the duty, %d reads, %d writes", took, reads, writes)
		Expect(took).To(BeNumerically("<", time.Minute))
	})

	It("are few after the failure of a member of a shard", func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for _, failed := range []string{"a0", "a1"} {
			s := newSite(ctx)
			s.tickManagers(ctx)
			s.fail(failed)
			_, writes := s.countCalls(func() { s.tickManagers(ctx) })
			memberships := fleetShards * 3.0 / fleetHosts // of a host on average; a shard has three members
			reportFigure("claims, %s of a shard fails: %d writes; %.0f a day at %d failures", failed, writes, dailyFailures*memberships*float64(writes), dailyFailures)
			Expect(writes).To(BeNumerically("<=", 3))
			Expect(writes).To(BeNumerically(">", 0))
		}
	})
})

// reportFigure adds a measured figure to the test report.
func reportFigure(format string, args ...any) {
	AddReportEntry("measured", fmt.Sprintf(format, args...))
}
