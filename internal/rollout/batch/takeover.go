package batch

import (
	"context"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// Times and limits of the watch over owners. A step is due within seconds, so a failed
// owner has to be replaced in little more than one second.
const (
	ownerPollInterval = 400 * time.Millisecond
	ownerPingTimeout  = 500 * time.Millisecond
	maxOwnerMisses    = 3 // consecutive failed pings, see pingOwners
	// maxStartMisses is the number of polls for which a batch that this host owns may
	// wait for the message that starts it.
	maxStartMisses = 2
	// missesPerRank is the number of further misses for which each later rank waits, so
	// that one host at a time attempts a takeover.
	missesPerRank = 3
	// watchersPerOwner is the number of hosts that watch the owner of a batch. It is more
	// than a zone of a small site holds, since zones fail as a unit.
	watchersPerOwner = 8
	// drainGrace is how long a draining host lets generations finish before it gives up
	// its batches.
	drainGrace = 1500 * time.Millisecond
)

// watchOwners takes over batches whose owners fail (rule 4).
func (b *Batches) watchOwners(ctx context.Context) {
	ticker := time.NewTicker(ownerPollInterval)
	defer ticker.Stop()
	misses := map[string]int{}    // by owner, or by batch if there is no owner to ping
	complete := map[string]bool{} // batches whose logs list all items
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for id, k := range b.ownedUnstarted() {
			b.release(ctx, id, k)
		}
		open := b.openWithoutWorker(complete)
		b.pingOwners(ctx, open, misses)
		for id, k := range open {
			if b.mayTakeOver(id, k, misses) {
				complete[id] = b.takeOver(ctx, id, k)
			}
		}
	}
}

// openWithoutWorker returns the batches that have not ended and that this host does not
// run, including those that it owns and has not started. It leaves out those whose logs
// are complete or that it may not own, and returns none while this host drains.
func (b *Batches) openWithoutWorker(complete map[string]bool) map[string]known {
	b.mu.Lock()
	defer b.mu.Unlock()
	open := map[string]known{}
	if b.draining {
		return open
	}
	for id, k := range b.known {
		if !k.Ended && b.workers[id] == nil && !complete[id] && b.mayOwn(k.Record) {
			open[id] = k
		}
	}
	return open
}

// pingOwners pings the owners that this host watches and counts their misses in a row: a
// ping that fails, or is answered by an unhealthy host or another process. It counts each
// poll as a miss for a batch without an owner, and for one that this process owns but has
// not started.
func (b *Batches) pingOwners(ctx context.Context, open map[string]known, misses map[string]int) {
	polled := map[string]bool{} // keys of misses that are still in use
	for id, k := range open {
		if k.Owner == "" || k.Owner == b.Host && k.Incarnation == b.Incarnation {
			polled[id] = true
			misses[id]++
			continue
		}
		if k.Owner == b.Host || polled[k.Owner] || b.rank(id, k.Record, k.Owner) >= watchersPerOwner {
			continue
		}
		polled[k.Owner] = true
		pingCtx, cancel := context.WithTimeout(ctx, ownerPingTimeout)
		status, err := b.Peers.Ping(pingCtx, k.Owner)
		cancel()
		if err == nil && status.Healthy && status.Incarnation == k.Incarnation {
			misses[k.Owner] = 0
		} else {
			misses[k.Owner]++
		}
	}
	for key := range misses {
		if !polled[key] {
			delete(misses, key)
		}
	}
}

// mayTakeOver reports whether it is this host's turn to take over a batch.
func (b *Batches) mayTakeOver(id string, k known, misses map[string]int) bool {
	if !b.StoreReachable() {
		return false
	}
	if k.Owner == b.Host { // owned by an earlier process, or the start message was lost
		return k.Incarnation != b.Incarnation || misses[id] > maxStartMisses
	}
	rank := b.rank(id, k.Record, k.Owner, k.PreviousOwner)
	if k.Owner == "" { // its owner drained; the first in rank may be gone too
		return misses[id] > rank*missesPerRank
	}
	return misses[k.Owner] >= maxOwnerMisses+rank*missesPerRank
}

// takeOver makes this host the owner of a batch and runs the items that are not listed. It
// returns true if all items are already listed.
func (b *Batches) takeOver(ctx context.Context, id string, k known) bool {
	chunks, err := b.storage().log(ctx, id, 0)
	if err != nil {
		return false
	}
	var log []Result
	for _, chunk := range chunks {
		log = append(log, chunk...)
	}
	if len(log) >= k.Total {
		return true
	}
	batch, err := b.storage().body(ctx, id, k.Record)
	if err != nil {
		b.Log.Emit(event.BatchUnreadable, "batch", id, "err", err.Error())
		return false
	}
	record, version, err := b.storage().updateRecord(ctx, id, k, func(r *Record) bool {
		if r.Ended || r.Epoch != k.Epoch {
			return false
		}
		if r.Owner != "" { // else PreviousOwner already names the owner that drained
			r.PreviousOwner = r.Owner
		}
		r.Owner, r.Incarnation, r.Epoch = b.Host, b.Incarnation, r.Epoch+1
		return true
	})
	if err != nil {
		return false
	}
	b.applyRecord(id, record, version)
	if record.Owner == b.Host && record.Incarnation == b.Incarnation && !record.Ended {
		b.Log.Emit(event.BatchTakenOver, "batch", id, "from", k.Owner, "epoch", record.Epoch, "listed", len(log))
		b.startWorker(batch, record, log, len(chunks)) //nolint:contextcheck // the batch outlives the poll
	}
	return false
}

// Drain stops accepting batches, waits for drainGrace if RunningCount isn't zero, and then
// removes this host as the owner from the records of the batches that have not ended, so
// that other hosts take them over. A record that can't be updated is logged and left as it
// is. Batches that other hosts have accepted for this one meanwhile are handed over by
// watchOwners.
func (b *Batches) Drain(ctx context.Context) {
	b.mu.Lock()
	b.draining = true
	open := len(b.workers)
	b.mu.Unlock()
	if open == 0 {
		return
	}
	pause(ctx, drainGrace)
	for id := range b.runningWorkers() {
		from, _ := b.lookup(id)
		b.release(ctx, id, from)
	}
}

// runningWorkers returns the workers of all batches that run here, by batch.
func (b *Batches) runningWorkers() map[string]*worker {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make(map[string]*worker, len(b.workers))
	for id, w := range b.workers {
		all[id] = w
	}
	return all
}

// release removes this process as the owner from the record of a batch.
func (b *Batches) release(ctx context.Context, id string, from known) {
	record, version, err := b.storage().updateRecord(ctx, id, from, func(r *Record) bool {
		if r.Ended || r.Owner != b.Host || r.Incarnation != b.Incarnation {
			return false
		}
		r.PreviousOwner, r.Owner, r.Epoch = b.Host, "", r.Epoch+1
		return true
	})
	if err != nil {
		b.Log.Emit(event.OwnerNotifyFailed, "batch", id, "err", err.Error())
		return
	}
	b.applyRecord(id, record, version)
}

// ownedUnstarted returns the batches that another host has accepted for this process since
// it drains: their records name it as the owner, and it will not start them. It returns none
// while this host accepts batches.
func (b *Batches) ownedUnstarted() map[string]known {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := map[string]known{}
	for id, k := range b.known {
		if b.draining && !k.Ended && k.Owner == b.Host && k.Incarnation == b.Incarnation && b.workers[id] == nil {
			all[id] = k
		}
	}
	return all
}
