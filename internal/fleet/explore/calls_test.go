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

// The platform's rates and the fleet that the bounds are for.
const (
	platformReads  = 2000.0 // calls a second
	platformWrites = 300.0
	share          = 0.01 // of the rates that these protocols may use at rest
	fleetHosts     = 390
	fleetShards    = 64
	dayFailures    = 64
	duties         = 4
)

// spent returns the calls that a step makes.
func (s *site) spent(step func()) (reads, writes int) {
	reads, writes = s.store.Calls()
	step()
	r, w := s.store.Calls()
	return r - reads, w - writes
}

func (s *site) waitTurn(ctx context.Context, contend func(*host) bool, until string) time.Duration {
	start := s.Now()
	for !strings.Contains(strings.Join(s.holders(), " "), until) && s.Now() < start+time.Hour {
		s.pass(ctx, 500*time.Millisecond, contend)
	}
	return s.Now() - start
}

var _ = Describe("calls to the platform", func() {
	It("stay under a hundredth of its rates at rest, and are few for a failure", func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s := newSite(ctx)
		s.pass(ctx, time.Minute, func(h *host) bool { return h.zone == "a" })
		s.look(ctx)

		reads, writes := s.spent(func() { s.pass(ctx, time.Hour, all) })
		hour := time.Hour.Seconds()
		note("leases at rest, %d duties with one more contender each: %.2f reads/s, %.2f writes/s", duties, duties*float64(reads)/hour, duties*float64(writes)/hour)
		Expect(duties * float64(reads) / hour).To(BeNumerically("<", share*platformReads))
		Expect(duties * float64(writes) / hour).To(BeNumerically("<", share*platformWrites))

		reads, writes = s.spent(func() { s.look(ctx) })
		note("claims at rest: %d reads, %d writes", reads, writes)
		Expect(reads + writes).To(BeZero())

		first := s.hosts[0]
		_ = first.sealer.Turn(ctx)
		for i := range 100 {
			Expect(s.hosts[i%6].meter.Add(ctx, "w", usage.Count{Requests: 1})).To(Succeed())
		}
		s.pass(ctx, usage.Length+usage.Grace, func(h *host) bool { return h.zone == "a" })
		reads, writes = s.spent(func() {
			for range 720 {
				_ = first.sealer.Turn(ctx)
			}
		})
		note("usage, one window sealed and reported in 720 turns: %d reads, %d writes", reads, writes)
		Expect(float64(reads+writes) / hour).To(BeNumerically("<", share*platformWrites))

		var took time.Duration
		s.cut([]string{"a"}, false)
		reads, writes = s.spent(func() { took = s.waitTurn(ctx, all, "b") })
		note("a holder that falls silent: %v until the next one holds the duty, %d reads, %d writes", took, reads, writes)
		Expect(took).To(BeNumerically("<", time.Minute))
	})

	It("are few when the member of a shard fails", func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for _, failed := range []string{"a0", "a1"} {
			s := newSite(ctx)
			s.look(ctx)
			s.fail(failed)
			_, writes := s.spent(func() { s.look(ctx) })
			memberships := fleetShards * 3.0 / fleetHosts
			note("claims, %s of a shard fails: %d writes; %.0f a day at %d failures", failed, writes, dayFailures*memberships*float64(writes), dayFailures)
			Expect(writes).To(BeNumerically("<=", 3))
			Expect(writes).To(BeNumerically(">", 0))
		}
	})
})

// note prints a figure and keeps it in the report.
func note(format string, args ...any) {
	AddReportEntry("measured", fmt.Sprintf(format, args...))
}
