package step_test

import (
	"context"
	"errors"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/backend/service"
	"github.com/hyssopwall/hyssopwall/internal/rollout/sample"
	"github.com/hyssopwall/hyssopwall/internal/rollout/step"
)

// scorer fails its first calls with the given errors and scores all later ones.
type scorer struct {
	mu        sync.Mutex
	failures  []error
	retryable bool
	calls     int
}

func (s *scorer) Retryable() bool { return s.retryable }

func (s *scorer) Score(context.Context, step.ID, sample.Sample) (float64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.calls <= len(s.failures) {
		return 0, s.failures[s.calls-1]
	}
	return 0.5, nil
}

// fastClock is a clock whose timers fire within a millisecond.
type fastClock struct{ clock }

func (fastClock) After(d time.Duration) <-chan time.Time { return time.After(min(d, time.Millisecond)) }

var _ = DescribeTable("scoring loses no sample and retries only where that is safe",
	func(retryable bool, failures []error, calls int, scoring sample.Scoring) {
		wanted := plan(1, 1)
		wanted.Score = true
		s := &scorer{failures: failures, retryable: retryable}
		owner, err := step.Open(context.Background(), step.Config{
			Self: "h", Store: &store{}, Generator: &generator{version: 1}, Scorer: s, Clock: fastClock{},
		}, wanted.ID, &wanted)
		Expect(err).NotTo(HaveOccurred())
		chunk, err := owner.Pull(context.Background(), step.Request{})
		Expect(err).NotTo(HaveOccurred())
		Expect(chunk.Samples).To(HaveLen(1))
		Expect(chunk.Samples[0].Scoring).To(Equal(scoring))
		Expect(owner.Close()).To(Succeed())
		Expect(s.calls).To(Equal(calls))
	},
	Entry("successful", false, nil, 1, sample.Scored),
	Entry("rejected before any work", false, []error{&service.RefusedError{}, &service.RefusedError{}}, 3, sample.Scored),
	Entry("not sent", false, []error{&service.BrokenError{Reason: "connect"}}, 2, sample.Scored),
	Entry("unknown outcome, not retryable", false, []error{&service.BrokenError{Sent: true}}, 1, sample.Unscored),
	Entry("unknown outcome, retryable", true, []error{&service.BrokenError{Sent: true}}, 2, sample.Scored),
	Entry("other error, not retryable", false, []error{errors.New("eof")}, 1, sample.Unscored),
)
