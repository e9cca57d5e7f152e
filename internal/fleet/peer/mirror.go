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

// In a large availability zone a few hosts watch the store, and the others
// follow them: the store bills each call, a waiting watch as one, so that its
// bill does not grow with the number of hosts. In a small zone each host watches
// by itself, which is the faster way to notice that a watch has fallen silent.

const (
	// watchers is the number of hosts that watch the store in a zone of more than
	// fewHosts.
	watchers = 2
	fewHosts = 4
	// followMargin is the time beyond its wait that a call to a watcher may take.
	followMargin = 700 * time.Millisecond
	// shunned is how long a watcher that failed is not asked.
	shunned = 3 * time.Second
	// keptChanges is the number of changes that a mirror keeps for followers that
	// were away; those that missed more read everything again.
	keptChanges = 1024
)

// Mirror holds the objects under one prefix as a host knows them, for other
// hosts to follow. Now is the host's clock. Silence is the time since the latest
// answer of the store after which the host is no source for others. It is safe
// for concurrent use.
type Mirror struct {
	Now     func() time.Duration
	Silence time.Duration

	mu       sync.Mutex
	objects  map[string]object.Object
	recent   []object.Object // changes after floor, in order
	floor    uint64
	revision uint64
	known    time.Duration
	heard    time.Duration // when the latest answer came
	live     bool          // fed by the store itself, and not failing
	changed  chan struct{}
}

// Learn takes in a change that came from the store, or from a watcher when
// direct is false.
func (m *Mirror) Learn(change object.Change, direct bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.live, m.known, m.heard = direct, change.Known, m.Now()
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
	if m.changed != nil && (change.Whole || len(change.Objects) > 0) {
		close(m.changed)
		m.changed = nil
	}
}

// Lost notes that the store or the watcher did not answer.
func (m *Mirror) Lost(error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.live = false
}

// followRequest asks a watcher for the changes after a revision, or for all
// objects when it is zero.
type followRequest struct {
	Prefix string        `cbor:"1,keyasint"`
	After  uint64        `cbor:"2,keyasint"`
	Wait   time.Duration `cbor:"3,keyasint"`
}

// followReply answers a followRequest. Live is false when the host asked does
// not watch the store itself now.
type followReply struct {
	Live      bool          `cbor:"1,keyasint"`
	Compacted bool          `cbor:"2,keyasint,omitempty"`
	Batch     object.Batch  `cbor:"3,keyasint"`
	Age       time.Duration `cbor:"4,keyasint"`
}

// serve waits for changes after the request's revision.
func (m *Mirror) serve(ctx context.Context, request followRequest) followReply {
	timer := time.NewTimer(request.Wait)
	defer timer.Stop()
	for {
		reply, changed := m.reply(request.After)
		if !reply.Live || reply.Compacted || request.After == 0 || len(reply.Batch.Objects) > 0 {
			return reply
		}
		select {
		case <-changed:
		case <-timer.C:
			reply, _ = m.reply(request.After) // with the age as of now
			return reply
		case <-ctx.Done():
			return reply
		}
	}
}

func (m *Mirror) reply(after uint64) (followReply, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	now := m.Now()
	reply := followReply{Live: m.live && now-m.heard < m.Silence, Age: now - m.known}
	reply.Batch.Revision = max(after, m.revision)
	switch {
	case !reply.Live:
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

// Source reads a prefix from a watcher of the host's zone, or from the store
// when the host is a watcher itself or none answers. It implements
// object.Reader; one goroutine uses it.
type Source struct {
	Direct    object.Reader // for a host that watches for itself
	Brief     object.Reader // for a watcher of others: its watches wait less than Mirror.Silence
	Directory *Directory
	Wait      time.Duration // of calls to watchers

	direct bool // where the latest answer came from
	shun   map[string]time.Time
}

// IsDirect says whether the latest answer came from the store.
func (s *Source) IsDirect() bool { return s.direct }

// errNoWatcher says that no watcher answers.
var errNoWatcher = errors.New("no watcher")

// Get implements object.Reader, always from the store.
func (s *Source) Get(ctx context.Context, key string) (object.Object, error) {
	return s.Direct.Get(ctx, key)
}

// List implements object.Reader.
func (s *Source) List(ctx context.Context, prefix string) (object.Batch, error) {
	batch, err := s.follow(ctx, followRequest{Prefix: prefix})
	if errors.Is(err, errNoWatcher) {
		s.direct = true
		return s.store().List(ctx, prefix)
	}
	return batch, err
}

// Watch implements object.Reader.
func (s *Source) Watch(ctx context.Context, prefix string, after uint64) (object.Batch, error) {
	batch, err := s.follow(ctx, followRequest{Prefix: prefix, After: after, Wait: s.Wait})
	if errors.Is(err, errNoWatcher) {
		s.direct = true
		return s.store().Watch(ctx, prefix, after)
	}
	return batch, err
}

// store returns the reader to use without a watcher.
func (s *Source) store() object.Reader {
	if s.Directory.watchersOf(s.Directory.Self.Zone) == nil {
		return s.Direct
	}
	return s.Brief
}

// follow asks the watchers of the zone in turn.
func (s *Source) follow(ctx context.Context, request followRequest) (object.Batch, error) {
	hosts := s.Directory.watchersOf(s.Directory.Self.Zone)
	if slices.Contains(hosts, s.Directory.Self.Name) {
		return object.Batch{}, errNoWatcher
	}
	for _, host := range hosts {
		if time.Now().Before(s.shun[host]) {
			continue
		}
		asking, cancel := context.WithTimeout(ctx, request.Wait+followMargin)
		reply, err := Call[followReply](asking, s.Directory, host, "follow", request)
		cancel()
		if err != nil || !reply.Live {
			if s.shun == nil {
				s.shun = map[string]time.Time{}
			}
			s.shun[host] = time.Now().Add(shunned)
			continue
		}
		s.direct = false
		if reply.Compacted {
			return object.Batch{}, &object.CompactedError{Prefix: request.Prefix}
		}
		reply.Batch.Age = reply.Age
		if len(reply.Batch.Objects) == 0 {
			reply.Batch.Held = request.Wait
		}
		return reply.Batch, nil
	}
	return object.Batch{}, errNoWatcher
}

// watchersOf returns the hosts of a zone that watch the store for the others,
// none in a small zone.
func (d *Directory) watchersOf(zone string) []string {
	var names []string
	for _, h := range d.Hosts() {
		if h.Zone == zone {
			names = append(names, h.Name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		if score("watch", a) > score("watch", b) {
			return -1
		}
		return 1
	})
	if len(names) <= fewHosts {
		return nil
	}
	return names[:watchers]
}
