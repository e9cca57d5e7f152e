package dispatch

import (
	"context"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/host/forward"
	"github.com/hyssopwall/hyssopwall/internal/rollout/sample"
)

// partial is the text of a generation that has already been passed to the caller. The
// next attempt resumes after it, so that the stream continues where it broke off.
type partial struct {
	text        string
	tokens      int
	versions    []uint64
	unresumable bool // text without a token count was passed on, or untrusted text can't be taken back
}

// add appends the text of an event other than the last.
func (p *partial) add(e engine.Event) {
	if e.Done {
		return
	}
	p.text += e.Text
	p.tokens += e.Tokens
	p.unresumable = p.unresumable || (e.Text != "" && e.Tokens == 0)
	p.versions = sample.Union(p.versions, e.Versions)
}

// attemptTask returns the task of one attempt: with an ID of its own, the time left until
// the deadline, and the text generated so far to resume after.
func (r *run) attemptTask(ctx context.Context, attemptID int) forward.Task {
	task := r.task
	task.ID = attemptRequestID(r.task.ID, attemptID)
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
		if r.partial.text != "" {
			request.Resume = &engine.Resume{Text: r.partial.text, Tokens: r.partial.tokens, Versions: r.partial.versions}
		}
		task.Engine = &request
	}
	return task
}

// attemptRequestID returns the request ID of an attempt. Each attempt has a different
// one, so that a late answer to one attempt is never mistaken for an answer to another.
// From the second attempt on, a point and one character follow id: a digit up to attempt
// 9, and from attempt 10 on the characters after '9' in ASCII.
func attemptRequestID(id string, attemptID int) string {
	if attemptID <= 1 {
		return id
	}
	return id + "." + string(rune('0'+attemptID))
}
