package claim

import (
	"maps"
	"slices"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
)

// Claim decides a request, or returns the Pending that must complete first. If
// anything is pending, the reply is not valid. The caller reports each success to
// MarkStored and may repeat the Claim at any time.
func (t *Table) Claim(request Request, now time.Duration) (Reply, Pending) {
	if reply, ok := t.refuse(request); ok {
		return reply, Pending{}
	}
	r := t.rows[request.Key]
	if r == nil {
		return t.openClaim(request, now)
	}
	if r.record.Digest != request.Digest {
		return Reply{Status: Conflict}, Pending{}
	}
	if r.record.Attempt != request.Attempt || r.record.State != Claimed {
		return r.reply(now), Pending{}
	}
	return t.grant(r, now) // rule 4
}

// refuse returns the reply to a request that this member can't decide.
func (t *Table) refuse(request Request) (Reply, bool) {
	if !t.IsOwner() {
		return t.movedReply(), true
	}
	if request.MintedEpoch > t.currentView.Epoch {
		return t.movedReply(), true // rule 6
	}
	return Reply{}, false
}

// movedReply returns Moved, with the view if it names another owner.
func (t *Table) movedReply() Reply {
	if t.currentView.Epoch == 0 || t.currentView.Owner == t.Self {
		return Reply{Status: Moved}
	}
	known := t.currentView
	return Reply{Status: Moved, View: &known}
}

// openClaim opens a claim for a key without a record.
func (t *Table) openClaim(request Request, now time.Duration) (Reply, Pending) {
	if t.currentView.LostEpoch > 0 && request.MintedEpoch < t.currentView.LostEpoch {
		return Reply{Status: OutcomeUnknown}, Pending{} // rule 6
	}
	if len(t.rows) >= t.maxRows() {
		return Reply{Status: Busy}, Pending{} // rule 7
	}
	r := t.insert(Record{
		Key:     request.Key,
		Digest:  request.Digest,
		Attempt: request.Attempt,
		State:   Claimed,
		Within:  request.Within,
	}, now)
	r.ungranted = true
	return t.grant(r, now)
}

// Recheck decides a request that an earlier Claim left pending. It opens no
// claim: if the record is gone, it replies Busy.
func (t *Table) Recheck(request Request, now time.Duration) (Reply, Pending) {
	if t.rows[request.Key] == nil && t.IsOwner() {
		return Reply{Status: Busy}, Pending{}
	}
	return t.Claim(request, now)
}

// Withdraw removes a claim that could not be stored by every member, if this
// owner opened it and has not granted it. Rule 8.
func (t *Table) Withdraw(key Key, attempt string) {
	r := t.rows[key]
	if r != nil && r.ungranted && r.record.Attempt == attempt && r.record.State == Claimed {
		delete(t.rows, key)
	}
}

// grant replies Granted once every copy has stored the row. Rule 1.
func (t *Table) grant(r *row, now time.Duration) (Reply, Pending) {
	if now >= r.endsAt {
		return Reply{Status: OutcomeUnknown}, Pending{}
	}
	missing := t.missingAcks(r)
	if len(missing) == 0 {
		r.ungranted = false
		return Reply{Status: Granted}, Pending{}
	}
	pending := Pending{Copy: Copy{Shard: t.Shard, Epoch: t.currentView.Epoch, Records: []Record{r.recordAt(now)}}}
	for _, member := range missing {
		if member == (view.Member{}) {
			pending.Renew = true
			continue
		}
		pending.To = append(pending.To, member)
	}
	return Reply{}, pending
}

// MarkStored records that a member has stored an attempt's claim of a key. The
// zero member stands for a renewal of the view. An acknowledgment of an earlier
// epoch counts: a member that the current view lists still holds the claim.
func (t *Table) MarkStored(key Key, attempt string, member view.Member) {
	r := t.rows[key]
	if r == nil || r.record.Attempt != attempt {
		return
	}
	r.stored[member] = true
}

// RaiseMinEpoch records that a member accepts only epoch or higher: another host
// owns the shard, or is about to. Rule 2.
func (t *Table) RaiseMinEpoch(epoch uint64) {
	t.minEpoch = max(t.minEpoch, epoch)
}

// Copy stores records from an owner, or refuses them if the owner's epoch is lower
// than the lowest accepted one. Rule 2.
func (t *Table) Copy(message Copy, now time.Duration) CopyReply {
	if message.Epoch < t.minEpoch {
		return CopyReply{Epoch: t.minEpoch}
	}
	t.minEpoch = message.Epoch
	for _, record := range message.Records {
		t.merge(record, now)
	}
	return CopyReply{Stored: true, Epoch: t.minEpoch}
}

// merge adds a record. It replaces one of an earlier state, or one of another
// attempt in the same state. Rule 3.
func (t *Table) merge(record Record, now time.Duration) {
	r := t.rows[record.Key]
	if r == nil {
		t.insert(record, now)
		return
	}
	if record.State > r.record.State || record.State == r.record.State && record.Attempt != r.record.Attempt {
		endsAt := max(r.endsAt, now+record.Within)
		r.record = record
		r.ungranted = false
		r.endsAt = endsAt
		r.epoch = t.minEpoch
	}
}

// insert adds the row of a record, without acknowledgments.
func (t *Table) insert(record Record, now time.Duration) *row {
	if t.rows == nil {
		t.rows = map[Key]*row{}
	}
	r := &row{record: record, endsAt: now + record.Within, epoch: t.minEpoch, stored: map[view.Member]bool{}}
	t.rows[record.Key] = r
	return r
}

func (t *Table) maxRows() int {
	if t.MaxRows > 0 {
		return t.MaxRows
	}
	return DefaultMaxRows
}

// Finish records how an attempt ended. It returns false if the member doesn't
// own the shard or has no such claim. The returned message, if it has records,
// is for the copies. It may be lost: a copy that takes over without it replies
// Running or OutcomeUnknown instead of Done.
func (t *Table) Finish(finish Finish, now time.Duration) (Copy, bool) {
	r := t.rows[finish.Key]
	if !t.IsOwner() || r == nil || r.record.Attempt != finish.Attempt {
		return Copy{}, false
	}
	if !finish.Ran {
		if r.record.State == Claimed {
			delete(t.rows, finish.Key)
		}
		return Copy{}, true
	}
	r.record.State = Finished
	r.record.Answer = finish.Answer
	r.record.HasAnswer = finish.HasAnswer
	r.endsAt = min(r.endsAt, now)
	return Copy{Shard: t.Shard, Epoch: t.currentView.Epoch, Records: []Record{r.recordAt(now)}}, true
}

// Adopt replaces the view by one that is certainly installed at the platform,
// unless it is older. From then on the member refuses owners of earlier epochs. A
// member that the view doesn't list drops its records, unless it has seen the
// epoch of the view or a later one before: its records may then be from the owner
// that is about to make it a copy.
func (t *Table) Adopt(v view.View) {
	if v.Epoch < t.currentView.Epoch || v.Epoch == t.currentView.Epoch && v.Version < t.currentView.Version {
		return
	}
	if v.Epoch > t.currentView.Epoch {
		t.joining = nil
	}
	t.currentView = v
	newEpoch := v.Epoch > t.minEpoch
	t.minEpoch = max(t.minEpoch, v.Epoch) // rule 2
	switch {
	case v.Owner == t.Self && v.LostEpoch == v.Epoch:
		t.dropClaimsBeforeLoss()
	case v.Owner != t.Self && !v.HasCopy(t.Self) && newEpoch:
		t.rows = nil
	}
}

// dropClaimsBeforeLoss drops the claims that the owner of a restarted shard holds
// from before the loss. This host was not a member then, so they may come from an
// owner that was replaced long ago, and another attempt may have run the request
// since. Rule 6 then answers for their keys.
func (t *Table) dropClaimsBeforeLoss() {
	maps.DeleteFunc(t.rows, func(_ Key, r *row) bool { return r.record.State == Claimed && !t.madeSinceLoss(r) })
}

// madeSinceLoss reports whether the claim was made under the lost epoch or later.
func (t *Table) madeSinceLoss(r *row) bool { return r.epoch >= t.currentView.LostEpoch }

// AddJoining makes each Granted need the acknowledgment of the members too.
// Rule 9.
func (t *Table) AddJoining(members []view.Member) {
	for _, member := range members {
		if !slices.Contains(t.joining, member) {
			t.joining = append(t.joining, member)
		}
	}
}

// ClearJoining undoes AddJoining. The caller makes sure that no view that lists
// the members was installed or ever will be. When a later view is adopted, Adopt
// clears them itself.
func (t *Table) ClearJoining() { t.joining = nil }

// Expire drops the records whose retention has passed. Rule 7.
func (t *Table) Expire(now time.Duration) {
	for key, r := range t.rows {
		if now >= r.endsAt+Retention {
			delete(t.rows, key)
		}
	}
}
