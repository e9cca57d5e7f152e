package step

import "github.com/hyssopwall/hyssopwall/internal/rollout/sample"

// Status is what Look shows of a step.
type Status struct {
	ID           ID     `json:"id"`
	Owner        string `json:"owner"`
	Epoch        uint64 `json:"epoch"`
	Cursor       uint64 `json:"cursor"` // held by the trainer, as far as known
	Wanted       int    `json:"wanted"`
	Delivered    int    `json:"delivered"` // acknowledged by a pull
	Ready        int    `json:"ready"`
	Running      int    `json:"running"`
	Canceled     bool   `json:"canceled,omitempty"`
	AllDelivered bool   `json:"whole,omitempty"`
	Newest       uint64 `json:"newest"`
	Stats        Stats  `json:"stats"`
}

// Status returns the state of the step.
func (l *Ledger) Status() Status {
	status := Status{
		ID: l.state.ID, Owner: l.state.Owner, Epoch: l.state.Epoch, Cursor: l.ackedCursor,
		Wanted: len(l.slots), Delivered: len(l.delivered), Running: len(l.running),
		Canceled: l.state.Canceled, AllDelivered: l.AllDelivered(), Newest: l.newest, Stats: l.stats,
	}
	for i := range l.slots {
		if l.slots[i].result != nil && !l.slots[i].scoring {
			status.Ready++
		}
	}
	return status
}

// AllDelivered reports whether the trainer is known to hold every sample.
func (l *Ledger) AllDelivered() bool { return len(l.delivered) == len(l.slots) }

// State returns the step object as last committed.
func (l *Ledger) State() State { return l.state }

// Pending returns the commit whose outcome is not known, or nil.
func (l *Ledger) Pending() *Commit { return l.pending }

// DrainCancels returns the attempts to cancel since the last call.
func (l *Ledger) DrainCancels() []string {
	cancels := l.cancels
	l.cancels = nil
	return cancels
}

// AwaitingScore returns the won samples that await a score.
func (l *Ledger) AwaitingScore() []sample.Sample {
	var all []sample.Sample
	for i := range l.slots {
		if s := &l.slots[i]; s.result != nil && s.scoring {
			all = append(all, *s.result)
		}
	}
	return all
}

// Remaining returns the samples that are not yet finished and the tokens
// expected to be generated for them.
func (l *Ledger) Remaining() (samples, tokens int) {
	for i := range l.slots {
		if s := &l.slots[i]; s.result == nil && !l.delivered[s.sampleKey] {
			samples++
			tokens += int(l.expectedLength(s.group, 0))
		}
	}
	for _, a := range l.running {
		tokens -= min(a.tokens, int(l.expectedLength(l.slots[a.slot].group, 0)))
	}
	return samples, max(0, tokens)
}

func (l *Ledger) slotIndex(at sampleKey) int { return l.groupStart[at.group] + at.index }
