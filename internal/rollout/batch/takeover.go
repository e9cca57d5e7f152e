package batch

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

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

// maxParallelTakeovers bounds the takeovers of a host at a time, each of which reads and
// decodes the whole batch. A lost zone may leave it several.
const maxParallelTakeovers = 2

// watchOwners takes over batches whose owners fail (rule 4).
func (b *Batches) watchOwners(ctx context.Context) {
	watch := b.ownerWatch()
	ticker := time.NewTicker(watch.interval)
	defer ticker.Stop()
	misses := map[string]int{} // by missKey, or by batch if there is no owner to ping
	var attempts takeoverAttempts
	running := make(chan struct{}, maxParallelTakeovers)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for id, k := range b.ownedUnstarted() {
			b.release(ctx, id, k)
		}
		open := b.openWithoutWorker(&attempts)
		b.pingOwners(ctx, watch, open, misses)
		for id, k := range open {
			if !b.mayTakeOver(id, k, watch, misses) || !attempts.begin(id) {
				continue
			}
			if b.ToleratedZones <= 0 {
				attempts.end(id, b.takeOver(ctx, id, k))
				continue
			}
			b.start(func() { // so that a call to the store that hangs delays no ping
				lost := b.checkPath(ctx, id, k) && !b.answersNow(ctx, watch, k)
				complete := false
				if lost {
					running <- struct{}{}
					complete = b.takeOver(ctx, id, k)
					<-running
				}
				attempts.end(id, complete)
			})
		}
	}
}

// takeoverAttempts records the batches that are being taken over, and those whose logs were
// found to list all items. The zero value is ready to use.
type takeoverAttempts struct {
	mu       sync.Mutex
	running  map[string]bool
	complete map[string]bool
}

// begin reports whether a takeover may start now.
func (t *takeoverAttempts) begin(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running[id] || t.complete[id] {
		return false
	}
	if t.running == nil {
		t.running, t.complete = map[string]bool{}, map[string]bool{}
	}
	t.running[id] = true
	return true
}

// end records the end of a takeover and whether all items of the batch are listed.
func (t *takeoverAttempts) end(id string, complete bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, id)
	if complete {
		t.complete[id] = true
	}
}

// isComplete reports whether a batch's log was found to list all items.
func (t *takeoverAttempts) isComplete(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.complete[id]
}

// openWithoutWorker returns the batches that have not ended and that this host does not
// run, including those that it owns and has not started. It leaves out those whose logs
// are complete or that it may not own, and returns none while this host drains.
func (b *Batches) openWithoutWorker(attempts *takeoverAttempts) map[string]known {
	b.mu.Lock()
	defer b.mu.Unlock()
	open := map[string]known{}
	if b.draining {
		return open
	}
	for id, k := range b.known {
		if !k.Ended && b.workers[id] == nil && !attempts.isComplete(id) && b.mayOwn(k.Record) {
			open[id] = k
		}
	}
	return open
}

// missKey returns the key of an owner's misses. With ToleratedZones each process of a host
// has its own, so that a host's new process does not reset the misses of the earlier one.
func (b *Batches) missKey(owner string, incarnation uint64) string {
	if b.ToleratedZones <= 0 {
		return owner
	}
	return owner + "\x00" + strconv.FormatUint(incarnation, 10)
}

// pingOwners pings the owners that this host watches and counts their misses in a row: a
// ping that fails, or is answered by an unhealthy host or another process. It counts each
// poll as a miss for a batch without an owner, and for one that this process owns but has
// not started.
func (b *Batches) pingOwners(ctx context.Context, watch ownerWatch, open map[string]known, misses map[string]int) {
	watched := b.watchedOwners(open, misses)
	began := time.Now()
	statuses := b.pingAll(ctx, watch, slices.Collect(maps.Keys(watched)))
	// If this host stood still, a missing answer says nothing about the owner.
	stalled := watch.stallMargin > 0 && time.Since(began) > watch.roundTimeout(len(watched))
	for owner, status := range statuses {
		for _, incarnation := range watched[owner] {
			if status.Healthy && status.Incarnation == incarnation {
				misses[b.missKey(owner, incarnation)] = 0
			} else if !stalled {
				misses[b.missKey(owner, incarnation)]++
			}
		}
	}
}

// watchedOwners returns the owners to ping and the incarnations that are expected there. It
// counts the misses of batches without an owner to ping, and deletes the misses of all
// others that this host does not watch.
func (b *Batches) watchedOwners(open map[string]known, misses map[string]int) map[string][]uint64 {
	polled := map[string]bool{} // keys of misses that are still in use
	watched := map[string][]uint64{}
	for id, k := range open {
		if k.Owner == "" || k.Owner == b.Host && k.Incarnation == b.Incarnation {
			polled[id] = true
			misses[id]++
			continue
		}
		key := b.missKey(k.Owner, k.Incarnation)
		if k.Owner == b.Host || polled[key] || !b.watchesOwner(id, k) {
			continue
		}
		polled[key] = true
		watched[k.Owner] = append(watched[k.Owner], k.Incarnation)
	}
	for key := range misses {
		if !polled[key] {
			delete(misses, key)
		}
	}
	return watched
}

// pingAll pings hosts and returns their status. The status of a host that does not answer in
// time is empty.
func (b *Batches) pingAll(ctx context.Context, watch ownerWatch, hosts []string) map[string]HostStatus {
	var (
		mu       sync.Mutex
		statuses = map[string]HostStatus{}
		group    errgroup.Group
	)
	group.SetLimit(watch.parallelPings)
	for _, host := range hosts {
		group.Go(func() error {
			pingCtx, cancel := context.WithTimeout(ctx, watch.pingTimeout)
			defer cancel()
			status, err := b.Peers.Ping(pingCtx, host)
			if err != nil {
				status = HostStatus{}
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[host] = status
			return nil
		})
	}
	_ = group.Wait() // no ping returns an error
	return statuses
}

// mayTakeOver reports whether it is this host's turn to take over a batch.
func (b *Batches) mayTakeOver(id string, k known, watch ownerWatch, misses map[string]int) bool {
	if !b.StoreReachable() {
		return false
	}
	if k.Owner == b.Host { // owned by an earlier process, or the start message was lost
		return k.Incarnation != b.Incarnation || misses[id] > maxStartMisses
	}
	if k.Owner == "" { // its owner drained; the first in rank may be gone too
		return misses[id] > b.takeoverRank(id, k)*watch.missesPerRank
	}
	missed := misses[b.missKey(k.Owner, k.Incarnation)]
	return missed >= maxOwnerMisses && missed >= maxOwnerMisses+b.takeoverRank(id, k)*watch.missesPerRank
}

// checkPath reports whether this host reaches the store now and the batch still has the
// known owner. StoreReachable notices an outage only after seconds, and the watch of the
// records delivers the takeover by another host with a delay.
func (b *Batches) checkPath(ctx context.Context, id string, k known) bool {
	ctx, cancel := context.WithTimeout(ctx, pathCheckTimeout)
	defer cancel()
	record, version, err := b.storage().record(ctx, id)
	if err != nil {
		return false
	}
	b.applyRecord(id, record, version)
	return !record.Ended && record.Epoch == k.Epoch
}

// answersNow reports whether the owner of a batch answers a ping. The misses may be from a time
// when this host itself was cut off, which has ended if checkPath has just succeeded.
func (b *Batches) answersNow(ctx context.Context, watch ownerWatch, k known) bool {
	if k.Owner == "" || k.Owner == b.Host {
		return false
	}
	status, ok := b.pingAll(ctx, watch, []string{k.Owner})[k.Owner]
	return ok && status.Healthy && status.Incarnation == k.Incarnation
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
		previous := process{record.PreviousOwner, k.Incarnation}
		b.startWorker(batch, record, previous, log, len(chunks)) //nolint:contextcheck // the batch outlives the poll
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
