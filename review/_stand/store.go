package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the platform's store, as PROTOCOL.md and the settings state them.
const (
	pageItems  = 500
	pageBytes  = 1 << 20
	valueBytes = 1 << 20
	maxWaitMS  = 30000
)

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type change struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// kindState holds the objects of one kind and the changes to it.
type kindState struct {
	objects map[string]*object
	names   []string // sorted
	history []change
	changed chan struct{}
}

// Store is a stand-in for the platform's object store. LoseAnswer, if set, is called for
// each write that was carried out; if it returns true, the caller gets no answer.
type Store struct {
	LoseAnswer func(method, kind, name string) bool
	Log        func(format string, args ...any)

	mu       sync.Mutex
	revision uint64
	kinds    map[string]*kindState
}

func newStore(log func(string, ...any)) *Store {
	return &Store{Log: log, kinds: map[string]*kindState{}, revision: 10}
}

func (s *Store) kind(name string) *kindState {
	k := s.kinds[name]
	if k == nil {
		k = &kindState{objects: map[string]*object{}, changed: make(chan struct{})}
		s.kinds[name] = k
	}
	return k
}

// put stores an object under the next revision. The caller holds the lock.
func (s *Store) put(k *kindState, name string, spec, status json.RawMessage) *object {
	s.revision++
	old := k.objects[name]
	o := &object{Metadata: metadata{Name: name, Revision: s.revision, Created: s.revision, Finalizers: []string{}}, Spec: spec, Status: status}
	if old != nil {
		o.Metadata.Created = old.Metadata.Created
	} else {
		at := sort.SearchStrings(k.names, name)
		k.names = append(k.names, "")
		copy(k.names[at+1:], k.names[at:])
		k.names[at] = name
	}
	k.objects[name] = o
	s.note(k, change{*o, false})
	return o
}

func (s *Store) note(k *kindState, c change) {
	k.history = append(k.history, c)
	close(k.changed)
	k.changed = make(chan struct{})
}

func (s *Store) remove(k *kindState, name string) {
	o := k.objects[name]
	if o == nil {
		return
	}
	s.revision++
	delete(k.objects, name)
	at := sort.SearchStrings(k.names, name)
	k.names = append(k.names[:at], k.names[at+1:]...)
	gone := *o
	gone.Metadata.Revision = s.revision
	s.note(k, change{gone, true})
}

// Set writes an object as the operator, a trainer or a server does.
func (s *Store) Set(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(s.kind(kind), name, raw, nil)
}

// Remove removes an object as a server's expiry does.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(s.kind(kind), name)
}

// Get returns the spec of an object.
func (s *Store) Get(kind, name string) (json.RawMessage, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kind(kind).objects[name]
	if o == nil {
		return nil, false
	}
	return o.Spec, true
}

// Count returns the number of objects of a kind.
func (s *Store) Count(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.kind(kind).objects)
}

func reply(w http.ResponseWriter, status int, value any) {
	raw, _ := json.Marshal(value)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	if r.Method == http.MethodGet {
		s.read(w, r, kind, name)
		return
	}
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(4 * time.Millisecond) // "4 ms an answer"
	status, value, written := s.write(r, kind, name, raw)
	if s.LoseAnswer != nil {
		var body object
		_ = json.Unmarshal(raw, &body)
		if s.LoseAnswer(r.Method, kind, body.Metadata.Name) {
			s.Log("store: %s %s/%s done (status %d), answer lost", r.Method, kind, body.Metadata.Name, status)
			<-r.Context().Done() // the connection returns nothing further
			panic(http.ErrAbortHandler)
		}
	}
	_ = written
	reply(w, status, value)
}

func (s *Store) write(r *http.Request, kind, name string, raw []byte) (int, any, bool) {
	var body object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.Unmarshal(raw, &body); err != nil {
			return http.StatusBadRequest, nil, false
		}
		if len(body.Spec) > valueBytes {
			return http.StatusRequestEntityTooLarge, nil, false
		}
	}
	name, isStatus := strings.CutSuffix(name, "/status")
	if r.Method == http.MethodPost {
		name = body.Metadata.Name
	}
	want := body.Metadata.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		want, _ = strconv.ParseUint(q, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kind(kind)
	have := k.objects[name]
	switch {
	case r.Method == http.MethodPost && have != nil:
		return http.StatusConflict, have, false
	case r.Method != http.MethodPost && have == nil:
		return http.StatusNotFound, nil, false
	case have != nil && want > 0 && want != have.Metadata.Revision:
		return http.StatusConflict, have, false
	case r.Method == http.MethodDelete:
		s.remove(k, name)
		return http.StatusOK, have, true
	case isStatus:
		return http.StatusOK, s.put(k, name, have.Spec, body.Status), true
	}
	var status json.RawMessage
	if have != nil {
		status = have.Status
	}
	code := http.StatusOK
	if r.Method == http.MethodPost {
		code = http.StatusCreated
	}
	return code, s.put(k, name, body.Spec, status), true
}

type listReply struct {
	Items      []object `json:"items"`
	More       bool     `json:"has_more"`
	CurrentRev uint64   `json:"current_rev"`
}

type watchReply struct {
	Events     []change `json:"events"`
	CurrentRev uint64   `json:"current_rev"`
}

func (s *Store) read(w http.ResponseWriter, r *http.Request, kind, name string) {
	query := r.URL.Query()
	if since := query.Get("watch"); since != "" {
		s.watch(w, r, kind, since, query.Get("wait_ms"))
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	k := s.kind(kind)
	if name != "" {
		o := k.objects[name]
		s.mu.Unlock()
		if o == nil {
			reply(w, http.StatusNotFound, nil)
			return
		}
		reply(w, http.StatusOK, o)
		return
	}
	list := listReply{CurrentRev: s.revision, Items: []object{}}
	after := query.Get("after")
	from := 0
	if after != "" {
		from = sort.SearchStrings(k.names, after)
		if from < len(k.names) && k.names[from] == after {
			from++
		}
	}
	size := 0
	for ; from < len(k.names); from++ {
		o := k.objects[k.names[from]]
		if len(list.Items) > 0 && (len(list.Items) >= pageItems || size+len(o.Spec) > pageBytes) {
			list.More = true
			break
		}
		size += len(o.Spec)
		list.Items = append(list.Items, *o)
	}
	s.mu.Unlock()
	reply(w, http.StatusOK, list)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind, since, waitMS string) {
	after, err := strconv.ParseUint(since, 10, 64)
	if err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	wait, _ := strconv.Atoi(waitMS)
	timer := time.NewTimer(time.Duration(min(wait, maxWaitMS)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		k := s.kind(kind)
		result := watchReply{CurrentRev: s.revision, Events: []change{}}
		for i := len(k.history) - 1; i >= 0 && k.history[i].Object.Metadata.Revision > after; i-- {
			result.Events = append(result.Events, k.history[i])
		}
		changed := k.changed
		s.mu.Unlock()
		for i, j := 0, len(result.Events)-1; i < j; i, j = i+1, j-1 {
			result.Events[i], result.Events[j] = result.Events[j], result.Events[i]
		}
		if len(result.Events) > 0 {
			reply(w, http.StatusOK, result)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, result)
			return
		case <-r.Context().Done():
			return
		}
	}
}
