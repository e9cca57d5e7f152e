package sample_test

import (
	"errors"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/rollout/sample"
	"github.com/hyssopwall/hyssopwall/internal/standin/cases"
)

func TestSample(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Sample Suite")
}

// script is a test case: the events of one stream and the expected sample or error.
// Digests selects the text that the engine digests: "all", "added" or, for a wrong digest,
// "other". Empty means "all".
type script struct {
	Resume  *engine.Resume
	Events  []engine.Event
	Digests string

	Text     string
	Tokens   int
	Versions []uint64
	Error    string // "unlabelled" for an *UnlabeledError, or the reason of an *engine.BrokenError
}

var _ = Describe("a collected stream", func() {
	all, err := cases.Load[script]("testdata/*.hujson")
	if err != nil {
		panic(err)
	}
	for _, c := range all {
		It(c.Name, func() {
			got, err := collect(c.Data)
			Expect(failure(err)).To(Equal(c.Data.Error))
			if err != nil {
				return
			}
			Expect(got.Check()).To(Succeed())
			Expect(got.Text).To(Equal(c.Data.Text))
			Expect(got.Tokens).To(Equal(c.Data.Tokens))
			Expect(got.Versions).To(Equal(c.Data.Versions))
		})
	}
})

// collect runs a script through a Collector.
func collect(c script) (sample.Sample, error) {
	collector := sample.Collector{Request: engine.Request{ID: "a", Resume: c.Resume}}
	added, before := "", ""
	if c.Resume != nil {
		before = c.Resume.Text
	}
	for _, e := range c.Events {
		if e.ID == "" {
			e.ID = "a"
		}
		added += e.Text
		if e.Done {
			e.Digest = sample.Digest(map[string]string{"": before + added, "all": before + added, "added": added, "other": "other"}[c.Digests])
		}
		if err := collector.Add(e); err != nil {
			return sample.Sample{}, err
		}
	}
	return collector.Sample()
}

// failure returns the name of an error as scripts have it.
func failure(err error) string {
	var unlabeled *sample.UnlabeledError
	var broken *engine.BrokenError
	switch {
	case errors.As(err, &unlabeled):
		return "unlabelled"
	case errors.As(err, &broken):
		return broken.Reason
	}
	return ""
}

var _ = DescribeTable("freshness",
	func(versions []uint64, newest, bound uint64, fresh bool) {
		Expect(sample.Fresh(versions, newest, bound)).To(Equal(fresh))
	},
	Entry("of the newest version", []uint64{5}, uint64(5), uint64(0), true),
	Entry("of a version at the bound", []uint64{3, 5}, uint64(5), uint64(2), true),
	Entry("of versions whose oldest is past the bound", []uint64{2, 5}, uint64(5), uint64(2), false),
	Entry("of a version newer than the newest known", []uint64{7}, uint64(5), uint64(0), true),
	Entry("of no versions", nil, uint64(0), uint64(9), false),
)
