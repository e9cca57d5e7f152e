package step

import "github.com/hyssopwall/hyssopwall/internal/rollout/sample"

// Status is a summary of the state of a step.
type Status struct {
	ID           ID     `json:"id"`
	Owner        string `json:"owner"`
	Epoch        uint64 `json:"epoch"`
	Cursor       uint64 `json:"cursor"`    // cursor that the last pull acknowledged
	Wanted       int    `json:"wanted"`    // samples of the plan
	Delivered    int    `json:"delivered"` // samples on the path that the last pull acknowledged
	Ready        int    `json:"ready"`     // finished samples that are not acknowledged and await no score
	Running      int    `json:"running"`   // attempts
	Canceled     bool   `json:"canceled,omitempty"`
	AllDelivered bool   `json:"whole,omitempty"`
	Newest       uint64 `json:"newest"` // newest known weights version
	Stats        Stats  `json:"stats"`
}

// Status returns a summary of the current state.
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

// AllDelivered reports whether a pull has acknowledged every sample of the step.
func (l *Ledger) AllDelivered() bool { return len(l.delivered) == len(l.slots) }

// State returns the content of the step object as of the last commit.
func (l *Ledger) State() State { return l.state }

// Pending returns the commit that has yet to take effect, or nil.
func (l *Ledger) Pending() *Commit { return l.pending }

// DrainCancels returns the IDs of the attempts to cancel, and clears the list.
func (l *Ledger) DrainCancels() []string {
	cancels := l.cancels
	l.cancels = nil
	return cancels
}

// AwaitingScore returns the accepted samples that await a score.
func (l *Ledger) AwaitingScore() []sample.Sample {
	var all []sample.Sample
	for i := range l.slots {
		if s := &l.slots[i]; s.result != nil && s.scoring {
			all = append(all, *s.result)
		}
	}
	return all
}

// Remaining returns the number of samples that are not finished, and the expected number
// of tokens that are still to be generated for them.
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

// slotIndex returns the index of the slot of a sample.
func (l *Ledger) slotIndex(at sampleKey) int { return l.groupStart[at.group] + at.index }
