package batch

import (
	"context"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/entry/forward"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
	"github.com/hyssopwall/hyssopwall/internal/site/meter"
)

// Stream is a generation in progress. Next returns io.EOF after the last event
// of a whole text; any earlier end is an error. Close stops the generation.
type Stream interface {
	Next() (Event, error)
	Close()
}

// Event is one event of a generation. Number counts from 1 over all runs of an
// item. Version is that of the weights, zero when it did not change.
type Event struct {
	Number  int
	Text    string
	Version uint64
}

// Engine starts generations. Errors are those of package forward, or a
// *FailedRunError for a run that the engine itself ended.
type Engine interface {
	Generate(ctx context.Context, server pool.Server, request forward.Request) (Stream, error)
}

// FailedRunError says that an engine failed a run. Final says that no engine
// can ever do it.
type FailedRunError struct {
	Permanent bool
}

func (e *FailedRunError) Error() string { return "engine failed the run" }

// ScorerClient calls scorers. The score is empty for an answer that gives none.
type ScorerClient interface {
	Score(ctx context.Context, scorer Scorer) (score string, err error)
}

// FailedScoreError says that a scorer answered with a failure, Fails times in
// all, out of Most.
type FailedScoreError struct {
	Failures, MaxAttempts int
}

func (e *FailedScoreError) Error() string { return "scorer failed" }

// Peers calls the same book on another host.
type Peers interface {
	Rank(key string, without ...string) int
	Read(ctx context.Context, host string, request ReadRequest) (ReadReply, error)
	Body(ctx context.Context, host string, request BodyRequest) (BodyReply, error)
	End(ctx context.Context, host, id string) error
	Partials(ctx context.Context, host string, request PartialsRequest) (PartialsReply, error)
	Ping(ctx context.Context, host string) (HostStatus, error)
	// First returns the first hosts in the order of Rank.
	First(key string, count int) []string
	Start(ctx context.Context, host string, request StartRequest) error
}

// HostStatus is what a host says of itself. Healthy says that it reaches the store,
// Open that it takes new batches as well.
type HostStatus struct {
	Incarnation uint64
	Healthy     bool
	Open        bool
}

// StartRequest tells a host that it owns a batch that was just accepted.
type StartRequest struct {
	Batch   Batch  `cbor:"1,keyasint"`
	Record  Record `cbor:"2,keyasint"`
	Version uint64 `cbor:"3,keyasint"` // of the record
}

// ReadRequest asks the owner for results.
type ReadRequest struct {
	ID    string        `cbor:"1,keyasint"`
	After int           `cbor:"2,keyasint"`
	Wait  time.Duration `cbor:"3,keyasint"`
	// FromStore asks for what the store holds when the host does not run the batch.
	FromStore bool `cbor:"4,keyasint,omitempty"`
}

// ReadReply answers a ReadRequest. Owned is false when the host asked does not
// run the batch.
type ReadReply struct {
	Owned bool `cbor:"1,keyasint"`
	Page  Page `cbor:"2,keyasint"`
}

// BodyRequest asks the owner for the body of an item that is not listed yet.
type BodyRequest struct {
	ID   string `cbor:"1,keyasint"`
	Item string `cbor:"2,keyasint"`
}

// BodyReply answers a BodyRequest.
type BodyReply struct {
	Owned bool   `cbor:"1,keyasint"`
	Found bool   `cbor:"2,keyasint"`
	Body  []byte `cbor:"3,keyasint,omitempty"`
}

// PartialsRequest asks a host for what it has of items that a later batch of
// the same workspace and route holds again, and to run them no more. Batch is that
// later one, empty when the batch of the host asked was itself taken over.
type PartialsRequest struct {
	Batch     string   `cbor:"1,keyasint"`
	Workspace string   `cbor:"2,keyasint"`
	Route     string   `cbor:"3,keyasint"`
	Items     []string `cbor:"4,keyasint"`
}

// PartialsReply answers a PartialsRequest, by item.
type PartialsReply struct {
	Partials map[string]Partial `cbor:"1,keyasint,omitempty"`
}

// Batches holds what a host knows of batches. Set the exported fields, then call
// Run. It is safe for concurrent use.
type Batches struct {
	Host         string
	Incarnation  uint64
	Store        object.Store
	Peers        Peers
	Pool         *pool.Pool
	Engine       Engine
	ScorerClient ScorerClient
	// StoreReachable says whether the store answered lately.
	StoreReachable func() bool
	Log            event.Log
	Meter          *meter.Meter // may be nil

	mu          sync.Mutex
	ctx         context.Context
	known       map[string]known
	workers     map[string]*worker
	logs        map[string][]Result // of batches that others run or ran, as read
	chunks      map[string]int      // objects read of those
	logComplete map[string]bool     // whether those of an ended batch can't grow any more
	partials    map[string]Partial  // of items whose batches have ended, by item
	draining    bool
	group       sync.WaitGroup
}

// known is a record with its version in the store.
type known struct {
	Record
	version uint64
}

// Run workers until the context ends.
func (b *Batches) Run(ctx context.Context) {
	b.mu.Lock()
	b.ctx = ctx
	b.mu.Unlock()
	b.watchOwners(ctx)
	b.group.Wait()
}

// fill makes the zero value usable; the caller holds the lock.
func (b *Batches) initMaps() {
	if b.known == nil {
		b.known = map[string]known{}
		b.workers = map[string]*worker{}
		b.logs = map[string][]Result{}
		b.chunks = map[string]int{}
		b.logComplete = map[string]bool{}
		b.partials = map[string]Partial{}
	}
}

func (b *Batches) storage() storage { return storage{b.Store} }

// ApplyChange takes in a change of the records.
func (b *Batches) ApplyChange(change object.Change) {
	for _, o := range change.Objects {
		id := o.Key[len(RecordPrefix):]
		if o.Deleted {
			b.remove(id)
			continue
		}
		record, err := decode[Record](o.Value)
		if err != nil {
			b.Log.Emit(event.BatchUnreadable, "batch", id, "err", err.Error())
			continue
		}
		b.applyRecord(id, record, o.Version)
	}
}

// learn takes in a record unless a newer one is known, and stops the batch's
// worker here when it has ended or belongs to another.
func (b *Batches) applyRecord(id string, record Record, version uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initMaps()
	if b.known[id].version >= version {
		return
	}
	b.known[id] = known{record, version}
	w := b.workers[id]
	if w == nil || !record.Ended && record.Owner == b.Host && record.Incarnation == b.Incarnation {
		return
	}
	if !record.Ended && record.Epoch < w.epoch {
		return
	}
	delete(b.workers, id)
	w.cancel()
	if record.Ended {
		b.retainResults(id, w)
	}
	b.Log.Emit(event.BatchDropped, "batch", id, "ended", record.Ended, "owner", record.Owner, "epoch", record.Epoch)
}

// retire keeps the results of an ended batch for readers of other hosts, so
// that they need not be read from the store, which bills each call.
func (b *Batches) retainResults(id string, w *worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b.logs[id], b.chunks[id], b.logComplete[id] = w.published, w.chunks, !w.writing
	time.AfterFunc(endedRetention, func() { b.dropResults(id) })
}

// endedRetention is how long the results of an ended batch stay in memory; callers
// may read them for two minutes after the batch was submitted.
const endedRetention = 2 * time.Minute

// release frees the results of a batch that others may still read from the
// store.
func (b *Batches) dropResults(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.logs, id)
	delete(b.chunks, id)
	delete(b.logComplete, id)
}

func (b *Batches) remove(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.known, id)
	delete(b.logs, id)
	delete(b.chunks, id)
	delete(b.logComplete, id)
}

func (b *Batches) worker(id string) *worker {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.workers[id]
}

func (b *Batches) lookup(id string) (known, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k, ok := b.known[id]
	return k, ok
}

// RunningCount returns the number of batches that run here.
func (b *Batches) RunningCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.workers)
}
