package step

import (
	"context"
	"errors"
	"slices"

	"github.com/hyssopwall/hyssopwall/internal/platform/object"
)

// action is one thing that may happen next.
type action func(*world) error

func (w *world) actions() []action {
	var all []action
	add := func(count *int, a action) {
		if *count <= 0 {
			return
		}
		all = append(all, a)
	}
	always := 1
	for i, h := range w.hosts {
		if h == nil {
			add(&always, func(w *world) error { return w.takeOver(i) })
			continue
		}
		add(&w.left.crash, func(w *world) error { w.left.crash--; w.hosts[i] = nil; return nil })
		if h.ledger.Pending() != nil {
			add(&always, func(w *world) error { return w.write(i, "") })
			add(&w.left.lose, func(w *world) error { w.left.lose--; return w.write(i, "lose") })
			add(&w.left.lose, func(w *world) error { w.left.lose--; return w.write(i, "refuse") })
			add(&w.left.late, func(w *world) error { w.left.late--; return w.write(i, "late") })
		}
		if len(w.replies) < 2 {
			add(&always, func(w *world) error { return w.pull(i, w.cursor()) })
		}
		for at := range w.held {
			add(&w.left.repeat, func(w *world) error { w.left.repeat--; return w.pull(i, w.held[at].Previous) })
		}
	}
	for r := range w.replies {
		add(&always, func(w *world) error {
			chunk := w.replies[r]
			w.replies = slices.Delete(w.replies, r, r+1)
			return w.take(chunk)
		})
	}
	for at := range w.held {
		add(&w.left.rewind, func(w *world) error { w.left.rewind--; w.held = w.held[:at]; return nil })
	}
	for at := range w.late {
		add(&always, func(w *world) error { return w.land(at) })
	}
	add(&w.left.release, func(w *world) error { w.left.release--; w.newest++; w.replies = nil; return nil })
	if len(w.copies) > 0 {
		add(&w.left.forget, func(w *world) error { w.left.forget--; w.copies = map[uint64]Chunk{}; return nil })
	}
	return all
}

// land lets a late write take effect, if it still can.
func (w *world) land(at int) error {
	late := w.late[at]
	w.late = slices.Delete(w.late, at, at+1)
	_, err := w.Put(context.Background(), explored.ID.Key(), late.value, late.expect)
	var conflict *object.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return err
}
