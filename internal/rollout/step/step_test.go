package step_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/rollout/sample"
	"github.com/hyssopwall/hyssopwall/internal/rollout/step"
)

func TestStep(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Step Suite")
}

// store is an in-memory object API with faults: lose is the number of next writes that
// take effect but whose responses are lost, refuse that of writes that fail without
// effect.
type store struct {
	mu       sync.Mutex
	objects  map[string]object.Object
	revision uint64
	writes   int
	lose     int
	refuse   int
	before   func() // called before each write, if set
}

func (s *store) Get(_ context.Context, key string) (object.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.objects[key]
	if !ok {
		return object.Object{}, &object.NotFoundError{Key: key}
	}
	return found, nil
}

func (s *store) Put(_ context.Context, key string, value []byte, expect uint64) (object.Object, error) {
	if s.before != nil {
		s.before()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.refuse > 0 {
		s.refuse--
		return object.Object{}, &object.OutageError{Err: context.DeadlineExceeded}
	}
	if have := s.objects[key].Version; have != expect {
		return object.Object{}, &object.ConflictError{Key: key, Want: expect, Have: have}
	}
	s.revision++
	stored := object.Object{Key: key, Version: s.revision, Value: value}
	if s.objects == nil {
		s.objects = map[string]object.Object{}
	}
	s.objects[key] = stored
	if s.lose > 0 {
		s.lose--
		return object.Object{}, &object.UnknownError{Key: key, Err: context.DeadlineExceeded}
	}
	return stored, nil
}

func (s *store) Delete(_ context.Context, key string, expect uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if have := s.objects[key].Version; have != expect {
		return &object.ConflictError{Key: key, Want: expect, Have: have}
	}
	delete(s.objects, key)
	return nil
}

// copies is an in-memory step.Copies. Tests clear data to simulate its loss.
type copies struct {
	mu   sync.Mutex
	data map[string][]byte
}

func (c *copies) Save(_ context.Context, key string, data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.data == nil {
		c.data = map[string][]byte{}
	}
	c.data[key] = data
	return nil
}

func (c *copies) Load(_ context.Context, key string) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	data, ok := c.data[key]
	if !ok {
		return nil, &object.NotFoundError{Key: key}
	}
	return data, nil
}

// generator finishes every assignment at once with the given weights version.
type generator struct {
	version uint64
}

func (g *generator) Engines(string) []step.Engine {
	return []step.Engine{{Name: "e1", Version: g.version, FreeSlots: 8, Speed: 100}}
}

func (g *generator) Generate(_ context.Context, assignment step.Assignment, _ func(int, []uint64)) (sample.Sample, error) {
	return sample.Sample{Text: assignment.Attempt, Tokens: 1, Digest: sample.Digest(assignment.Attempt), Versions: []uint64{g.version}}, nil
}

// clock is a step.Clock of real time.
type clock struct{}

func (clock) Now() time.Time                         { return time.Now() }
func (clock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// plan returns the plan of a step with a staleness bound of one version.
func plan(groups, size int) step.Plan {
	p := step.Plan{ID: step.ID{Workspace: "w", Trainer: "t", Number: 1}, Model: "m", MaxSampleAge: 1}
	for range groups {
		p.Groups = append(p.Groups, step.Group{Prompt: "p", Size: size})
	}
	return p
}

var _ = Describe("an owner", func() {
	var (
		ctx    = context.Background()
		st     *store
		co     *copies
		wanted = plan(3, 4)
	)
	config := func(self string) step.Config {
		return step.Config{
			Self: self, Store: st, Copies: co, Generator: &generator{version: 7}, Clock: clock{},
			Policy: step.Policy{CommitInterval: time.Millisecond, Backoff: time.Millisecond},
		}
	}
	BeforeEach(func() { st, co = &store{}, &copies{} })

	It("delivers each sample once despite a takeover and lost responses", func() {
		first, err := step.Open(ctx, config("h1"), wanted.ID, &wanted)
		Expect(err).NotTo(HaveOccurred())
		st.mu.Lock()
		st.lose, st.refuse = 1, 1
		st.mu.Unlock()
		chunk, err := first.Pull(ctx, step.Request{Max: 5, Newest: 7})
		Expect(err).NotTo(HaveOccurred())
		again, err := first.Pull(ctx, step.Request{Max: 3, Newest: 7})
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(chunk))

		second, err := step.Open(ctx, config("h2"), wanted.ID, nil)
		Expect(err).NotTo(HaveOccurred())
		again, err = second.Pull(ctx, step.Request{Newest: 7})
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(chunk))

		_, err = first.Pull(ctx, step.Request{Cursor: chunk.Cursor, Newest: 7})
		Expect(err).To(BeAssignableToTypeOf(&step.FencedError{}))
		Eventually(first.Done()).Should(BeClosed())

		seen := map[[2]int]bool{}
		for {
			for _, s := range chunk.Samples {
				Expect(seen[[2]int{s.Group, s.Index}]).To(BeFalse())
				seen[[2]int{s.Group, s.Index}] = true
			}
			if chunk.AllDelivered {
				break
			}
			previous := chunk.Cursor
			chunk, err = second.Pull(ctx, step.Request{Cursor: previous, Max: 4, Newest: 7})
			Expect(err).NotTo(HaveOccurred())
			Expect(chunk.Previous).To(Equal(previous))
		}
		Expect(seen).To(HaveLen(12))
		status, err := second.Snapshot(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(status.Epoch).To(Equal(uint64(2)))
		Expect(first.Close()).To(Succeed())
		Expect(second.Close()).To(Succeed())
	})

	It("keeps only the objects of a trainer's last steps", func() {
		for number := uint64(1); number <= 5; number++ {
			wanted := plan(1, 1)
			wanted.ID.Number = number
			owner, err := step.Open(ctx, config("h1"), wanted.ID, &wanted)
			Expect(err).NotTo(HaveOccurred())
			Expect(owner.Close()).To(Succeed())
		}
		Expect(st.objects).To(HaveLen(3))
	})

	It("needs the plan for a takeover without copies, and rejects another one", func() {
		first, err := step.Open(ctx, config("h1"), wanted.ID, &wanted)
		Expect(err).NotTo(HaveOccurred())
		co.data = nil
		var unknown *step.PlanError
		_, err = step.Open(ctx, config("h2"), wanted.ID, nil)
		Expect(errors.As(err, &unknown)).To(BeTrue())
		other := plan(2, 4)
		_, err = step.Open(ctx, config("h2"), wanted.ID, &other)
		Expect(errors.As(err, &unknown)).To(BeTrue())
		second, err := step.Open(ctx, config("h2"), wanted.ID, &wanted)
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Close()).To(Succeed())
		Expect(second.Close()).To(Succeed())
	})

	It("rejects a cursor that is unknown to the platform too", func() {
		owner, err := step.Open(ctx, config("h1"), wanted.ID, &wanted)
		Expect(err).NotTo(HaveOccurred())
		_, err = owner.Pull(ctx, step.Request{Cursor: 9})
		Expect(err).To(BeAssignableToTypeOf(&step.UnknownCursorError{}))
		Expect(owner.Close()).To(Succeed())
	})

	It("cancels a step for its later owners too", func() {
		owner, err := step.Open(ctx, config("h1"), wanted.ID, &wanted)
		Expect(err).NotTo(HaveOccurred())
		Expect(owner.Cancel(ctx)).To(Succeed())
		_, err = owner.Pull(ctx, step.Request{})
		Expect(err).To(BeAssignableToTypeOf(&step.CanceledError{}))
		_, err = step.Open(ctx, config("h2"), wanted.ID, nil)
		Expect(err).To(BeAssignableToTypeOf(&step.CanceledError{}))
		Expect(owner.Close()).To(Succeed())
	})

	It("acknowledges no cancelation that its successor missed", func() {
		owner, err := step.Open(ctx, config("h1"), wanted.ID, &wanted)
		Expect(err).NotTo(HaveOccurred())
		var successor *step.Owner
		taken := false
		st.before = func() { // the successor opens the step just before the cancelation is written
			if taken {
				return
			}
			taken = true
			successor, err = step.Open(ctx, config("h2"), wanted.ID, &wanted)
		}
		ended := owner.Cancel(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(ended).To(BeAssignableToTypeOf(&step.FencedError{}))
		Expect(successor.Cancel(ctx)).To(Succeed())
		Expect(successor.Close()).To(Succeed())
		Expect(owner.Close()).To(Succeed())
	})
})
