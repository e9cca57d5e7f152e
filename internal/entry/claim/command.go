package claim

import (
	"maps"
	"slices"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
)

// Claim decides a request, or says what must be stored first. When the Ask is
// needed, the reply is not valid; the caller reports each result to Stored and
// may repeat the Claim at any time.
func (t *Table) Claim(request Request, now time.Duration) (Reply, Pending) {
	if reply, ok := t.refuse(request); ok {
		return reply, Pending{}
	}
	r := t.rows[request.Key]
	if r == nil {
		return t.open(request, now)
	}
	if r.record.Digest != request.Digest {
		return Reply{Status: Conflict}, Pending{}
	}
	if r.record.Attempt != request.Attempt || r.record.State != Claimed {
		return r.reply(now), Pending{}
	}
	return t.grant(r, now) // rule 4
}

func (t *Table) refuse(request Request) (Reply, bool) {
	if !t.IsOwner() {
		return t.moved(), true
	}
	if request.MintedEpoch > t.current.Epoch {
		return t.moved(), true // rule 6
	}
	return Reply{}, false
}

func (t *Table) moved() Reply {
	if t.current.Epoch == 0 || t.current.Owner == t.Self {
		return Reply{Status: Moved}
	}
	known := t.current
	return Reply{Status: Moved, View: &known}
}

func (t *Table) open(request Request, now time.Duration) (Reply, Pending) {
	if t.current.LostEpoch > 0 && request.MintedEpoch < t.current.LostEpoch {
		return Reply{Status: OutcomeUnknown}, Pending{} // rule 6
	}
	if len(t.rows) >= t.limit() {
		return Reply{Status: Busy}, Pending{} // rule 7
	}
	r := t.put(Record{
		Key:     request.Key,
		Digest:  request.Digest,
		Attempt: request.Attempt,
		State:   Claimed,
		Within:  request.Within,
	}, now)
	r.own = true
	return t.grant(r, now)
}

// Recheck decides a request whose claim was asked for before. It opens none.
func (t *Table) Recheck(request Request, now time.Duration) (Reply, Pending) {
	if t.rows[request.Key] == nil && t.IsOwner() {
		return Reply{Status: Busy}, Pending{}
	}
	return t.Claim(request, now)
}

// Withdraw takes back a claim that could not be stored everywhere, if the
// attempt has not been granted it. Rule 8.
func (t *Table) Withdraw(key Key, attempt string) {
	r := t.rows[key]
	if r != nil && r.own && r.record.Attempt == attempt && r.record.State == Claimed {
		delete(t.rows, key)
	}
}

// grant replies New once every copy has stored the row. Rule 1.
func (t *Table) grant(r *row, now time.Duration) (Reply, Pending) {
	if now >= r.ends {
		return Reply{Status: OutcomeUnknown}, Pending{}
	}
	missing := t.waits(r)
	if len(missing) == 0 {
		r.own = false
		return Reply{Status: Granted}, Pending{}
	}
	ask := Pending{Copy: Copy{Shard: t.Shard, Epoch: t.current.Epoch, Records: []Record{r.copied(now)}}}
	for _, member := range missing {
		if member == (view.Member{}) {
			ask.Renew = true
			continue
		}
		ask.To = append(ask.To, member)
	}
	return Reply{}, ask
}

// MarkStored notes that a member has stored a key's claim by the attempt under the
// epoch. The zero member stands for a renewal of the view of that epoch. An
// acknowledgment of an earlier epoch counts: the member still holds the claim
// if the current view lists it.
func (t *Table) MarkStored(key Key, attempt string, member view.Member) {
	r := t.rows[key]
	if r == nil || r.record.Attempt != attempt {
		return
	}
	r.stored[member] = true
}

// RaiseMinEpoch notes that a member accepts only epoch or higher: another host owns
// the shard now, or is about to. Rule 2.
func (t *Table) RaiseMinEpoch(epoch uint64) {
	t.floor = max(t.floor, epoch)
}

// Copy stores records from an owner.
func (t *Table) Copy(message Copy, now time.Duration) CopyReply {
	if message.Epoch < t.floor {
		return CopyReply{Epoch: t.floor}
	}
	t.floor = message.Epoch
	for _, record := range message.Records {
		t.merge(record, now)
	}
	return CopyReply{Stored: true, Epoch: t.floor}
}

// merge keeps what is known already. Rule 3.
func (t *Table) merge(record Record, now time.Duration) {
	r := t.rows[record.Key]
	if r == nil {
		t.put(record, now)
		return
	}
	if record.State > r.record.State || record.State == r.record.State && record.Attempt != r.record.Attempt {
		ends := max(r.ends, now+record.Within)
		r.record = record
		r.own = false
		r.ends = ends
		r.epoch = t.floor
	}
}

func (t *Table) put(record Record, now time.Duration) *row {
	if t.rows == nil {
		t.rows = map[Key]*row{}
	}
	r := &row{record: record, ends: now + record.Within, epoch: t.floor, stored: map[view.Member]bool{}}
	t.rows[record.Key] = r
	return r
}

func (t *Table) limit() int {
	if t.MaxRows > 0 {
		return t.MaxRows
	}
	return MaxRows
}

// Finish notes how an attempt ended. It returns false when the member doesn't
// own the shard or has no such claim, and a message for the copies, which they
// get at best effort: without it they reply Outcome in place of Done.
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
	r.ends = min(r.ends, now)
	return Copy{Shard: t.Shard, Epoch: t.current.Epoch, Records: []Record{r.copied(now)}}, true
}

// Adopt takes a view that certainly stands at the platform. From then on the
// member refuses owners of earlier views. A host that the view doesn't name
// drops what it holds, unless it was told more under the same epoch: it may be
// about to become a copy.
func (t *Table) Adopt(v view.View) {
	if v.Epoch < t.current.Epoch || v.Epoch == t.current.Epoch && v.Version < t.current.Version {
		return
	}
	if v.Epoch > t.current.Epoch {
		t.joining = nil
	}
	t.current = v
	news := v.Epoch > t.floor
	t.floor = max(t.floor, v.Epoch) // rule 2
	switch {
	case v.Owner == t.Self && v.LostEpoch == v.Epoch:
		t.distrust()
	case v.Owner != t.Self && !v.HasCopy(t.Self) && news:
		t.rows = nil
	}
}

// distrust drops the claims of an owner that restarts a lost shard. It was no
// member, so that they may be those of an owner that was replaced long ago, and
// another attempt may have run the request since. Rule 6 answers for them.
func (t *Table) distrust() {
	maps.DeleteFunc(t.rows, func(_ Key, r *row) bool { return r.record.State == Claimed && !t.under(r) })
}

// under says whether the claim was made under the lost epoch itself.
func (t *Table) under(r *row) bool { return r.epoch >= t.current.LostEpoch }

// AddJoining makes each New need the acknowledgment of the members too. Rule 9.
func (t *Table) AddJoining(members []view.Member) {
	for _, member := range members {
		if !slices.Contains(t.joining, member) {
			t.joining = append(t.joining, member)
		}
	}
}

// ClearJoining ends a Join. The caller makes sure that no view that lists the members
// was installed or ever will be; Adopt ends it otherwise.
func (t *Table) ClearJoining() { t.joining = nil }

// Expire drops the records whose retention has passed. Rule 7.
func (t *Table) Expire(now time.Duration) {
	for key, r := range t.rows {
		if now >= r.ends+Retention {
			delete(t.rows, key)
		}
	}
}
