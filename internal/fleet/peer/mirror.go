package peer

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/platform/object"
)

// At a large site a few hosts watch the store, a few hosts of each availability zone
// follow these, and the other hosts follow those of their zone. The store bills each call,
// a waiting watch as one call; in this way its bill grows neither with the number of hosts
// nor with that of zones. In a small zone each host watches the store itself, which is the
// faster way to notice that a watch receives nothing any more.

const (
	// watchersPerLevel is the number of hosts that watch the store for a site, each in
	// a different large zone, and the number of hosts that the others of a large zone
	// follow. The latter include the host of the zone that watches the store, if any.
	watchersPerLevel = 2
	// smallZoneHosts is the number of hosts up to which each host of a zone watches the
	// store itself.
	smallZoneHosts = 4
	// followMargin is the time beyond its wait that a call to an upstream host may take.
	// Two silent hosts in a row have to fit into the 2 s within which an update has to
	// arrive.
	followMargin = 450 * time.Millisecond
	// startWait is how long a host that starts waits for its upstream hosts before it
	// reads the store itself: about the time over which the hosts of a site start.
	// startRetry is the pause between its calls to them.
	startWait  = 400 * time.Millisecond
	startRetry = 40 * time.Millisecond
	// avoidTime is how long an upstream host that failed is not called.
	avoidTime = 3 * time.Second
	// dataWait is how long a host waits at an upstream host that has no current data, before
	// it calls the store itself: the upstream host may be the only one that can't reach it.
	dataWait = 500 * time.Millisecond
	// maxKeptChanges is the number of changes that a mirror keeps for its followers. A
	// follower that has missed more reads all objects again.
	maxKeptChanges = 1024
)

// The level of a host is its distance from the store. A host follows only hosts of a lower
// level, so that no two hosts follow each other.
const (
	levelNone  = iota // has no current data
	LevelStore        // reads the store itself
	levelZone         // follows a host that reads the store
	levelLeaf         // follows a host of levelZone; has no followers
)

// Mirror holds a host's copy of the objects under one prefix and serves it to the hosts
// that follow this one. Now is the clock of Change.AsOf, the time since an arbitrary start.
// If the last update is older than MaxUpdateAge, the mirror serves nothing. It is safe for
// concurrent use.
type Mirror struct {
	Now          func() time.Duration
	MaxUpdateAge time.Duration

	mu        sync.Mutex
	objects   map[string]object.Object
	recent    []object.Object // the changes after revision floor, in order
	floor     uint64
	revision  uint64
	knownAt   time.Duration // Change.AsOf of the last update
	updatedAt time.Duration // when the last update came
	level     int           // of this host by the last update, levelNone after a failure
	changed   chan struct{} // closed at each update, with or without changes, and at each failure
}

// ApplyChange applies a change that this host received while it had the given level.
func (m *Mirror) ApplyChange(change object.Change, level int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.level, m.knownAt, m.updatedAt = level, change.AsOf, m.Now()
	m.revision = max(m.revision, change.Revision)
	if change.Complete || m.objects == nil {
		m.objects, m.recent, m.floor = map[string]object.Object{}, nil, change.Revision
	}
	for _, o := range change.Objects {
		if o.Deleted {
			delete(m.objects, o.Key)
		} else {
			m.objects[o.Key] = o
		}
		if !change.Complete {
			m.recent = append(m.recent, o)
		}
	}
	if over := len(m.recent) - maxKeptChanges; over > 0 {
		m.floor = m.recent[over-1].Version
		m.recent = slices.Clone(m.recent[over:])
	}
	m.wake()
}

// Forget drops the objects for which drop returns true. Hosts that list the mirror don't get them
// any more.
func (m *Mirror) Forget(drop func(object.Object) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, o := range m.objects {
		if drop(o) {
			delete(m.objects, key)
		}
	}
}

// wake wakes the calls that wait in serve. The caller holds the lock.
func (m *Mirror) wake() {
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

// MarkUnreachable records that neither the store nor an upstream host answered. The mirror
// serves nothing until the next change.
func (m *Mirror) MarkUnreachable() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.level = levelNone
	m.wake()
}

// followRequest asks an upstream host for the changes after a revision, or for all objects
// if After is zero. Wait is how long the host may wait for a change, DataWait how long it may
// wait until it has current data.
type followRequest struct {
	Prefix string        `cbor:"1,keyasint"`
	After  uint64        `cbor:"2,keyasint"`
	Wait   time.Duration `cbor:"3,keyasint"`

	DataWait time.Duration `cbor:"4,keyasint,omitempty"`
}

// followReply answers a followRequest. Level is that of the answering host, levelNone if it
// has no current data. Compacted is set if the mirror no longer holds all changes after the
// revision. Held is how long the host waited before it answered; Age is an upper bound for
// how far its data lagged behind the store at that time.
type followReply struct {
	Level     int           `cbor:"1,keyasint"`
	Compacted bool          `cbor:"2,keyasint,omitempty"`
	Batch     object.Batch  `cbor:"3,keyasint"`
	Age       time.Duration `cbor:"4,keyasint"`
	Held      time.Duration `cbor:"5,keyasint,omitempty"`
}

// serve answers a request. If there is no change after the request's revision, it waits
// until the next update, for request.Wait at most. If it has no current data, it first waits
// for that, for request.DataWait at most.
func (m *Mirror) serve(ctx context.Context, request followRequest) followReply {
	m.awaitData(ctx, request.DataWait)
	began := m.Now()
	reply, changed := m.reply(request.After)
	if reply.Level != levelNone && !reply.Compacted && request.After > 0 && len(reply.Batch.Objects) == 0 {
		timer := time.NewTimer(request.Wait)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		reply, _ = m.reply(request.After)
	}
	reply.Held = m.Now() - began
	return reply
}

// awaitData waits until the mirror has current data, for the time wait at most.
func (m *Mirror) awaitData(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed, current := m.checkCurrent()
		if current {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// checkCurrent reports whether the mirror has current data. It also returns a channel that is
// closed at the next update.
func (m *Mirror) checkCurrent() (changed <-chan struct{}, current bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	return m.changed, m.levelAt(m.Now()) != levelNone
}

// levelAt returns the level that the mirror serves at a time, levelNone if its data is not
// current. The caller holds the lock.
func (m *Mirror) levelAt(now time.Duration) int {
	if now-m.updatedAt >= m.MaxUpdateAge || m.level >= levelLeaf {
		return levelNone
	}
	return m.level
}

// reply returns the current answer for a revision, and a channel that is closed at the next
// update.
func (m *Mirror) reply(after uint64) (followReply, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	now := m.Now()
	reply := followReply{Level: m.levelAt(now), Age: now - m.knownAt}
	reply.Batch.Revision = max(after, m.revision)
	switch {
	case reply.Level == levelNone:
	case after == 0:
		for _, o := range m.objects {
			reply.Batch.Objects = append(reply.Batch.Objects, o)
		}
	case after < m.floor:
		reply.Compacted = true
	default:
		for _, o := range m.recent {
			if o.Version > after {
				reply.Batch.Objects = append(reply.Batch.Objects, o)
			}
		}
	}
	return reply, m.changed
}

// ServeMirrors registers the handler by which other hosts follow the mirrors, which are
// given by prefix.
func ServeMirrors(mux *http.ServeMux, mirrors map[string]*Mirror) {
	Handle(mux, "follow", func(ctx context.Context, request followRequest) followReply {
		mirror := mirrors[request.Prefix]
		if mirror == nil {
			return followReply{}
		}
		return mirror.serve(ctx, request)
	})
}

// Source reads the objects under a prefix from a host that this one follows, or from the
// store if this host follows none or none answers. It implements object.Reader. It must be
// used by one goroutine at a time.
type Source struct {
	Direct    object.Reader // the store, for a host in a small zone, which has no followers
	ShortWait object.Reader // the store, for the other hosts; its watches wait less than Mirror.MaxUpdateAge
	Directory *Directory
	Wait      time.Duration // of watches at other hosts

	level      int                  // see Level
	avoidUntil map[string]time.Time // by name of an upstream host that failed
}

// Level returns the level of this host by the last answer of an upstream host or, if it
// was later, the last call to the store, even one that failed. It is zero, for no current
// data, before both.
func (s *Source) Level() int { return s.level }

// errNoUpstream is returned if no host to follow has current data.
var errNoUpstream = errors.New("no upstream host with current data")

// Get implements object.Reader, always from the store.
func (s *Source) Get(ctx context.Context, key string) (object.Object, error) {
	return s.Direct.Get(ctx, key)
}

// List implements object.Reader.
func (s *Source) List(ctx context.Context, prefix string) (object.Batch, error) {
	request := followRequest{Prefix: prefix}
	batch, err := s.follow(ctx, request)
	for began := time.Now(); errors.Is(err, errNoUpstream) && s.waitsForUpstream(began); {
		time.Sleep(startRetry)
		clear(s.avoidUntil)
		batch, err = s.follow(ctx, request)
	}
	if errors.Is(err, errNoUpstream) {
		return s.directReader().List(ctx, prefix)
	}
	return batch, err
}

// waitsForUpstream reports whether a host that has just started should wait for its
// upstream hosts. After an outage of a whole site all of them start at the same time.
func (s *Source) waitsForUpstream(began time.Time) bool {
	return s.level == levelNone && len(s.Directory.role().upstreams) > 0 && time.Since(began) < startWait
}

// Watch implements object.Reader.
func (s *Source) Watch(ctx context.Context, prefix string, after uint64) (object.Batch, error) {
	batch, err := s.follow(ctx, followRequest{Prefix: prefix, After: after, Wait: s.Wait})
	if errors.Is(err, errNoUpstream) {
		return s.directReader().Watch(ctx, prefix, after)
	}
	return batch, err
}

// directReader returns the reader of the store that fits this host's role, and sets the
// level to LevelStore.
func (s *Source) directReader() object.Reader {
	s.level = LevelStore
	if s.Directory.role().smallZone {
		return s.Direct
	}
	return s.ShortWait
}

// follow asks the upstream hosts in order until one of them answers with current data from
// a level that is low enough. If none has any, it waits at the first one that answers, which
// passes its data on as soon as the store is back. It returns errNoUpstream after that.
func (s *Source) follow(ctx context.Context, request followRequest) (object.Batch, error) {
	role := s.Directory.role()
	withoutData := "" // the first host that answers and has no current data
	for _, host := range role.upstreams {
		if time.Now().Before(s.avoidUntil[host]) {
			continue
		}
		reply, err := s.ask(ctx, host, request)
		switch {
		case err != nil || reply.Level > role.maxLevel:
			s.avoid(host)
		case reply.Level != levelNone:
			return s.accept(request, reply)
		case withoutData == "":
			withoutData = host
		}
	}
	if withoutData == "" {
		return object.Batch{}, errNoUpstream
	}
	request.DataWait = dataWait
	reply, err := s.ask(ctx, withoutData, request)
	switch {
	case err != nil:
		s.avoid(withoutData)
	case reply.Level != levelNone && reply.Level <= role.maxLevel:
		return s.accept(request, reply)
	}
	return object.Batch{}, errNoUpstream
}

// ask sends a request to an upstream host.
func (s *Source) ask(ctx context.Context, host string, request followRequest) (followReply, error) {
	ctx, cancel := context.WithTimeout(ctx, request.DataWait+request.Wait+followMargin)
	defer cancel()
	return Call[followReply](ctx, s.Directory, host, "follow", request)
}

// avoid leaves a host out for avoidTime.
func (s *Source) avoid(host string) {
	if s.avoidUntil == nil {
		s.avoidUntil = map[string]time.Time{}
	}
	s.avoidUntil[host] = time.Now().Add(avoidTime)
}

// accept takes the level of this host and the objects from a reply with current data.
func (s *Source) accept(request followRequest, reply followReply) (object.Batch, error) {
	s.level = reply.Level + 1
	if reply.Compacted {
		return object.Batch{}, &object.CompactedError{Prefix: request.Prefix}
	}
	reply.Batch.Age, reply.Batch.Waited = reply.Age, reply.Held
	return reply.Batch, nil
}

// watchRole is the role of a host in the distribution of updates.
type watchRole struct {
	smallZone bool     // each host of the zone watches the store itself
	upstreams []string // the hosts that this one follows, in order; none if it watches the store
	maxLevel  int      // highest level of an upstream host from which this one takes data
}

// role returns the role of this host, which follows from the hosts that it knows.
func (d *Directory) role() watchRole {
	d.mu.Lock()
	cached, changes := d.cachedRole, d.changes
	d.mu.Unlock()
	if cached != nil {
		return *cached
	}
	found := roleOf(d.Self, d.Ranked("watch"))
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.changes == changes {
		d.cachedRole = &found
	}
	return found
}

// WatchesStore reports whether this host watches the store, for itself or for others.
func (d *Directory) WatchesStore() bool { return len(d.role().upstreams) == 0 }

// roleOf returns the role of a host. ranked holds all hosts in the order of Directory.Rank.
func roleOf(self Host, ranked []Host) watchRole {
	byZone := map[string][]string{}
	for _, h := range ranked {
		byZone[h.Zone] = append(byZone[h.Zone], h.Name)
	}
	if len(byZone[self.Zone]) <= smallZoneHosts {
		return watchRole{smallZone: true}
	}
	var storeWatchers, watcherZones []string // the hosts that watch the store, each in a different large zone
	for _, h := range ranked {
		if len(storeWatchers) < watchersPerLevel && len(byZone[h.Zone]) > smallZoneHosts && !slices.Contains(watcherZones, h.Zone) {
			storeWatchers, watcherZones = append(storeWatchers, h.Name), append(watcherZones, h.Zone)
		}
	}
	zoneUpstreams := byZone[self.Zone][:watchersPerLevel]
	switch {
	case slices.Contains(storeWatchers, self.Name):
		return watchRole{}
	case slices.Contains(zoneUpstreams, self.Name):
		return watchRole{upstreams: storeWatchers, maxLevel: LevelStore}
	}
	return watchRole{upstreams: zoneUpstreams, maxLevel: levelZone}
}
