package dispatch

import (
	"context"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/host/forward"
	"github.com/hyssopwall/hyssopwall/internal/rollout/sample"
)

// partial is the text of a generation that has been passed on already. Another
// attempt resumes from it, so that a caller's stream goes on where it broke.
type partial struct {
	text     string
	tokens   int
	versions []uint64
	blind    bool // the engine did not count some tokens, so that none can resume
}

func (p *partial) add(e engine.Event) {
	if e.Done {
		return
	}
	p.text += e.Text
	p.tokens += e.Tokens
	p.blind = p.blind || (e.Text != "" && e.Tokens == 0)
	p.versions = sample.Union(p.versions, e.Versions)
}

// taskOf returns the task of one leg: its own identity and remaining time, and
// what was generated before.
func (r *run) taskOf(ctx context.Context, leg int) forward.Task {
	task := r.task
	task.ID = legID(r.task.ID, leg)
	if deadline, ok := ctx.Deadline(); ok {
		task.TimeLeft = max(1, deadline.Sub(r.d.config.Now()))
	}
	if task.Service != nil {
		request := *task.Service
		request.ID = task.ID
		task.Service = &request
	}
	if task.Engine != nil {
		request := *task.Engine
		request.ID = task.ID
		if r.resume.text != "" {
			request.Resume = &engine.Resume{Text: r.resume.text, Tokens: r.resume.tokens, Versions: r.resume.versions}
		}
		task.Engine = &request
	}
	return task
}

// legID returns the identity of a leg: a backend server sees a new one for
// each, so that a late answer to one is never taken for another's.
func legID(id string, leg int) string {
	if leg <= 1 {
		return id
	}
	return id + "." + string(rune('0'+leg))
}
