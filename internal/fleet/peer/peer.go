// Package peer lets the hosts of a site find and call each other. Each host
// writes one object with its address to the platform's store at its start. There is no
// heartbeat, since calls show which hosts answer; the objects of hosts that are gone are removed
// (Pruner). The package also relays a host's calls to
// the store through other hosts (Relay), and distributes the objects of the store from host
// to host (Mirror, Source).
package peer

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
)

// KeyPrefix is the prefix of the keys of the hosts' objects in the platform's store.
const KeyPrefix = "hyssopwall-hosts/"

// The times of Directory.Register.
const (
	registerTimeout = 2 * time.Second        // of one attempt: one or two calls, which the store answers within milliseconds
	registerRetry   = 300 * time.Millisecond // after a failed attempt
)

// Host is the value of a host's object. Incarnation changes at each start.
type Host struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
}

// Check returns a *HostError if the name or the address is empty.
func (h Host) Check() error {
	if h.Name == "" || h.Address == "" {
		return &HostError{Name: h.Name, Reason: "lacks a name or an address"}
	}
	return nil
}

// HostError reports why a host's object can't be used.
type HostError struct {
	Name   string
	Reason string
}

func (e *HostError) Error() string { return fmt.Sprintf("host %q %s", e.Name, e.Reason) }

// Directory holds the hosts of the site that this host knows. Self must be set; HTTP is
// the client for calls to other hosts, nil for the shared client of package rest. It is
// safe for concurrent use.
type Directory struct {
	Self Host
	HTTP *http.Client
	// MayRelay reports whether the host's calls to the store may go through another host; nil
	// means that they may.
	MayRelay func(Host) bool

	answeredAt atomic.Pointer[time.Time] // see LastAnswer; nil for never

	mu         sync.Mutex
	hosts      map[string]Host
	versions   map[string]uint64 // of the objects of hosts
	sorted     []Host            // all hosts, this one included, by name; nil after a change
	changes    uint64            // number of changes of hosts
	cachedRole *watchRole        // nil before its first use and after a change
	contacts   map[string]*contact
	flips      uint64        // number of hosts that became silent or answered again
	answered   time.Time     // of the latest call that was answered
	registered uint64        // version of this host's object, zero before it is written
	absent     chan struct{} // holds a value if the object was found missing; see KeepRegistered
}

// KeepRegistered writes this host's object, and again if another host has removed it, until the
// context ends.
func (d *Directory) KeepRegistered(ctx context.Context, store object.Store) {
	d.mu.Lock()
	if d.absent == nil {
		d.absent = make(chan struct{}, 1)
	}
	absent := d.absent
	d.mu.Unlock()
	for {
		d.Register(ctx, store)
		select {
		case <-ctx.Done():
			return
		case <-absent:
		}
	}
}

// Register writes this host's object and retries until a write succeeds or the context
// ends.
func (d *Directory) Register(ctx context.Context, store object.Store) {
	value, err := json.Marshal(d.Self)
	if err != nil { // a struct of plain fields always encodes
		panic("peer: encode the object of this host: " + err.Error())
	}
	for ctx.Err() == nil && !d.tryRegister(ctx, store, value) {
		select {
		case <-ctx.Done():
		case <-time.After(registerRetry):
		}
	}
}

// tryRegister creates the object, or replaces that of an earlier process of this host.
// It reports whether the write succeeded.
func (d *Directory) tryRegister(ctx context.Context, store object.Store, value []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	key := KeyPrefix + d.Self.Name
	stored, err := store.Put(ctx, key, value, 0)
	if conflict, ok := errors.AsType[*object.ConflictError](err); ok {
		stored, err = store.Put(ctx, key, value, conflict.Have)
	}
	if err != nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registered = stored.Version
	return true
}

// Unregister removes this host's object at the end of a planned stop, unless a new process has
// replaced it. If it fails, other hosts find out that this one is gone (see Pruner).
func (d *Directory) Unregister(ctx context.Context, store object.Store) {
	d.mu.Lock()
	version := d.registered
	d.registered = 0
	d.mu.Unlock()
	if version > 0 {
		_ = store.Delete(ctx, KeyPrefix+d.Self.Name, version) // see above
	}
}

// noteMissing wakes KeepRegistered if a change shows that this host's object is gone. A list or
// an event from before the object was written shows nothing. The caller holds the lock.
func (d *Directory) noteMissing(change object.Change) {
	if d.registered == 0 || d.absent == nil || change.Revision <= d.registered {
		return
	}
	gone := change.Complete
	for _, o := range change.Objects {
		if o.Key == KeyPrefix+d.Self.Name {
			gone = o.Deleted && o.Version > d.registered
		}
	}
	if !gone {
		return
	}
	d.registered = 0
	select {
	case d.absent <- struct{}{}:
	default: // KeepRegistered writes it anyway
	}
}

// ApplyChange applies a change of the hosts' objects. It leaves out objects that can't be
// decoded or fail Host.Check, and returns an error for each of them. Unless the change is
// complete, their hosts stay as they were known before.
func (d *Directory) ApplyChange(change object.Change) []error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changes++
	d.cachedRole, d.sorted = nil, nil
	d.noteMissing(change)
	if change.Complete || d.hosts == nil {
		d.hosts, d.versions = map[string]Host{}, map[string]uint64{}
		defer d.dropContacts()
	}
	var invalid []error
	for _, o := range change.Objects {
		name := o.Key[len(KeyPrefix):]
		if o.Deleted {
			delete(d.hosts, name)
			delete(d.contacts, name)
			continue
		}
		var host Host
		err := json.Unmarshal(o.Value, &host)
		if err == nil {
			err = host.Check()
		}
		if err != nil {
			invalid = append(invalid, err)
			continue
		}
		if d.hosts[name].Incarnation != host.Incarnation {
			delete(d.contacts, name) // they are those of an earlier process
		}
		d.hosts[name], d.versions[name] = host, o.Version
	}
	return invalid
}

// dropContacts drops what calls have shown of hosts that are not listed. The caller holds the lock.
func (d *Directory) dropContacts() {
	for name := range d.contacts {
		if _, listed := d.hosts[name]; !listed {
			delete(d.contacts, name)
		}
	}
}

// Hosts returns the known hosts, this one included, ordered by name.
func (d *Directory) Hosts() []Host { return slices.Clone(d.byName()) }

// byName is Hosts without a copy: the result must not be changed. It is built once after each
// change, since ranks of a large site are computed many times a second.
func (d *Directory) byName() []Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sorted == nil {
		d.sorted = append(d.sorted, d.Self)
		for _, h := range d.hosts {
			if h.Name != d.Self.Name {
				d.sorted = append(d.sorted, h)
			}
		}
		slices.SortFunc(d.sorted, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	}
	return d.sorted
}

// Find returns a host by its name.
func (d *Directory) Find(name string) (Host, bool) {
	if name == d.Self.Name {
		return d.Self, true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	h, ok := d.hosts[name]
	return h, ok
}

// Rank returns the position of this host, from 0, in the order of the known hosts by
// rendezvous hashing of the key. The hosts in without are not counted.
func (d *Directory) Rank(key string, without ...string) int {
	own := score(key, d.Self.Name)
	rank := 0
	for _, h := range d.byName() {
		if h.Name != d.Self.Name && !slices.Contains(without, h.Name) && score(key, h.Name) > own {
			rank++
		}
	}
	return rank
}

// RankAmong returns the position of this host, from 0, among the named hosts in the order of
// Rank, and false if it is not one of them.
func (d *Directory) RankAmong(key string, names []string) (int, bool) {
	own, rank, found := score(key, d.Self.Name), 0, false
	for _, name := range names {
		switch {
		case name == d.Self.Name:
			found = true
		case score(key, name) > own:
			rank++
		}
	}
	return rank, found
}

// First returns the names of the first count hosts in the order of Rank. This host may be
// among them.
func (d *Directory) First(key string, count int) []string {
	var names []string
	for _, h := range d.Ranked(key) {
		if len(names) < count {
			names = append(names, h.Name)
		}
	}
	return names
}

// Ranked returns all hosts in the order of Rank.
func (d *Directory) Ranked(key string) []Host {
	hosts := d.Hosts()
	scores := make(map[string]uint64, len(hosts))
	for _, h := range hosts {
		scores[h.Name] = score(key, h.Name)
	}
	slices.SortFunc(hosts, func(a, b Host) int { return cmp.Compare(scores[b.Name], scores[a.Name]) })
	return hosts
}

// score returns the weight of a host for a key. A higher score ranks first.
func score(key, host string) uint64 { return xxhash.Sum64String(key + "\x00" + host) }

// UnreachableError reports that a call to a host failed.
type UnreachableError struct {
	Host string
	Err  error
}

func (e *UnreachableError) Error() string { return "host " + e.Host + " unreachable: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// Call calls a method of another host. Every error is an *UnreachableError.
func Call[Res, Req any](ctx context.Context, d *Directory, host, method string, request Req) (Res, error) {
	var answer Res
	to, ok := d.Find(host)
	if !ok {
		return answer, &UnreachableError{Host: host, Err: errors.New("not in the directory")}
	}
	body, err := cbor.Marshal(request)
	if err != nil {
		return answer, &UnreachableError{Host: host, Err: err}
	}
	caller := rest.Caller{Base: "http://" + to.Address, Source: d.Self.Name, HTTP: d.HTTP, CloseIdle: d.closeIdle}
	raw, err := caller.Do(ctx, rest.Call{Method: http.MethodPost, Path: "/" + method, Body: body})
	if err == nil {
		err = cbor.Unmarshal(raw, &answer)
	}
	now := time.Now()
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) { // else it shows nothing
			d.recordCall(host, now, false)
		}
		return answer, &UnreachableError{Host: host, Err: err}
	}
	d.recordCall(host, now, true)
	d.answeredAt.Store(&now)
	return answer, nil
}

// LastAnswer returns the time at which another host last answered a call, the zero time if
// none has.
func (d *Directory) LastAnswer() time.Time {
	if at := d.answeredAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// closeIdle closes the idle connections to other hosts.
func (d *Directory) closeIdle() {
	if d.HTTP != nil {
		d.HTTP.CloseIdleConnections()
	}
}

// MaxMessage is the largest body of a request in bytes: a value of the store and its
// encoding.
const MaxMessage = object.MaxValue + 1<<16

// Handle registers the handler of a method on a mux.
func Handle[Req, Res any](mux *http.ServeMux, method string, serve func(context.Context, Req) Res) {
	mux.HandleFunc("POST /"+method, func(w http.ResponseWriter, r *http.Request) {
		var request Req
		if err := cbor.NewDecoder(http.MaxBytesReader(w, r.Body, MaxMessage)).Decode(&request); err != nil {
			http.Error(w, "message: "+err.Error(), http.StatusBadRequest)
			return
		}
		body, err := cbor.Marshal(serve(r.Context(), request))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(body) // the caller detects a truncated answer by its length
	})
}
