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

// scorer answers its first calls with failures and the others with a score.
type scorer struct {
	mu         sync.Mutex
	failures   []error
	repeatable bool
	calls      int
}

func (s *scorer) Retryable() bool { return s.repeatable }

func (s *scorer) Score(context.Context, step.ID, sample.Sample) (float64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.calls <= len(s.failures) {
		return 0, s.failures[s.calls-1]
	}
	return 0.5, nil
}

// hasty is a clock whose waits end at once.
type hasty struct{ clock }

func (hasty) After(d time.Duration) <-chan time.Time { return time.After(min(d, time.Millisecond)) }

var _ = DescribeTable("scoring loses no sample and scores none twice",
	func(repeatable bool, failures []error, calls int, scoring sample.Scoring) {
		wanted := plan(1, 1)
		wanted.Score = true
		s := &scorer{failures: failures, repeatable: repeatable}
		owner, err := step.Open(context.Background(), step.Config{
			Self: "h", Store: &store{}, Generator: &generator{version: 1}, Scorer: s, Clock: hasty{},
		}, wanted.ID, &wanted)
		Expect(err).NotTo(HaveOccurred())
		chunk, err := owner.Pull(context.Background(), step.Request{})
		Expect(err).NotTo(HaveOccurred())
		Expect(chunk.Samples).To(HaveLen(1))
		Expect(chunk.Samples[0].Scoring).To(Equal(scoring))
		Expect(owner.Close()).To(Succeed())
		Expect(s.calls).To(Equal(calls))
	},
	Entry("answered", false, nil, 1, sample.Scored),
	Entry("refused before any work", false, []error{&service.RefusedError{}, &service.RefusedError{}}, 3, sample.Scored),
	Entry("not sent", false, []error{&service.BrokenError{Reason: "connect"}}, 2, sample.Scored),
	Entry("lost, not repeatable", false, []error{&service.BrokenError{Sent: true}}, 1, sample.Unscored),
	Entry("lost, repeatable", true, []error{&service.BrokenError{Sent: true}}, 2, sample.Scored),
	Entry("failed in an unknown way, not repeatable", false, []error{errors.New("eof")}, 1, sample.Unscored),
)
