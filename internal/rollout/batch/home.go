package batch

import (
	"context"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// The home of a workspace's batches along a route is the first host in the rank order of
// that workspace and route that accepts batches. If batches were spread over all hosts,
// each host would open its own connections to the engines, one for each generation.

const (
	// homeCandidates is the number of hosts that are asked before the accepting host
	// keeps the batch.
	homeCandidates = 2
	// homeTimeout bounds one ping, which delays an acceptance that trainers want within
	// a few hundred milliseconds.
	homeTimeout = 100 * time.Millisecond
	// startTimeout bounds the message that starts a batch on its owner. An owner that
	// missed it finds the batch by its watch.
	startTimeout = time.Second
)

// chooseOwner returns the host that is to own a batch, and the incarnation of its process.
// Regions are those whose hosts may own it, empty for all.
func (b *Batches) chooseOwner(ctx context.Context, batch Batch, regions []string) (string, uint64) {
	for _, host := range b.firstInRegions(batch.Workspace+"\x00"+batch.Route, homeCandidates, regions) {
		if host == b.Host {
			break
		}
		askCtx, cancel := context.WithTimeout(ctx, homeTimeout)
		status, err := b.Peers.Ping(askCtx, host)
		cancel()
		if err == nil && status.Open {
			return host, status.Incarnation
		}
		reason := "accepts no batches now"
		if err != nil {
			reason = err.Error()
		}
		b.Log.Emit(event.HomeSkipped, "batch", batch.ID, "owner", host, "reason", reason)
	}
	return b.Host, b.Incarnation
}

// startAtOwner starts an accepted batch on this host or sends it to its owner.
func (b *Batches) startAtOwner(batch Batch, record Record, version uint64) {
	if record.Owner == b.Host {
		if record.Incarnation == b.Incarnation {
			b.startWorker(batch, record, process{}, nil, 0)
		}
		return
	}
	b.notify(batch.ID, record.Owner, startTimeout, func(ctx context.Context) error {
		return b.Peers.Start(ctx, record.Owner, StartRequest{Batch: batch, Record: record, Version: version})
	})
}

// notify sends a message to the owner of a batch in the background. An owner that misses
// it learns the same from its watch.
func (b *Batches) notify(id, owner string, limit time.Duration, call func(context.Context) error) {
	b.mu.Lock()
	background := b.ctx
	b.mu.Unlock()
	b.start(func() {
		ctx, cancel := context.WithTimeout(background, limit)
		defer cancel()
		if err := call(ctx); err != nil {
			b.Log.Emit(event.OwnerNotifyFailed, "batch", id, "owner", owner, "err", err.Error())
		}
	})
}

// ServeStart starts a batch that another host has accepted for this one.
func (b *Batches) ServeStart(request StartRequest) {
	record := request.Record
	if record.Owner != b.Host || record.Incarnation != b.Incarnation {
		return // sent to an earlier process of this host
	}
	b.applyRecord(request.Batch.ID, record, request.Version)
	b.startWorker(request.Batch, record, process{}, nil, 0)
}
