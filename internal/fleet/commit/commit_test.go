package commit_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/fleet/commit"
	"github.com/hyssopwall/hyssopwall/internal/fleet/explore"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/standin/cases"
)

func TestCommit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Commit Suite")
}

// script is a test case: the answers to the calls of an update, and its state and
// version at the end.
type script struct {
	Name    string   `json:"name"`
	Calls   []string `json:"calls"`
	Answers []string `json:"answers"`
	State   string   `json:"state"`
	Version uint64   `json:"version"`
}

var kinds = map[string]commit.Kind{
	"ok": commit.OK, "notFound": commit.NotFound, "conflict": commit.Conflict, "unknown": commit.Unknown, "noEffect": commit.NoEffect,
}

var states = map[string]commit.State{
	"unresolved": commit.Unresolved, "won": commit.Won, "lost": commit.Lost, "refused": commit.Refused,
}

var ops = map[string]commit.Op{"get": commit.Get, "put": commit.Put}

// answer parses an answer of the form "kind version value".
func answer(text string) commit.Answer {
	var (
		kind string
		a    commit.Answer
	)
	_, _ = fmt.Sscan(text, &kind, &a.Version, &a.Value)
	a.Kind = kinds[kind]
	return a
}

var _ = Describe("an update", func() {
	all, err := cases.Load[[]script]("testdata/updates.hujson")
	if err != nil {
		panic(err)
	}
	for _, s := range all[0].Data {
		It("handles "+s.Name, func() {
			u := commit.New("k", "mine", 4)
			for i, text := range s.Answers {
				Expect(u.Call().Op).To(Equal(ops[s.Calls[i]]), "call %d", i)
				u = u.Apply(answer(text))
			}
			Expect(u.State).To(Equal(states[s.State]))
			Expect(u.Version).To(Equal(s.Version))
		})
	}

	It("returns an error for each outcome other than success", func() {
		var store explore.FakeStore
		version, err := commit.Run(context.Background(), &store, commit.New("k", "one", 0))
		Expect(err).NotTo(HaveOccurred())
		var lost *commit.LostError
		_, err = commit.Run(context.Background(), &store, commit.New("k", "two", version+1))
		Expect(errors.As(err, &lost)).To(BeTrue())
		Expect(lost.Value).To(Equal("one"))

		store.SetFault(func(string, string) explore.Fault { return explore.Outage })
		var refused *commit.RefusedError
		_, err = commit.Run(context.Background(), &store, commit.New("k", "three", version))
		Expect(errors.As(err, &refused)).To(BeTrue())

		store.SetFault(func(string, string) explore.Fault { return explore.LoseWrite })
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		var unresolved *commit.UnresolvedError
		_, err = commit.Run(ctx, &store, commit.New("k", "four", version))
		Expect(errors.As(err, &unresolved)).To(BeTrue())
	})

	DescribeTable("translates the platform's errors", func(err error, read, write commit.Kind) {
		store := failing{err: err}
		Expect(commit.Do(context.Background(), store, commit.Call{Op: commit.Get, Key: "k"}).Kind).To(Equal(read))
		Expect(commit.Do(context.Background(), store, commit.Call{Op: commit.Put, Key: "k"}).Kind).To(Equal(write))
	},
		Entry("an outage", &object.OutageError{Err: errors.New("x")}, commit.NoEffect, commit.NoEffect),
		Entry("a rate limit", &object.LimitError{}, commit.NoEffect, commit.NoEffect),
		Entry("a value that is too large", &object.SizeError{}, commit.NoEffect, commit.NoEffect),
		Entry("a malformed request", &object.RequestError{}, commit.NoEffect, commit.NoEffect),
		Entry("a lost answer", &object.UnknownError{Err: errors.New("x")}, commit.NoEffect, commit.Unknown),
		Entry("an error of another kind", context.DeadlineExceeded, commit.NoEffect, commit.Unknown),
		Entry("a conflict", &object.ConflictError{}, commit.Conflict, commit.Conflict),
		Entry("no object", &object.NotFoundError{}, commit.NotFound, commit.NotFound),
	)
})

// failing is a platform that answers each call with one error.
type failing struct {
	object.Store
	err error
}

func (f failing) Get(context.Context, string) (object.Object, error) { return object.Object{}, f.err }

func (f failing) Put(context.Context, string, []byte, uint64) (object.Object, error) {
	return object.Object{}, f.err
}
