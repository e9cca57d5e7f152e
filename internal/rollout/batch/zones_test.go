package batch_test

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/rollout/batch"
	"github.com/hyssopwall/hyssopwall/internal/site/meter"
)

// zones describes the zones of a site. A host outside any zone reaches all others. The
// fields without a lock of their own are used under that of the site.
type zones struct {
	tolerated int                      // see batch.Batches
	order     []string                 // all hosts in the order of Ranked
	of        map[string]string        // zone by host
	cut       string                   // the zone that reaches neither other zones nor the store
	pingDelay map[string]time.Duration // before a host answers a ping
	meters    map[string]*meter.Meter
	copies    []batch.CopyRequest // all copies that were sent
	noCopies  map[string]bool     // hosts that answer no copies
}

// newZoneSite returns a site that tolerates the loss of zones, with its hosts in the order of
// Ranked. The zone of a host is the first letter of its name.
func newZoneSite(ctx context.Context, tolerated int, hosts ...string) *site {
	s := newSite(ctx)
	s.zones = zones{
		tolerated: tolerated, order: hosts, of: map[string]string{}, pingDelay: map[string]time.Duration{},
		meters: map[string]*meter.Meter{}, noCopies: map[string]bool{},
	}
	for _, host := range hosts {
		s.zones.of[host], s.zones.meters[host] = host[:1], meter.New()
	}
	for _, host := range hosts {
		s.start(host, 1)
	}
	return s
}

// cutZone cuts a zone off from the others and from the store, or heals the site.
func (s *site) cutZone(zone string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.zones.cut = zone
}

// separated reports whether a host is cut off from another one, or from the store as "".
func (s *site) separated(host, other string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	cut := s.zones.cut
	return cut != "" && (s.zones.of[host] == cut) != (s.zones.of[other] == cut)
}

// awaitPath returns once two hosts reach each other, or an error at the end of the context.
// Packets to a cut-off zone are lost, so that a call waits for its timeout.
func (s *site) awaitPath(ctx context.Context, host, other string) error {
	for s.separated(host, other) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(5 * time.Millisecond):
		}
	}
	return nil
}

// reach returns a host that lives and can be reached within the context, or nil.
func (p *peers) reach(ctx context.Context, host string) *batch.Batches {
	if p.awaitPath(ctx, p.self, host) != nil {
		return nil
	}
	return p.batches(host)
}

func (p *peers) Ranked(string) []batch.RankedHost {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []batch.RankedHost
	for _, host := range p.zones.order {
		all = append(all, batch.RankedHost{Name: host, Zone: p.zones.of[host]})
	}
	return all
}

func (p *peers) Copy(ctx context.Context, host string, request batch.CopyRequest) (batch.CopyReply, error) {
	p.mu.Lock()
	p.zones.copies = append(p.zones.copies, request)
	silent := p.zones.noCopies[host]
	p.mu.Unlock()
	if b := p.reach(ctx, host); b != nil && !silent {
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

func (z *zoneStore) path(ctx context.Context) error {
	if z.site.awaitPath(ctx, z.host, "") != nil {
		return &object.OutageError{Err: errors.New("zone is cut off")}
	}
	return nil
}

func (z *zoneStore) Get(ctx context.Context, key string) (object.Object, error) {
	if err := z.path(ctx); err != nil {
		return object.Object{}, err
	}
	return z.Store.Get(ctx, key)
}

func (z *zoneStore) List(ctx context.Context, prefix string) (object.Batch, error) {
	if err := z.path(ctx); err != nil {
		return object.Batch{}, err
	}
	return z.Store.List(ctx, prefix)
}

func (z *zoneStore) Watch(ctx context.Context, prefix string, after uint64) (object.Batch, error) {
	if err := z.path(ctx); err != nil {
		return object.Batch{}, err
	}
	changes, err := z.Store.Watch(ctx, prefix, after)
	if pathErr := z.path(ctx); pathErr != nil {
		return object.Batch{}, pathErr
	}
	return changes, err
}

func (z *zoneStore) Put(ctx context.Context, key string, value []byte, expect uint64) (object.Object, error) {
	if err := z.path(ctx); err != nil {
		return object.Object{}, err
	}
	return z.Store.Put(ctx, key, value, expect)
}

// owner returns the host in a batch's record.
func (s *site) owner(id string) string {
	found, err := s.store.Get(s.ctx, batch.RecordPrefix+id)
	if err != nil {
		return err.Error()
	}
	var record batch.Record
	if err := json.Unmarshal(found.Value, &record); err != nil {
		return err.Error()
	}
	return record.Owner
}

// runsOn returns the hosts that run batches.
func (s *site) runsOn() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var hosts []string
	for host, b := range s.batchesByHost {
		if !s.dead[host] && b.RunningCount() > 0 {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}
