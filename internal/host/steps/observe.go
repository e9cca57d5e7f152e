package steps

import (
	"context"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/rollout/step"
)

// Delivery describes one delivery of samples, for the objectives of a workspace. Fresh is
// the number of samples delivered. Stale is the number of samples that were finished, found
// too old and generated again since the last report. AllDelivered reports whether all
// samples of the step have been delivered; Elapsed is then the time since the step was
// opened, zero if that time is unknown.
type Delivery struct {
	Workspace    string
	Fresh        uint64
	Stale        uint64
	AllDelivered bool
	Elapsed      time.Duration
}

// openedKey returns the key of the copy that holds the time a step was opened.
func openedKey(id step.ID) string { return id.Key() + "/opened" }

// setOpened sets the time at which a step was opened. The first owner saves it with the
// copies, from which a later owner loads it.
func (s *Steps) setOpened(ctx context.Context, id step.ID, o *owned, takenAt time.Time) {
	status, err := o.owner.Snapshot(ctx)
	if err != nil {
		return
	}
	opened := takenAt
	if status.Epoch == 1 {
		if text, err := opened.MarshalText(); err == nil {
			_ = s.copies.Save(ctx, openedKey(id), text) // without a copy, the time is unknown to the next owner
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

// observeDelivery reports the first delivery of a chunk to Config.Observe.
func (s *Steps) observeDelivery(ctx context.Context, id step.ID, o *owned, chunk step.Chunk) {
	if s.config.Observe == nil {
		return
	}
	delivery := Delivery{Workspace: id.Workspace, Fresh: uint64(len(chunk.Samples)), AllDelivered: chunk.AllDelivered}
	status, err := o.owner.Snapshot(ctx)
	s.mu.Lock()
	if err == nil && status.Stats.Stale > o.stale {
		delivery.Stale = uint64(status.Stats.Stale - o.stale)
		o.stale = status.Stats.Stale
	}
	if delivery.AllDelivered && !o.opened.IsZero() {
		delivery.Elapsed = time.Since(o.opened)
	}
	s.mu.Unlock()
	s.config.Observe(delivery)
}
