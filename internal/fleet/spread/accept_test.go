package spread_test

import (
	"bytes"
	"context"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/fleet/spread"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
)

// store is a fake platform that holds the record and the documents. onPut runs
// instead of the next Put of a record, which it may call or replace.
type store struct {
	object.Store
	record object.Object
	bodies map[string][]byte
	stale  []object.Object // answers to the next reads of the record
	onPut  func(put func() error) error
}

func (s *store) Get(_ context.Context, key string) (object.Object, error) {
	if key != spread.Key {
		if body, ok := s.bodies[key]; ok {
			return object.Object{Key: key, Version: 1, Value: body}, nil
		}
		return object.Object{}, &object.NotFoundError{Key: key}
	}
	current := s.record
	if len(s.stale) > 0 {
		current, s.stale = s.stale[0], s.stale[1:]
	}
	if current.Version == 0 {
		return object.Object{}, &object.NotFoundError{Key: spread.Key}
	}
	return current, nil
}

func (s *store) Put(_ context.Context, key string, value []byte, expect uint64) (object.Object, error) {
	if key != spread.Key {
		if s.bodies == nil {
			s.bodies = make(map[string][]byte)
		}
		if s.bodies[key] != nil {
			return object.Object{}, &object.ConflictError{Key: key, Have: 1}
		}
		s.bodies[key] = value
		return object.Object{}, nil
	}
	put := func() error {
		if s.record.Version != expect {
			return &object.ConflictError{Key: key, Want: expect, Have: s.record.Version}
		}
		s.record = object.Object{Key: key, Version: s.record.Version + 7, Value: value}
		return nil
	}
	if onPut := s.onPut; onPut != nil {
		s.onPut = nil
		return s.record, onPut(put)
	}
	return s.record, put()
}

func (s *store) Delete(_ context.Context, key string, _ uint64) error {
	delete(s.bodies, key)
	return nil
}

var errLost = errors.New("answer lost")

var _ = Describe("Accept", func() {
	submission := func(by string, base uint64) spread.Submission {
		return spread.Submission{By: by, Base: base, At: time.Unix(1, 0), Body: []byte("{}")}
	}
	accept := func(ctx context.Context, s *store, by string, base uint64) (spread.Accepted, error) {
		return spread.Accept(ctx, s, submission(by, base))
	}
	It("accepts documents under consecutive versions", func(ctx SpecContext) {
		s := &store{}
		for base := range uint64(3) {
			accepted, err := accept(ctx, s, "a", base)
			Expect(err).NotTo(HaveOccurred())
			Expect(accepted.Version).To(Equal(base + 1))
		}
	})
	It("returns a conflict that names the other operator to the loser of a race", func(ctx SpecContext) {
		s := &store{}
		s.onPut = func(put func() error) error {
			_, err := accept(ctx, s, "b", 0)
			Expect(err).NotTo(HaveOccurred())
			return put()
		}
		_, err := accept(ctx, s, "a", 0)
		var conflict *spread.ConflictError
		Expect(errors.As(err, &conflict)).To(BeTrue())
		Expect(*conflict).To(Equal(spread.ConflictError{Base: 0, Have: 1, By: "b"}))
	})
	It("reads the record back after a write whose answer was lost", func(ctx SpecContext) {
		s := &store{}
		s.onPut = func(put func() error) error {
			Expect(put()).To(Succeed())
			return &object.UnknownError{Key: spread.Key, Err: errLost}
		}
		accepted, err := accept(ctx, s, "a", 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(accepted.Version).To(Equal(uint64(1)))
		Expect(s.record.Version).To(Equal(uint64(7)), "written once")
	})
	It("repeats a write that had no effect", func(ctx SpecContext) {
		s := &store{onPut: func(func() error) error { return &object.UnknownError{Key: spread.Key, Err: errLost} }}
		_, err := accept(ctx, s, "a", 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.record.Version).To(Equal(uint64(7)))
	})
	It("returns a conflict after a lost answer if another document was accepted", func(ctx SpecContext) {
		s := &store{}
		s.onPut = func(func() error) error {
			_, err := accept(ctx, s, "b", 0)
			Expect(err).NotTo(HaveOccurred())
			return &object.UnknownError{Key: spread.Key, Err: errLost}
		}
		_, err := accept(ctx, s, "a", 0)
		var conflict *spread.ConflictError
		Expect(errors.As(err, &conflict)).To(BeTrue())
	})
	It("is not misled by a stale read", func(ctx SpecContext) {
		s := &store{}
		_, err := accept(ctx, s, "a", 0)
		Expect(err).NotTo(HaveOccurred())
		old := s.record
		_, err = accept(ctx, s, "a", 1)
		Expect(err).NotTo(HaveOccurred())
		s.stale = []object.Object{{}, old}
		accepted, err := accept(ctx, s, "a", 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(accepted.Version).To(Equal(uint64(3)))
		s.stale = []object.Object{old}
		_, err = accept(ctx, s, "b", 1)
		var conflict *spread.ConflictError
		Expect(errors.As(err, &conflict)).To(BeTrue())
	})
	It("returns an OutcomeError if the outcome can't be read back", func(ctx SpecContext) {
		short, cancel := context.WithCancel(ctx)
		s := &store{onPut: func(func() error) error {
			cancel()
			return &object.UnknownError{Key: spread.Key, Err: errLost}
		}}
		_, err := accept(short, s, "a", 0)
		var unknown *spread.OutcomeError
		Expect(errors.As(err, &unknown)).To(BeTrue())
		Expect(unknown.ID).NotTo(BeEmpty())
	})
	It("stores a large document in its own object and its change in the record", func(ctx SpecContext) {
		s, body := &store{}, bytes.Repeat([]byte("-"), 64<<10)
		previous := spread.Accepted{}
		for base := range uint64(4) {
			next := bytes.Clone(body)
			next[100+base] = 'x'
			accepted, err := spread.Accept(ctx, s, spread.Submission{By: "a", Base: base, Body: next, Previous: previous})
			Expect(err).NotTo(HaveOccurred())
			got, err := spread.Get(ctx, s)
			Expect(err).NotTo(HaveOccurred())
			Expect(got.Body).To(Equal(next))
			Expect(len(s.record.Value)).To(BeNumerically("<", 1<<10))
			previous = accepted
		}
		Expect(len(s.bodies)).To(BeNumerically("<=", 3), "old documents are removed")
	})
	It("removes the large document of a submission that lost a race", func(ctx SpecContext) {
		s := &store{}
		s.onPut = func(put func() error) error {
			_, err := accept(ctx, s, "b", 0)
			Expect(err).NotTo(HaveOccurred())
			return put()
		}
		_, err := spread.Accept(ctx, s, spread.Submission{By: "a", Body: make([]byte, 64<<10)})
		var conflict *spread.ConflictError
		Expect(errors.As(err, &conflict)).To(BeTrue())
		Expect(s.bodies).To(BeEmpty())
	})
	It("returns an outage before any write unchanged", func(ctx SpecContext) {
		s := &store{onPut: func(func() error) error { return &object.OutageError{Err: errLost} }}
		_, err := accept(ctx, s, "a", 0)
		var outage *object.OutageError
		Expect(errors.As(err, &outage)).To(BeTrue())
	})
})
