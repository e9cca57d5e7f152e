package step

import (
	"context"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/rollout/sample"
)

// progressEvery is the number of tokens between two progress reports. A new weights
// version is reported at once.
const progressEvery = 32

// Generate runs one assignment on an engine and returns its sample. It is a basic
// implementation of Generator.Generate. The progress reports count each event with text
// as one token, since a stream reports its number of tokens only at the end.
func Generate(ctx context.Context, runner engine.Runner, work Assignment, progress func(tokens int, versions []uint64)) (sample.Sample, error) {
	stream, err := runner.Run(ctx, work.Request)
	if err != nil {
		return sample.Sample{}, err
	}
	defer stream.Close() //nolint:errcheck // the stream has ended or is abandoned
	tokens, known := 0, 0
	if work.Request.Resume != nil {
		tokens = work.Request.Resume.Tokens
	}
	return sample.Collect(work.Request, stream, func(e engine.Event, versions []uint64) {
		if e.Text != "" {
			tokens++
		}
		if len(versions) != known || tokens%progressEvery == 0 {
			known = len(versions)
			progress(tokens, versions)
		}
	})
}
