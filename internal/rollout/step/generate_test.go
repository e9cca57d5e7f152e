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

// tape plays recorded events, whatever is asked.
type tape struct {
	events []engine.Event
	closed bool
}

func (t *tape) Run(context.Context, engine.Request) (engine.Stream, error) { return t, nil }
func (t *tape) Cancel(context.Context, string) error                       { return nil }

func (t *tape) Next() (engine.Event, error) {
	if len(t.events) == 0 {
		return engine.Event{}, io.EOF
	}
	e := t.events[0]
	t.events = t.events[1:]
	return e, nil
}

func (t *tape) Close() error {
	t.closed = true
	return nil
}

var _ = Describe("a generation", func() {
	It("labels its sample and reports new versions at once", func() {
		recorded := &tape{events: []engine.Event{
			{ID: "a", Text: "x", Versions: []uint64{1}},
			{ID: "a", Text: "y", Versions: []uint64{2}},
			{ID: "a", Done: true, Tokens: 2, Digest: sample.Digest("xy")},
		}}
		var told [][]uint64
		got, err := step.Generate(context.Background(), recorded, step.Assignment{Request: engine.Request{ID: "a"}}, func(_ int, versions []uint64) {
			told = append(told, versions)
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Versions).To(Equal([]uint64{1, 2}))
		Expect(told).To(Equal([][]uint64{{1}, {1, 2}}))
		Expect(recorded.closed).To(BeTrue())
	})
})
