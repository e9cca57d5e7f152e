package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// Times of relayed calls.
const (
	// relayTimeout bounds a relayed call: the peer's own call and the way there.
	relayTimeout = 1500 * time.Millisecond
	// relayMargin is the time beyond its wait that a relayed watch may take.
	relayMargin = 500 * time.Millisecond
	// relayWait is the longest wait of a relayed watch: a peer that stands still is
	// found only by its end.
	relayWait = 1500 * time.Millisecond
	// relayTries is the number of peers that are asked for one call.
	relayTries = 2
	// silentPeer is the time after which a peer that was no help is logged; one
	// that does not reach the store says so within milliseconds.
	silentPeer = 100 * time.Millisecond
	// probePatience is how long a call waits for such a try before it goes to
	// peers; a store that is well answers in milliseconds.
	probePatience = 50 * time.Millisecond
	// lossPatience is how long a call that got no answer waits for the first try;
	// a slow store answers in a quarter of a second.
	lossPatience = 300 * time.Millisecond
	// probeTimeout bounds such a try: twice the answer time of a slow store.
	probeTimeout = 500 * time.Millisecond
)

// Relay is the store as a host reaches it: directly, or through a peer while
// the store turns this host away or can't be reached from it. A write whose
// outcome is unknown is not repeated here; its caller may, and then through a
// peer, since the store may have fallen silent for this host alone. Set the
// exported fields. It is safe for concurrent use.
type Relay struct {
	Direct    object.Store
	Directory *Directory
	// Wait is how long watches of Direct wait.
	Wait time.Duration
	// Health is shared by the relays of a host.
	Health *StoreHealth
}

// unreached says whether a call failed for want of the store and certainly had
// no effect.
func unreached(err error) bool {
	if _, outage := errors.AsType[*object.OutageError](err); outage {
		return true
	}
	_, limit := errors.AsType[*object.LimitError](err)
	return limit
}

// operation is the kind of a relayed call.
type operation string

const (
	opGet    operation = "get"
	opList   operation = "list"
	opWatch  operation = "watch"
	opPut    operation = "put"
	opDelete operation = "delete"
)

// relayed is a call to the store that a peer makes.
type relayed struct {
	Op     operation     `cbor:"1,keyasint"`
	Key    string        `cbor:"2,keyasint"`
	Value  []byte        `cbor:"3,keyasint,omitempty"`
	Expect uint64        `cbor:"4,keyasint,omitempty"` // of a watch: the revision after which to watch
	Wait   time.Duration `cbor:"5,keyasint,omitempty"`
}

// entry returns the kind and name of the object, or the kind of those listed.
func (c relayed) entry() string { return c.Key }

// outcome says how a relayed call ended.
type outcome string

const (
	okay      outcome = ""
	absent    outcome = "absent"
	conflict  outcome = "conflict"
	compacted outcome = "compacted"
	unknown   outcome = "unknown"
	refused   outcome = "refused" // for good: a repeat fails in the same way
	down      outcome = "down"    // no effect
)

// relayReply answers a relayed call.
type relayReply struct {
	Outcome outcome       `cbor:"1,keyasint,omitempty"`
	Have    uint64        `cbor:"2,keyasint,omitempty"`
	Text    string        `cbor:"3,keyasint,omitempty"`
	Object  object.Object `cbor:"4,keyasint"`
	Batch   object.Batch  `cbor:"5,keyasint"`
}

// Get implements object.Reader.
func (r *Relay) Get(ctx context.Context, key string) (object.Object, error) {
	reply, err := r.do(ctx, relayed{Op: opGet, Key: key})
	return reply.Object, err
}

// List implements object.Reader.
func (r *Relay) List(ctx context.Context, prefix string) (object.Batch, error) {
	reply, err := r.do(ctx, relayed{Op: opList, Key: prefix})
	return reply.Batch, err
}

// Watch implements object.Reader.
func (r *Relay) Watch(ctx context.Context, prefix string, after uint64) (object.Batch, error) {
	reply, err := r.do(ctx, relayed{Op: opWatch, Key: prefix, Expect: after, Wait: min(r.Wait, relayWait)})
	return reply.Batch, err
}

// Put implements object.Writer.
func (r *Relay) Put(ctx context.Context, key string, value []byte, expect uint64) (object.Object, error) {
	reply, err := r.do(ctx, relayed{Op: opPut, Key: key, Value: value, Expect: expect})
	reply.Object.Value = value
	return reply.Object, err
}

// Delete implements object.Writer.
func (r *Relay) Delete(ctx context.Context, key string, expect uint64) error {
	_, err := r.do(ctx, relayed{Op: opDelete, Key: key, Expect: expect})
	return err
}

// do makes a call directly, or through peers while the store is out of reach.
func (r *Relay) do(ctx context.Context, call relayed) (relayReply, error) {
	if r.Health.due(time.Now()) {
		r.probe(probePatience) //nolint:contextcheck // a try goes on after the call that found it due
	}
	again := call
	again.Wait = 0 // a lost watch is listed or watched again at once
	for first := true; ; {
		back := r.Health.Restored()
		if r.Health.Down() {
			reply, err := r.askUntil(ctx, back, call)
			if !errors.Is(err, errBack) {
				return reply, err
			}
		}
		reply, err := r.direct(ctx, call)
		switch {
		case errors.Is(err, errTurned):
		case !unreached(err) || ctx.Err() != nil:
			return reply, err
		case !first: // the store answers tries and refuses this call
			return r.ask(ctx, call)
		default:
			first, call = false, again
		}
	}
}

var (
	// errTurned ends a watch whose connection is not to be trusted any more.
	errTurned = errors.New("the way to the store has changed")
	// errBack ends a read through a peer that is not needed any more.
	errBack = errors.New("the store is in direct reach again")
)

// direct makes a call to the store. After one without an answer the store is
// tried over a new connection, which tells a store that is gone from a
// connection that has died. A watch under way when another call gets no answer
// is given up: its connection may have died as well.
func (r *Relay) direct(ctx context.Context, call relayed) (relayReply, error) {
	made := time.Now()
	calling := ctx
	if call.Op == opWatch {
		back, doubt := r.Health.turns()
		until, cancel := endOn(ctx, errTurned, back, doubt)
		defer cancel()
		calling = until
	}
	reply, err := perform(calling, r.Direct, call)
	if err != nil && context.Cause(calling) == errTurned { //nolint:errorlint // set above, never wrapped
		return reply, errTurned
	}
	_, unsure := errors.AsType[*object.UnknownError](err)
	if !unsure && !unreached(err) || errors.Is(ctx.Err(), context.Canceled) {
		return reply, err // a caller that gave up says nothing of the store
	}
	if r.Health.lost(time.Now(), made, call, err) {
		r.probe(lossPatience) //nolint:contextcheck // a try goes on after the call that found it due
	}
	return reply, err
}

// endOn returns a context that ends with a cause once one of two channels is
// closed, of which the second may be nil.
func endOn(ctx context.Context, cause error, one, other <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		select {
		case <-one:
			cancel(cause)
		case <-other:
			cancel(cause)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}

// probe tries the store directly once, unless a try is under way, and waits a
// moment for the answer.
func (r *Relay) probe(patience time.Duration) {
	ended, own := r.Health.begin()
	if own {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
			defer cancel()
			_, err := r.Direct.Get(ctx, KeyPrefix+r.Directory.Self.Name)
			r.Health.settle(time.Now(), !unreached(err))
		}()
	}
	select {
	case <-ended:
	case <-time.After(patience):
	}
}

// askUntil is ask for as long as the store is out of direct reach: a peer may
// stand still. A write goes on, since it may have taken effect.
func (r *Relay) askUntil(ctx context.Context, back <-chan struct{}, call relayed) (relayReply, error) {
	if call.Op == opPut || call.Op == opDelete {
		return r.ask(ctx, call)
	}
	asking, cancel := endOn(ctx, errBack, back, nil)
	defer cancel()
	reply, err := r.ask(asking, call)
	if err != nil && context.Cause(asking) == errBack { //nolint:errorlint // set above, never wrapped
		return reply, errBack
	}
	return reply, err
}

// ask lets peers make the call, until one of them reaches the store.
func (r *Relay) ask(ctx context.Context, call relayed) (relayReply, error) {
	last := error(&object.OutageError{Err: errors.New("no peer known")})
	for _, host := range r.candidates() {
		if ctx.Err() != nil {
			break
		}
		asked := time.Now()
		reply, err := r.askHost(ctx, host, call)
		if err == nil {
			err = reply.failure(call)
		}
		if unreached(err) && ctx.Err() == nil && time.Since(asked) >= silentPeer {
			r.Health.Log.Emit(event.PeerSilent, "target", host, "call", string(call.Op), "entry", call.entry(),
				"ms", time.Since(asked).Milliseconds(), "err", err.Error())
		}
		if !unreached(err) {
			return reply, err
		}
		last = err
	}
	return relayReply{}, last
}

// candidates returns the peers to ask, those of this host's zone first.
func (r *Relay) candidates() []string {
	var near, far []string
	hosts := r.Directory.Hosts()
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	for _, h := range hosts {
		switch {
		case h.Name == r.Directory.Self.Name:
		case h.Zone == r.Directory.Self.Zone:
			near = append(near, h.Name)
		default:
			far = append(far, h.Name)
		}
	}
	// One of the zone and one of another: a zone is often cut off as a whole.
	if len(near) > 1 && len(far) > 0 {
		near = near[:1]
	}
	all := slices.Concat(near, far)
	return all[:min(relayTries, len(all))]
}

func (r *Relay) askHost(ctx context.Context, host string, call relayed) (relayReply, error) {
	timeout := relayTimeout
	if call.Op == opWatch {
		timeout = call.Wait + relayMargin
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := Call[relayReply](ctx, r.Directory, host, "store", call)
	if err == nil {
		return reply, nil
	}
	lost, ok := errors.AsType[*rest.LostError](err)
	write := call.Op == opPut || call.Op == opDelete
	if write && ok && lost.Sent {
		return relayReply{}, &object.UnknownError{Key: call.Key, Err: err}
	}
	return relayReply{}, &object.OutageError{Err: err}
}

// failure returns the error that the peer met.
func (r relayReply) failure(call relayed) error {
	switch r.Outcome {
	case okay:
		return nil
	case absent:
		return &object.NotFoundError{Key: call.Key}
	case conflict:
		return &object.ConflictError{Key: call.Key, Want: call.Expect, Have: r.Have}
	case compacted:
		return &object.CompactedError{Prefix: call.Key}
	case refused:
		return &object.RequestError{Code: "refused", Message: r.Text}
	case down:
		return &object.OutageError{Err: errors.New(r.Text)}
	case unknown:
	}
	return &object.UnknownError{Key: call.Key, Err: errors.New(r.Text)}
}

// ServeRelay lets other hosts reach the store through this one. Watcher returns
// the store with a wait of its watches.
func ServeRelay(mux *http.ServeMux, watcher func(wait time.Duration) object.Store, health *StoreHealth) {
	Handle(mux, "store", func(ctx context.Context, call relayed) relayReply {
		if health.Down() {
			return relayReply{Outcome: down, Text: "the peer does not reach the store either"}
		}
		reply, err := perform(ctx, watcher(call.Wait), call)
		if err != nil {
			return outcomeOf(err)
		}
		return reply
	})
}

func perform(ctx context.Context, store object.Store, call relayed) (relayReply, error) {
	var (
		reply relayReply
		err   error
	)
	switch call.Op {
	case opGet:
		reply.Object, err = store.Get(ctx, call.Key)
	case opList:
		reply.Batch, err = store.List(ctx, call.Key)
	case opWatch:
		reply.Batch, err = store.Watch(ctx, call.Key, call.Expect)
	case opPut:
		reply.Object, err = store.Put(ctx, call.Key, call.Value, call.Expect)
		reply.Object.Value = nil // the caller has it
	case opDelete:
		err = store.Delete(ctx, call.Key, call.Expect)
	default:
		err = &object.RequestError{Code: "operation", Message: string(call.Op)}
	}
	return reply, err
}

func outcomeOf(err error) relayReply {
	reply := relayReply{Outcome: unknown, Text: err.Error()}
	if found, ok := errors.AsType[*object.ConflictError](err); ok {
		reply.Outcome, reply.Have = conflict, found.Have
	}
	if _, ok := errors.AsType[*object.NotFoundError](err); ok {
		reply.Outcome = absent
	}
	if _, ok := errors.AsType[*object.CompactedError](err); ok {
		reply.Outcome = compacted
	}
	if _, ok := errors.AsType[*object.RequestError](err); ok {
		reply.Outcome = refused
	}
	if _, ok := errors.AsType[*object.SizeError](err); ok {
		reply.Outcome = refused
	}
	if unreached(err) {
		reply.Outcome = down
	}
	return reply
}
