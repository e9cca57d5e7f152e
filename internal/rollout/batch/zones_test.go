package batch_test

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/entry/forward"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/rollout/batch"
)

// zones describes the zones of a site. The zone of a host is the first letter of its name.
type zones struct {
	tolerated int          // see batch.Batches
	order     []string     // all hosts in the order of Ranked
	cut       atomic.Value // the zone that reaches neither the others nor the store, a string
	pingDelay atomic.Int64 // before a host answers a ping, in nanoseconds
	noCopies  string       // the host that answers no copies
	copies    atomic.Int64 // number of messages with copies
}

func newZoneSite(ctx context.Context, tolerated int, hosts ...string) *site {
	s := newSite(ctx)
	s.zones.tolerated, s.zones.order = tolerated, hosts
	for _, host := range hosts {
		s.start(host, 1)
	}
	return s
}

// cutZone cuts a zone off, or heals the site if it is empty.
func (s *site) cutZone(zone string) { s.zones.cut.Store(zone) }

// awaitPath returns once two hosts, or a host and the store as "", reach each other, or an
// error at the end of the context: packets are lost, so that a call waits for its timeout.
func (s *site) awaitPath(ctx context.Context, host, other string) error {
	for {
		cut, _ := s.zones.cut.Load().(string)
		if cut == "" || (host[:1] == cut) == (other != "" && other[:1] == cut) {
			return nil
		}
		select {
		case <-ctx.Done():
			return &object.OutageError{Err: errors.New("zone is cut off")}
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// reach returns a host that lives and can be reached within the context, or nil.
func (p *peers) reach(ctx context.Context, host string) *batch.Batches {
	if p.awaitPath(ctx, p.self, host) != nil {
		return nil
	}
	return p.batches(host)
}

func (p *peers) Ranked(string) []batch.RankedHost {
	var all []batch.RankedHost
	for _, host := range p.zones.order {
		all = append(all, batch.RankedHost{Name: host, Zone: host[:1]})
	}
	return all
}

func (p *peers) Copy(ctx context.Context, host string, request batch.CopyRequest) (batch.CopyReply, error) {
	p.zones.copies.Add(1)
	if b := p.reach(ctx, host); b != nil && host != p.zones.noCopies {
		return b.ServeCopy(request), nil
	}
	return batch.CopyReply{}, errDead
}

// zoneStore is the store as a host reaches it.
type zoneStore struct {
	object.Store
	site *site
	host string
}

func (z *zoneStore) Get(ctx context.Context, key string) (object.Object, error) {
	if err := z.site.awaitPath(ctx, z.host, ""); err != nil {
		return object.Object{}, err
	}
	return z.Store.Get(ctx, key)
}

func (z *zoneStore) List(ctx context.Context, prefix string) (object.Batch, error) {
	if err := z.site.awaitPath(ctx, z.host, ""); err != nil {
		return object.Batch{}, err
	}
	return z.Store.List(ctx, prefix)
}

func (z *zoneStore) Watch(ctx context.Context, prefix string, after uint64) (object.Batch, error) {
	changes, err := z.Store.Watch(ctx, prefix, after)
	if pathErr := z.site.awaitPath(ctx, z.host, ""); pathErr != nil {
		return object.Batch{}, pathErr
	}
	return changes, err
}

func (z *zoneStore) Put(ctx context.Context, key string, value []byte, expect uint64) (object.Object, error) {
	if err := z.site.awaitPath(ctx, z.host, ""); err != nil {
		return object.Object{}, err
	}
	return z.Store.Put(ctx, key, value, expect)
}

// hostEngine is the engine as a host calls it. Its runs are also recorded by host and item:
// an owner that is cut off starts a run again when its engine is silent.
type hostEngine struct {
	*engine
	host string
}

func (h *hostEngine) Generate(ctx context.Context, server pool.Server, request forward.Request) (batch.Stream, error) {
	h.mu.Lock()
	run := h.host + " " + request.ID
	h.runs[run] = append(h.runs[run], request.ResumeAfter)
	h.mu.Unlock()
	return h.engine.Generate(ctx, server, request)
}

// owner returns the owner in a batch's record.
func (s *site) owner(id string) string {
	var record batch.Record
	found, _ := s.store.Get(s.ctx, batch.RecordPrefix+id)
	_ = json.Unmarshal(found.Value, &record)
	return record.Owner
}
