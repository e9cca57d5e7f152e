package step

import (
	"context"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/rollout/sample"
)

// progressEvery is the number of pieces of text between two reports of
// progress; a new version is reported at once.
const progressEvery = 32

// Generate runs one work on an engine and returns its sample. Progress counts
// each piece of text as a token, since a stream counts its tokens only at its
// end. It is the plain way to implement Generator.
func Generate(ctx context.Context, runner engine.Runner, work Assignment, progress func(tokens int, versions []uint64)) (sample.Sample, error) {
	stream, err := runner.Run(ctx, work.Request)
	if err != nil {
		return sample.Sample{}, err
	}
	defer stream.Close() //nolint:errcheck // the stream has ended or is given up
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
