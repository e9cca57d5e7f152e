package batch

import (
	"context"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// Times of the watch over owners. A step is due within seconds, so that a
// failed owner has to be replaced in little more than one.
const (
	ownerPollInterval = 400 * time.Millisecond
	ownerPingTimeout  = 500 * time.Millisecond
	maxOwnerMisses    = 3 // pings in a row without an answer from a healthy owner
	// maxStartMisses is the number of looks that a batch which this host owns may
	// wait for the message that hands it over.
	maxStartMisses = 2
	// missesPerRank is the number of further misses that each later rank waits, so
	// that one host at a time tries.
	missesPerRank = 3
	// watchersPerOwner is the number of hosts that watch over one owner: more than a
	// zone of a small site holds, since zones fail as a whole.
	watchersPerOwner = 8
	// drainGrace is how long a stopping host lets generations finish before it
	// hands its batches on.
	drainGrace = 1500 * time.Millisecond
)

// watchOwners takes over batches whose owners fail (rule 4).
func (b *Batches) watchOwners(ctx context.Context) {
	ticker := time.NewTicker(ownerPollInterval)
	defer ticker.Stop()
	misses := map[string]int{} // by owner; by batch where there is none to ask
	complete := map[string]bool{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		open := b.openElsewhere(complete)
		b.pingOwners(ctx, open, misses)
		for id, k := range open {
			if b.mayTakeOver(id, k, misses) {
				complete[id] = b.takeOver(ctx, id, k)
			}
		}
	}
}

// orphans returns the open batches that this host does not run.
func (b *Batches) openElsewhere(complete map[string]bool) map[string]known {
	b.mu.Lock()
	defer b.mu.Unlock()
	open := map[string]known{}
	if b.draining {
		return open
	}
	for id, k := range b.known {
		if !k.Ended && b.workers[id] == nil && !complete[id] {
			open[id] = k
		}
	}
	return open
}

// pingOwners counts the misses of each owner that this host has to watch.
func (b *Batches) pingOwners(ctx context.Context, open map[string]known, misses map[string]int) {
	asked := map[string]bool{}
	for id, k := range open {
		if k.Owner == "" || k.Owner == b.Host && k.Incarnation == b.Incarnation {
			asked[id] = true
			misses[id]++
			continue
		}
		if k.Owner == b.Host || asked[k.Owner] || b.Peers.Rank(id, k.Owner) >= watchersPerOwner {
			continue
		}
		asked[k.Owner] = true
		pinging, cancel := context.WithTimeout(ctx, ownerPingTimeout)
		pulse, err := b.Peers.Ping(pinging, k.Owner)
		cancel()
		if err == nil && pulse.Healthy && pulse.Incarnation == k.Incarnation {
			misses[k.Owner] = 0
		} else {
			misses[k.Owner]++
		}
	}
	for owner := range misses {
		if !asked[owner] {
			delete(misses, owner)
		}
	}
}

// mayTake says whether this host is next in line for a batch now.
func (b *Batches) mayTakeOver(id string, k known, misses map[string]int) bool {
	if !b.StoreReachable() {
		return false
	}
	if k.Owner == b.Host { // of an earlier process, or the message got lost
		return k.Incarnation != b.Incarnation || misses[id] > maxStartMisses
	}
	rank := b.Peers.Rank(id, k.Owner, k.PreviousOwner)
	if k.Owner == "" { // given up: the first in rank may be gone too
		return misses[id] > rank*missesPerRank
	}
	return misses[k.Owner] >= maxOwnerMisses+rank*missesPerRank
}

// takeOver makes this host the owner and goes on with what is not listed. It
// returns true when all is listed.
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
	batch, err := b.storage().body(ctx, id, k.Parts)
	if err != nil {
		b.Log.Emit(event.BatchUnreadable, "batch", id, "err", err.Error())
		return false
	}
	record, version, err := b.storage().updateRecord(ctx, id, k, func(r *Record) bool {
		if r.Ended || r.Epoch != k.Epoch {
			return false
		}
		if r.Owner != "" { // else Last names the owner that gave it up
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
		b.Log.Emit(event.BatchTaken, "batch", id, "from", k.Owner, "epoch", record.Epoch, "listed", len(log))
		b.startWorker(batch, record, log, len(chunks)) //nolint:contextcheck // the worker outlives the look at owners
	}
	return false
}

// Drain hands the batches of this host on. It returns when the records say so
// or the context ends.
func (b *Batches) Drain(ctx context.Context) {
	b.mu.Lock()
	b.draining = true
	open := len(b.workers)
	b.mu.Unlock()
	if open == 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(drainGrace):
	}
	for id := range b.runningWorkers() {
		from, _ := b.lookup(id)
		record, version, err := b.storage().updateRecord(ctx, id, from, func(r *Record) bool {
			if r.Ended || r.Owner != b.Host || r.Incarnation != b.Incarnation {
				return false
			}
			r.PreviousOwner, r.Owner, r.Epoch = b.Host, "", r.Epoch+1
			return true
		})
		if err != nil {
			b.Log.Emit(event.BatchNoticeFailed, "batch", id, "err", err.Error())
			continue
		}
		b.applyRecord(id, record, version)
	}
}

func (b *Batches) runningWorkers() map[string]*worker {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make(map[string]*worker, len(b.workers))
	for id, w := range b.workers {
		all[id] = w
	}
	return all
}
