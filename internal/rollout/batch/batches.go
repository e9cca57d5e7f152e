package batch

import (
	"context"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/backend/silence"
	"github.com/hyssopwall/hyssopwall/internal/entry/forward"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
	"github.com/hyssopwall/hyssopwall/internal/site/meter"
)

// Stream is a generation in progress. Next returns io.EOF after the last event
// of a complete text; any earlier end is an error. Close stops the generation.
type Stream interface {
	Next() (Event, error)
	Close()
}

// Event is one event of a generation. Number counts the events of an item from 1, over
// all its runs; it is zero for the start of a stream, which has no text. Version is the
// weights version that generates this event and the following ones, or zero if it has not
// changed. WorkTime is that of pool.Load, in the start of a stream only.
type Event struct {
	Number   int
	Text     string
	Version  uint64
	WorkTime int
}

// Engine starts generations on engines. Its errors are those of package forward, or
// a *FailedRunError when the engine itself reports the run as failed.
type Engine interface {
	Generate(ctx context.Context, server pool.Server, request forward.Request) (Stream, error)
}

// FailedRunError is returned when an engine reports that a run failed. Permanent
// means that no engine can ever run the request.
type FailedRunError struct {
	Permanent bool
}

func (e *FailedRunError) Error() string { return "engine failed the run" }

// ScorerClient calls scorers. The score is empty if the answer contains none.
type ScorerClient interface {
	Score(ctx context.Context, scorer Scorer) (score string, err error)
}

// FailedScoreError is returned when a scorer answers with a failure. Failures is the
// number of failed calls, MaxAttempts the number that the scorer's route allows.
type FailedScoreError struct {
	Failures, MaxAttempts int
}

func (e *FailedScoreError) Error() string { return "scorer failed" }

// Peers ranks the hosts of the site and calls Batches on the other ones.
type Peers interface {
	// Rank returns the position of this host, from 0, in an order of the site's hosts that
	// depends on the key alone. Hosts in without are left out.
	Rank(key string, without ...string) int
	// Ranked returns all hosts of the site, this one included, in the order of Rank.
	Ranked(key string) []RankedHost
	// RankRevision returns a number that differs from an earlier one if Ranked may have changed.
	RankRevision() uint64
	// Read calls ServeRead on a host.
	Read(ctx context.Context, host string, request ReadRequest) (ReadReply, error)
	// Body calls ServeBody on a host.
	Body(ctx context.Context, host string, request BodyRequest) (BodyReply, error)
	// End calls ServeEnd on a host.
	End(ctx context.Context, host, id string) error
	// Partials calls ServePartials on a host.
	Partials(ctx context.Context, host string, request PartialsRequest) (PartialsReply, error)
	// Ping asks a host for its status.
	Ping(ctx context.Context, host string) (HostStatus, error)
	// First returns the first count hosts in the order of Rank.
	First(key string, count int) []string
	// Start calls ServeStart on a host.
	Start(ctx context.Context, host string, request StartRequest) error
	// Copy calls ServeCopy on a host.
	Copy(ctx context.Context, host string, request CopyRequest) (CopyReply, error)
}

// HostStatus is a host's answer to a ping. Healthy reports whether the host reaches
// the store, Open whether it also accepts new batches.
type HostStatus struct {
	Incarnation uint64
	Healthy     bool
	Open        bool
}

// StartRequest tells a host that it owns a newly accepted batch.
type StartRequest struct {
	Batch   Batch  `cbor:"1,keyasint"`
	Record  Record `cbor:"2,keyasint"`
	Version uint64 `cbor:"3,keyasint"` // of the record
}

// ReadRequest asks a host for the results of a batch from position After on. The host
// waits up to Wait for the first of them.
type ReadRequest struct {
	ID    string        `cbor:"1,keyasint"`
	After int           `cbor:"2,keyasint"`
	Wait  time.Duration `cbor:"3,keyasint"`
	// FromStore makes a host that does not run the batch read the results from the store.
	FromStore bool `cbor:"4,keyasint,omitempty"`
}

// ReadReply answers a ReadRequest. Owned is false if the host has nothing to answer
// with: it neither runs the batch nor has the results in memory or from the store.
type ReadReply struct {
	Owned bool `cbor:"1,keyasint"`
	Page  Page `cbor:"2,keyasint"`
}

// BodyRequest asks the owner of a batch for the body of an item that has no listed
// result yet.
type BodyRequest struct {
	ID   string `cbor:"1,keyasint"`
	Item string `cbor:"2,keyasint"`
}

// BodyReply answers a BodyRequest. Owned reports whether the host runs the batch,
// Found whether the batch has such an item without a listed result.
type BodyReply struct {
	Owned bool   `cbor:"1,keyasint"`
	Found bool   `cbor:"2,keyasint"`
	Body  []byte `cbor:"3,keyasint,omitempty"`
}

// PartialsRequest asks a host for the partial results of items, and to stop running
// them: a later batch of the same workspace and route contains them again. Batch is
// the identifier of that later batch. It is empty when the batch that the host runs
// was itself taken over. With CopyOf the host returns its copy of the items of that batch
// instead, and stops none.
type PartialsRequest struct {
	Batch     string   `cbor:"1,keyasint"`
	Workspace string   `cbor:"2,keyasint"`
	Route     string   `cbor:"3,keyasint"`
	Items     []string `cbor:"4,keyasint"`
	CopyOf    string   `cbor:"5,keyasint,omitempty"`
}

// PartialsReply answers a PartialsRequest with the partial results by item identifier.
// Incarnation identifies the process that answers. Epoch and Sequence are those of the
// latest message of a copy.
type PartialsReply struct {
	Partials    map[string]Partial `cbor:"1,keyasint,omitempty"`
	Incarnation uint64             `cbor:"2,keyasint,omitempty"`
	Epoch       uint64             `cbor:"3,keyasint,omitempty"`
	Sequence    uint64             `cbor:"4,keyasint,omitempty"`
}

// Batches accepts, runs, takes over and serves batches on one host. Set the exported
// fields, then call Run. It is safe for concurrent use.
type Batches struct {
	Host         string
	Incarnation  uint64
	Store        object.Store
	Peers        Peers
	Pool         *pool.Pool
	Engine       Engine
	ScorerClient ScorerClient
	// StoreReachable reports whether the store answered recently.
	StoreReachable func() bool
	// RetryAfter returns the time after which the caller of a refused batch should return
	// while the store is away.
	RetryAfter func() time.Duration
	// Region is the region of this host. HostsOutside returns the other hosts that are in none
	// of the given regions; nil means that there are none.
	Region       string
	HostsOutside func(regions []string) []string
	// Zones ends the generations in zones that go silent; optional.
	Zones *silence.Watch
	// MaxOpenBytes bounds the bodies of the batches that this host runs, zero for no bound. It
	// accepts no more batches above it. A batch that it takes over is run in any case.
	MaxOpenBytes int64
	// Retention is how long after its submission an ended batch can be read, zero for ever. Pages
	// reads the store page by page. Both are needed to remove old batches (see RemoveExpired).
	Retention time.Duration
	Pages     Pages
	Log       event.Log
	Meter     *meter.Meter // optional
	// ToleratedZones is the number of availability zones whose failure at a time must not
	// delay batches. Above zero, hosts in other zones than an owner's come first in taking
	// over its batches, silent owners are noticed sooner, and each batch has a standby.
	ToleratedZones int

	mu          sync.Mutex
	ctx         context.Context          // of Run; nil before it is called
	known       map[string]known         // by batch, as are workers, logs, chunks and logComplete
	workers     map[string]*worker       // of batches that run here or have completed here and not ended
	active      map[*worker]bool         // workers whose run has not returned; a dropped one may still store text
	logs        map[string][]Result      // results of batches without a worker here, as far as they were read
	chunks      map[string]int           // number of log objects read into logs
	logComplete map[string]bool          // whether no write was in flight when an ended batch was stopped
	partials    map[string]storedPartial // by item, of generations that have stopped here
	copies      map[string]*batchCopy    // by batch, of batches that have this host as their standby
	copiesSize  int                      // estimated memory of copies in bytes
	ranks       map[string]takeoverRank  // by batch
	late        map[string]bool          // ended batches that ran here and were late, by batch
	ratios      map[string]*eventRatio   // by service
	assigner    assigner
	draining    bool
	stopped     bool           // Run waits for the group or has ended
	openBytes   int64          // size of the batches in active
	group       sync.WaitGroup // workers, notifications and retries of ends
}

// known is the newest version of a record that this host has seen.
type known struct {
	Record
	version uint64
}

// Run watches the owners of other hosts' batches and runs this host's own ones until
// the context ends.
func (b *Batches) Run(ctx context.Context) {
	b.assigner.pool = b.Pool
	b.mu.Lock()
	b.ctx = ctx
	b.mu.Unlock()
	b.group.Go(func() {
		ticker := time.NewTicker(sweepInterval)
		defer ticker.Stop()
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case now := <-ticker.C:
				b.sweep(now)
			}
		}
	})
	if b.ToleratedZones > 0 {
		b.group.Go(func() { b.sendCopies(ctx) })
	}
	b.watchOwners(ctx)
	b.mu.Lock()
	b.stopped = true
	b.mu.Unlock()
	b.group.Wait()
}

// start runs a function in a goroutine that Run waits for. After the end of Run it does nothing.
func (b *Batches) start(do func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.startLocked(do)
}

// startLocked is start for a caller that holds the lock.
func (b *Batches) startLocked(do func()) {
	if !b.stopped {
		b.group.Go(do)
	}
}

// initMaps makes the zero value usable; the caller holds the lock.
func (b *Batches) initMaps() {
	if b.known == nil {
		b.known = map[string]known{}
		b.workers = map[string]*worker{}
		b.active = map[*worker]bool{}
		b.logs = map[string][]Result{}
		b.chunks = map[string]int{}
		b.logComplete = map[string]bool{}
		b.partials = map[string]storedPartial{}
		b.copies = map[string]*batchCopy{}
		b.late = map[string]bool{}
		b.ranks = map[string]takeoverRank{}
		b.ratios = map[string]*eventRatio{}
	}
}

func (b *Batches) storage() storage { return storage{b.Store} }

// ApplyChange applies a change of the records in the store.
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

// applyRecord stores a record unless the same or a newer version is known. It stops
// the batch's worker on this host if the batch has ended or, in the worker's epoch or a
// later one, has another owner.
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
		if _, late := w.delivery(time.Now()); late {
			b.late[id] = true
		}
		b.retainResults(id, w)
	}
	b.Log.Emit(event.BatchDropped, "batch", id, "ended", record.Ended, "owner", record.Owner, "epoch", record.Epoch)
}

// retainResults keeps the results of an ended batch in memory for other hosts, which
// would otherwise read them from the store, where each call is billed.
func (b *Batches) retainResults(id string, w *worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b.logs[id], b.chunks[id], b.logComplete[id] = w.published, w.chunks, !w.writing
	time.AfterFunc(endedRetention, func() { b.dropResults(id) })
}

// endedRetention is how long the results of an ended batch stay in memory. Callers
// may read them for two minutes after the batch was submitted.
const endedRetention = 2 * time.Minute

// dropResults frees the cached results of a batch. They remain readable from the
// store.
func (b *Batches) dropResults(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.logs, id)
	delete(b.chunks, id)
	delete(b.logComplete, id)
}

// remove forgets a batch whose record was deleted from the store.
func (b *Batches) remove(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.known, id)
	delete(b.late, id)
	delete(b.ranks, id)
	delete(b.logs, id)
	delete(b.chunks, id)
	delete(b.logComplete, id)
}

// worker returns the worker of a batch that runs here, or nil.
func (b *Batches) worker(id string) *worker {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.workers[id]
}

// lookup returns the newest record of a batch that this host has seen.
func (b *Batches) lookup(id string) (known, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k, ok := b.known[id]
	return k, ok
}

// RunningCount returns the number of batches that this host runs, including completed
// ones that have not ended.
func (b *Batches) RunningCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.workers)
}
