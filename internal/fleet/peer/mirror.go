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

// At a large site a few hosts watch the store, a few of each availability zone
// follow these, and the other hosts follow those of their zone: the store bills
// each call, a waiting watch as one, so that its bill grows neither with the
// hosts nor with the zones. In a small zone each host watches by itself, which is
// the faster way to notice that a watch has fallen silent.

const (
	// watchers is the number of hosts that watch the store for a site, each of
	// another zone, and of those that follow them for a zone.
	watchers = 2
	// fewHosts is the size up to which the hosts of a zone watch by themselves.
	fewHosts = 4
	// followMargin is the time beyond its wait that a call to a watcher may take.
	// Two silent ones in a row have to fit into the 2 s in which news is to arrive.
	followMargin = 450 * time.Millisecond
	// firstPatience is how long a host that starts waits for those that it follows
	// before it reads the store itself, and firstRetry its pace: about the spread
	// of the starts of hosts.
	firstPatience = 400 * time.Millisecond
	firstRetry    = 40 * time.Millisecond
	// shunned is how long a watcher that failed is not asked.
	shunned = 3 * time.Second
	// keptChanges is the number of changes that a mirror keeps for followers that
	// were away; those that missed more read everything again.
	keptChanges = 1024
)

// Levels say how far from the store a host's news is. Hosts follow lower levels
// only, so that no two follow each other.
const (
	levelNone  = iota // no news
	LevelStore        // from the store itself
	levelZone         // from a host that watches the store
	levelLeaf         // from a host that follows such a one; nobody follows it
)

// Mirror holds the objects under one prefix as a host knows them, for other
// hosts to follow. Now is the host's clock. MaxUpdateAge is the time since the latest
// answer of the store after which the host is no source for others. It is safe
// for concurrent use.
type Mirror struct {
	Now          func() time.Duration
	MaxUpdateAge time.Duration

	mu       sync.Mutex
	objects  map[string]object.Object
	recent   []object.Object // changes after floor, in order
	floor    uint64
	revision uint64
	known    time.Duration
	heard    time.Duration // when the latest answer came
	level    int           // of the latest news, levelNone while it fails
	changed  chan struct{} // closed by news, also by that of no change
}

// ApplyChange takes in a change, and the level from which it came.
func (m *Mirror) ApplyChange(change object.Change, level int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.level, m.known, m.heard = level, change.Known, m.Now()
	m.revision = max(m.revision, change.Revision)
	if change.Whole || m.objects == nil {
		m.objects, m.recent, m.floor = map[string]object.Object{}, nil, change.Revision
	}
	for _, o := range change.Objects {
		if o.Deleted {
			delete(m.objects, o.Key)
		} else {
			m.objects[o.Key] = o
		}
		if !change.Whole {
			m.recent = append(m.recent, o)
		}
	}
	if over := len(m.recent) - keptChanges; over > 0 {
		m.floor = m.recent[over-1].Version
		m.recent = slices.Clone(m.recent[over:])
	}
	m.wake()
}

// wake lets those that wait look again; the caller holds the lock.
func (m *Mirror) wake() {
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

// MarkUnreachable notes that the store or the watcher did not answer.
func (m *Mirror) MarkUnreachable() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.level = levelNone
	m.wake()
}

// followRequest asks a watcher for the changes after a revision, or for all
// objects when it is zero.
type followRequest struct {
	Prefix string        `cbor:"1,keyasint"`
	After  uint64        `cbor:"2,keyasint"`
	Wait   time.Duration `cbor:"3,keyasint"`
}

// followReply answers a followRequest. Level is that of the host asked, levelNone
// when it has no news to follow. Held is for how long it has waited with the
// answer, Age that of the news then.
type followReply struct {
	Level     int           `cbor:"1,keyasint"`
	Compacted bool          `cbor:"2,keyasint,omitempty"`
	Batch     object.Batch  `cbor:"3,keyasint"`
	Age       time.Duration `cbor:"4,keyasint"`
	Held      time.Duration `cbor:"5,keyasint,omitempty"`
}

// serve waits for news after the request's revision: changes, or the proof that
// there are none.
func (m *Mirror) serve(ctx context.Context, request followRequest) followReply {
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

func (m *Mirror) reply(after uint64) (followReply, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	now := m.Now()
	reply := followReply{Level: m.level, Age: now - m.known}
	if now-m.heard >= m.MaxUpdateAge || m.level >= levelLeaf {
		reply.Level = levelNone
	}
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

// ServeMirrors lets other hosts follow the mirrors, by prefix.
func ServeMirrors(mux *http.ServeMux, mirrors map[string]*Mirror) {
	Handle(mux, "follow", func(ctx context.Context, request followRequest) followReply {
		mirror := mirrors[request.Prefix]
		if mirror == nil {
			return followReply{}
		}
		return mirror.serve(ctx, request)
	})
}

// Source reads a prefix from the host that this one follows, or from the store
// when it follows none or none answers. It implements object.Reader; one
// goroutine uses it.
type Source struct {
	Direct    object.Reader // for a host that watches for itself
	ShortWait object.Reader // for a host that others follow: its watches wait less than Mirror.MaxUpdateAge
	Directory *Directory
	Wait      time.Duration // of calls to other hosts

	level int // of the latest answer
	shun  map[string]time.Time
}

// Level returns how far from the store the latest answer was.
func (s *Source) Level() int { return s.level }

// errNoWatcher says that no host to follow answers.
var errNoWatcher = errors.New("no watcher")

// Get implements object.Reader, always from the store.
func (s *Source) Get(ctx context.Context, key string) (object.Object, error) {
	return s.Direct.Get(ctx, key)
}

// List implements object.Reader.
func (s *Source) List(ctx context.Context, prefix string) (object.Batch, error) {
	request := followRequest{Prefix: prefix}
	batch, err := s.follow(ctx, request)
	for began := time.Now(); errors.Is(err, errNoWatcher) && s.waitsFirst(began); {
		time.Sleep(firstRetry)
		clear(s.shun)
		batch, err = s.follow(ctx, request)
	}
	if errors.Is(err, errNoWatcher) {
		return s.store().List(ctx, prefix)
	}
	return batch, err
}

// waitsFirst says whether a host that just started waits for those that it
// follows: after an outage of a whole site all of them start at once.
func (s *Source) waitsFirst(began time.Time) bool {
	return s.level == levelNone && len(s.Directory.place().upstreams) > 0 && time.Since(began) < firstPatience
}

// Watch implements object.Reader.
func (s *Source) Watch(ctx context.Context, prefix string, after uint64) (object.Batch, error) {
	batch, err := s.follow(ctx, followRequest{Prefix: prefix, After: after, Wait: s.Wait})
	if errors.Is(err, errNoWatcher) {
		return s.store().Watch(ctx, prefix, after)
	}
	return batch, err
}

// store returns the reader to use without another host.
func (s *Source) store() object.Reader {
	s.level = LevelStore
	if s.Directory.place().small {
		return s.Direct
	}
	return s.ShortWait
}

// follow asks the hosts to follow in turn.
func (s *Source) follow(ctx context.Context, request followRequest) (object.Batch, error) {
	place := s.Directory.place()
	for _, host := range place.upstreams {
		if time.Now().Before(s.shun[host]) {
			continue
		}
		asking, cancel := context.WithTimeout(ctx, request.Wait+followMargin)
		reply, err := Call[followReply](asking, s.Directory, host, "follow", request)
		cancel()
		if err != nil || reply.Level == levelNone || reply.Level > place.highest {
			if s.shun == nil {
				s.shun = map[string]time.Time{}
			}
			s.shun[host] = time.Now().Add(shunned)
			continue
		}
		s.level = reply.Level + 1
		if reply.Compacted {
			return object.Batch{}, &object.CompactedError{Prefix: request.Prefix}
		}
		reply.Batch.Age, reply.Batch.Held = reply.Age, reply.Held
		return reply.Batch, nil
	}
	return object.Batch{}, errNoWatcher
}

// place is the part of a host in the spreading of news.
type place struct {
	small     bool     // the zone's hosts watch by themselves
	upstreams []string // the hosts that this one follows, none when it watches the store
	highest   int      // level of theirs that it takes
}

// place returns the part of this host among those that are known.
func (d *Directory) place() place {
	d.mu.Lock()
	known, change := d.placed, d.change
	d.mu.Unlock()
	if known != nil {
		return *known
	}
	found := placeOf(d.Self, d.ranked("watch"))
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.change == change {
		d.placed = &found
	}
	return found
}

// WatchesStore says whether this host watches the store for itself or for others.
func (d *Directory) WatchesStore() bool { return len(d.place().upstreams) == 0 }

// placeOf returns the part of a host. Ranked are all hosts in their rank.
func placeOf(self Host, ranked []Host) place {
	byZone := map[string][]string{}
	for _, h := range ranked {
		byZone[h.Zone] = append(byZone[h.Zone], h.Name)
	}
	if len(byZone[self.Zone]) <= fewHosts {
		return place{small: true}
	}
	var site, zones []string // those that watch the store, each of another large zone
	for _, h := range ranked {
		if len(site) < watchers && len(byZone[h.Zone]) > fewHosts && !slices.Contains(zones, h.Zone) {
			site, zones = append(site, h.Name), append(zones, h.Zone)
		}
	}
	zone := byZone[self.Zone][:watchers]
	switch {
	case slices.Contains(site, self.Name):
		return place{}
	case slices.Contains(zone, self.Name):
		return place{upstreams: site, highest: LevelStore}
	}
	return place{upstreams: zone, highest: levelZone}
}
