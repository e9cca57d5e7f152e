package step

import (
	"context"
	"errors"
	"slices"

	"github.com/hyssopwall/hyssopwall/internal/platform/object"
)

// action is one possible transition of a model.
type action func(*model) error

// actions returns all transitions that are possible in the current state.
func (m *model) actions() []action {
	var all []action
	add := func(count *int, a action) {
		if *count <= 0 {
			return
		}
		all = append(all, a)
	}
	always := 1
	for i, h := range m.hosts {
		if h == nil {
			add(&always, func(m *model) error { return m.takeOver(i) })
			continue
		}
		add(&m.remaining.crash, func(m *model) error { m.remaining.crash--; m.hosts[i] = nil; return nil })
		if h.ledger.Pending() != nil {
			add(&always, func(m *model) error { return m.write(i, "") })
			add(&m.remaining.lose, func(m *model) error { m.remaining.lose--; return m.write(i, "lose") })
			add(&m.remaining.lose, func(m *model) error { m.remaining.lose--; return m.write(i, "refuse") })
			add(&m.remaining.late, func(m *model) error { m.remaining.late--; return m.write(i, "late") })
		}
		if len(m.inFlight) < 2 {
			add(&always, func(m *model) error { return m.pull(i, m.cursor()) })
		}
		for at := range m.taken {
			add(&m.remaining.repeat, func(m *model) error { m.remaining.repeat--; return m.pull(i, m.taken[at].Previous) })
		}
	}
	for r := range m.inFlight {
		add(&always, func(m *model) error {
			chunk := m.inFlight[r]
			m.inFlight = slices.Delete(m.inFlight, r, r+1)
			return m.receive(chunk)
		})
	}
	for at := range m.taken {
		add(&m.remaining.rewind, func(m *model) error { m.remaining.rewind--; m.taken = m.taken[:at]; return nil })
	}
	for at := range m.late {
		add(&always, func(m *model) error { return m.applyLate(at) })
	}
	add(&m.remaining.release, func(m *model) error { m.remaining.release--; m.newest++; m.inFlight = nil; return nil })
	if len(m.copies) > 0 {
		add(&m.remaining.forget, func(m *model) error { m.remaining.forget--; m.copies = map[uint64]Chunk{}; return nil })
	}
	return all
}

// applyLate applies a delayed write, if the version of the object still allows it.
func (m *model) applyLate(at int) error {
	late := m.late[at]
	m.late = slices.Delete(m.late, at, at+1)
	_, err := m.Put(context.Background(), modelPlan.ID.Key(), late.value, late.expect)
	var conflict *object.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return err
}
