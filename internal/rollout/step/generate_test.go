package step_test

import (
	"context"
	"io"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/rollout/sample"
	"github.com/hyssopwall/hyssopwall/internal/rollout/step"
)

// recording is an engine and a stream that returns recorded events for any request.
type recording struct {
	events []engine.Event
	closed bool
}

func (r *recording) Run(context.Context, engine.Request) (engine.Stream, error) { return r, nil }
func (r *recording) Cancel(context.Context, string) error                       { return nil }

func (r *recording) Next() (engine.Event, error) {
	if len(r.events) == 0 {
		return engine.Event{}, io.EOF
	}
	e := r.events[0]
	r.events = r.events[1:]
	return e, nil
}

func (r *recording) Close() error {
	r.closed = true
	return nil
}

var _ = Describe("a generation", func() {
	It("returns the versions of its sample and reports new ones at once", func() {
		recorded := &recording{events: []engine.Event{
			{ID: "a", Text: "x", Versions: []uint64{1}},
			{ID: "a", Text: "y", Versions: []uint64{2}},
			{ID: "a", Done: true, Tokens: 2, Digest: sample.Digest("xy")},
		}}
		var reported [][]uint64
		got, err := step.Generate(context.Background(), recorded, step.Assignment{Request: engine.Request{ID: "a"}}, func(_ int, versions []uint64) {
			reported = append(reported, versions)
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Versions).To(Equal([]uint64{1, 2}))
		Expect(reported).To(Equal([][]uint64{{1}, {1, 2}}))
		Expect(recorded.closed).To(BeTrue())
	})
})
