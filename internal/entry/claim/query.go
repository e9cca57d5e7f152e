package claim

import (
	"slices"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
)

// View returns the newest view that the member knows.
func (t *Table) View() view.View { return t.currentView }

// IsOwner reports whether the member owns the shard and has not seen a later
// epoch than that of its view.
func (t *Table) IsOwner() bool {
	return t.currentView.Epoch > 0 && t.currentView.Owner == t.Self && t.currentView.Epoch >= t.minEpoch
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.rows) }

// Has reports whether the member holds a record of the key.
func (t *Table) Has(key Key) bool { return t.rows[key] != nil }

// Records returns all records in messages for a host that is about to become a
// copy. It returns at least one message.
func (t *Table) Records(now time.Duration) []Copy {
	all := []Copy{{Shard: t.Shard, Epoch: t.currentView.Epoch}}
	for _, r := range t.rows {
		last := &all[len(all)-1]
		if len(last.Records) == MaxRecords || answerBytes(*last) > MaxAnswer*MaxRecords/2 {
			all = append(all, Copy{Shard: t.Shard, Epoch: t.currentView.Epoch})
			last = &all[len(all)-1]
		}
		last.Records = append(last.Records, r.recordAt(now))
	}
	return all
}

// answerBytes returns the total size of the answers in a message's records.
func answerBytes(c Copy) int {
	sum := 0
	for _, record := range c.Records {
		sum += len(record.Answer)
	}
	return sum
}

// Clone returns a deep copy of the table.
func (t *Table) Clone() *Table {
	next := *t
	next.joining = slices.Clone(t.joining)
	next.rows = make(map[Key]*row, len(t.rows))
	for key, r := range t.rows {
		clone := *r
		clone.stored = make(map[view.Member]bool, len(r.stored))
		for member, ok := range r.stored {
			clone.stored[member] = ok
		}
		next.rows[key] = &clone
	}
	return &next
}

// recordAt returns the record as it is sent now, with the time left to the
// attempt.
func (r *row) recordAt(now time.Duration) Record {
	record := r.record
	record.Within = max(0, r.endsAt-now)
	return record
}

// reply returns the reply to a request of another attempt, or of any attempt once
// the record is Finished: Done, with its answer if any, or Running until the time of the
// attempt has passed, and OutcomeUnknown after that.
func (r *row) reply(now time.Duration) Reply {
	switch {
	case r.record.State == Finished:
		return Reply{Status: Done, Answer: r.record.Answer, HasAnswer: r.record.HasAnswer}
	case now >= r.endsAt:
		return Reply{Status: OutcomeUnknown} // rule 5
	default:
		return Reply{Status: Running}
	}
}

// missingAcks returns those of the copies, and of the hosts that are being brought
// up to date, that have not stored the row yet. In a view without copies, the zero
// member stands for the renewal of the view that replaces their acknowledgments
// (rule 1).
func (t *Table) missingAcks(r *row) []view.Member {
	members := t.currentView.Copies
	if len(members) == 0 {
		members = []view.Member{{}}
	}
	var missing []view.Member
	for _, member := range slices.Concat(members, t.joining) {
		if !r.stored[member] {
			missing = append(missing, member)
		}
	}
	return missing
}
