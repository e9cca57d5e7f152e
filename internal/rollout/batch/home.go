package batch

import (
	"context"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// The home of a workspace's batches along a route is the first host in rank for
// both that takes batches. Batches that were spread over all hosts would open
// their connections to the engines anew, one for each generation.

const (
	// homeCandidates is the number of hosts that are asked before this one keeps the
	// batch.
	homeCandidates = 2
	// homeTimeout bounds one question, on the way to an acceptance that trainers
	// want within a few hundred milliseconds.
	homeTimeout = 100 * time.Millisecond
	// startTimeout bounds the message that hands a batch over; a home that missed
	// it finds the batch by its watch.
	startTimeout = time.Second
)

// home returns the host that is to own a batch and its incarnation.
func (b *Batches) chooseOwner(ctx context.Context, batch Batch) (string, uint64) {
	for _, host := range b.Peers.First(batch.Workspace+"\x00"+batch.Route, homeCandidates) {
		if host == b.Host {
			break
		}
		asking, cancel := context.WithTimeout(ctx, homeTimeout)
		pulse, err := b.Peers.Ping(asking, host)
		cancel()
		if err == nil && pulse.Open {
			return host, pulse.Incarnation
		}
		reason := "takes no batches now"
		if err != nil {
			reason = err.Error()
		}
		b.Log.Emit(event.HomePassed, "batch", batch.ID, "owner", host, "reason", reason)
	}
	return b.Host, b.Incarnation
}

// hand starts an accepted batch here or tells its owner to.
func (b *Batches) startAtOwner(batch Batch, record Record, version uint64) {
	if record.Owner == b.Host {
		if record.Incarnation == b.Incarnation {
			b.startWorker(batch, record, nil, 0)
		}
		return
	}
	b.notify(batch.ID, record.Owner, startTimeout, func(ctx context.Context) error {
		return b.Peers.Start(ctx, record.Owner, StartRequest{Batch: batch, Record: record, Version: version})
	})
}

// notify tells the owner of a batch something beside the caller's worker. What an
// owner misses it learns by its watch.
func (b *Batches) notify(id, owner string, limit time.Duration, call func(context.Context) error) {
	b.mu.Lock()
	background := b.ctx
	b.mu.Unlock()
	b.group.Go(func() {
		ctx, cancel := context.WithTimeout(background, limit)
		defer cancel()
		if err := call(ctx); err != nil {
			b.Log.Emit(event.BatchNoticeFailed, "batch", id, "owner", owner, "err", err.Error())
		}
	})
}

// ServeStart takes over a batch that another host has accepted for this one.
func (b *Batches) ServeStart(request StartRequest) {
	record := request.Record
	if record.Owner != b.Host || record.Incarnation != b.Incarnation {
		return // meant for an earlier process of this host
	}
	b.applyRecord(request.Batch.ID, record, request.Version)
	b.startWorker(request.Batch, record, nil, 0)
}
