package steps

import (
	"context"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/rollout/step"
)

// Delivery is what a hand-over says about the objectives of a workspace. Fresh
// samples were handed over; Stale ones were finished, found too old and
// generated again. Whole says that the step has been handed over whole; Took
// is then its time since it was opened, zero when that is not known any more.
type Delivery struct {
	Workspace    string
	Fresh        uint64
	Stale        uint64
	AllDelivered bool
	Elapsed      time.Duration
}

func openedKey(id step.ID) string { return id.Key() + "/opened" }

// began finds out when a step was opened. Its first owner tells the copies, so
// that the next owner knows.
func (s *Steps) began(ctx context.Context, id step.ID, o *owned, adopted time.Time) {
	status, err := o.owner.Snapshot(ctx)
	if err != nil {
		return
	}
	opened := adopted
	if status.Epoch == 1 {
		if text, err := opened.MarshalText(); err == nil {
			_ = s.copies.Save(ctx, openedKey(id), text) // without a copy, a next owner does not know
		}
	} else {
		text, err := s.copies.Load(ctx, openedKey(id))
		if err != nil || opened.UnmarshalText(text) != nil {
			return
		}
	}
	s.mu.Lock()
	o.opened = opened
	s.mu.Unlock()
}

// observe reports the first hand-over of a chunk.
func (s *Steps) observe(ctx context.Context, id step.ID, o *owned, chunk step.Chunk) {
	if s.config.Observe == nil {
		return
	}
	outcome := Delivery{Workspace: id.Workspace, Fresh: uint64(len(chunk.Samples)), AllDelivered: chunk.AllDelivered}
	status, err := o.owner.Snapshot(ctx)
	s.mu.Lock()
	if err == nil && status.Stats.Stale > o.stale {
		outcome.Stale = uint64(status.Stats.Stale - o.stale)
		o.stale = status.Stats.Stale
	}
	if outcome.AllDelivered && !o.opened.IsZero() {
		outcome.Elapsed = time.Since(o.opened)
	}
	s.mu.Unlock()
	s.config.Observe(outcome)
}
