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

// Times and bounds of relayed calls and probes.
const (
	// relayTimeout bounds a relayed call: the call to the peer and the peer's own call.
	relayTimeout = 1500 * time.Millisecond
	// relayMargin is the time beyond its wait that a relayed watch may take.
	relayMargin = 500 * time.Millisecond
	// relayWait is the longest wait of a relayed watch, since a peer that hangs is
	// detected only when the watch times out.
	relayWait = 1500 * time.Millisecond
	// relayAttempts is the largest number of peers that one call is sent to, one after
	// the other.
	relayAttempts = 2
	// silentPeerAfter is the least duration of a failed call to a peer that is logged. A
	// peer that does not reach the store reports that within milliseconds.
	silentPeerAfter = 100 * time.Millisecond
	// probeWait is how long a call waits for a due probe before it is relayed. A
	// healthy store answers in milliseconds.
	probeWait = 50 * time.Millisecond
	// slowestAnswer is the time that a slow store takes to answer, with a margin.
	slowestAnswer = 300 * time.Millisecond
	// firstProbeWait is how long a call that got no answer waits for the first probe.
	firstProbeWait = slowestAnswer
	// probeTimeout bounds a probe: twice the answer time of a slow store.
	probeTimeout = 500 * time.Millisecond
)

// Relay is an object.Store that calls the store directly, or through a peer while the
// store refuses this host or can't be reached from it. It does not repeat a write whose
// outcome is unknown. If the caller repeats it, the write goes through a peer, since the
// store may have become unreachable for this host alone. Set the exported fields. It is
// safe for concurrent use.
type Relay struct {
	Direct    object.Store
	Directory *Directory
	// Wait is how long the watches of Direct wait.
	Wait time.Duration
	// Health is shared by all relays of a host.
	Health *StoreHealth
}

// unavailable reports whether an error means that the store could not be called or refused
// the call because of a limit. Such a call had no effect.
func unavailable(err error) bool {
	if _, outage := errors.AsType[*object.OutageError](err); outage {
		return true
	}
	_, limit := errors.AsType[*object.LimitError](err)
	return limit
}

// operation is the method of object.Store that a relayed call makes.
type operation string

const (
	opGet    operation = "get"
	opList   operation = "list"
	opWatch  operation = "watch"
	opPut    operation = "put"
	opDelete operation = "delete"
)

// relayCall is a call to the store that a peer makes for another host.
type relayCall struct {
	Op     operation     `cbor:"1,keyasint"`
	Key    string        `cbor:"2,keyasint"`
	Value  []byte        `cbor:"3,keyasint,omitempty"`
	Expect uint64        `cbor:"4,keyasint,omitempty"` // for a watch, the revision after which to watch
	Wait   time.Duration `cbor:"5,keyasint,omitempty"`
}

// entry returns the key of the object, or the prefix of those listed or watched, for the
// log.
func (c relayCall) entry() string { return c.Key }

// outcome is the result of a relayed call.
type outcome string

const (
	outcomeOK        outcome = ""
	outcomeAbsent    outcome = "absent"
	outcomeConflict  outcome = "conflict"
	outcomeCompacted outcome = "compacted"
	outcomeUnknown   outcome = "unknown"
	outcomeRefused   outcome = "refused" // permanently: a repeated call fails in the same way
	outcomeDown      outcome = "down"    // the store was not reached, the call had no effect
)

// relayReply answers a relayCall. Have is the version of the object after a conflict, Text
// the message of an error.
type relayReply struct {
	Outcome outcome       `cbor:"1,keyasint,omitempty"`
	Have    uint64        `cbor:"2,keyasint,omitempty"`
	Text    string        `cbor:"3,keyasint,omitempty"`
	Object  object.Object `cbor:"4,keyasint"`
	Batch   object.Batch  `cbor:"5,keyasint"`
}

// Get implements object.Reader.
func (r *Relay) Get(ctx context.Context, key string) (object.Object, error) {
	reply, err := r.do(ctx, relayCall{Op: opGet, Key: key})
	return reply.Object, err
}

// List implements object.Reader.
func (r *Relay) List(ctx context.Context, prefix string) (object.Batch, error) {
	reply, err := r.do(ctx, relayCall{Op: opList, Key: prefix})
	return reply.Batch, err
}

// Watch implements object.Reader.
func (r *Relay) Watch(ctx context.Context, prefix string, after uint64) (object.Batch, error) {
	reply, err := r.do(ctx, relayCall{Op: opWatch, Key: prefix, Expect: after, Wait: min(r.Wait, relayWait)})
	return reply.Batch, err
}

// Put implements object.Writer.
func (r *Relay) Put(ctx context.Context, key string, value []byte, expect uint64) (object.Object, error) {
	reply, err := r.do(ctx, relayCall{Op: opPut, Key: key, Value: value, Expect: expect})
	reply.Object.Value = value
	return reply.Object, err
}

// Delete implements object.Writer.
func (r *Relay) Delete(ctx context.Context, key string, expect uint64) error {
	_, err := r.do(ctx, relayCall{Op: opDelete, Key: key, Expect: expect})
	return err
}

// do makes a call directly, or through peers while the store can't be reached. If a direct
// call had no effect, do checks again whether the store is reachable and repeats the call;
// if a second one had none, it calls peers. A watch that ended with errSuspectConnection is
// always repeated.
func (r *Relay) do(ctx context.Context, call relayCall) (relayReply, error) {
	if r.Health.probeDue(time.Now()) {
		r.probe(probeWait) //nolint:contextcheck // a probe continues after the call that started it
	}
	retry := call
	retry.Wait = 0 // a watch that is repeated through a peer returns at once
	for first := true; ; {
		restored := r.Health.Restored()
		if r.Health.Down() {
			reply, err := r.callPeersUntil(ctx, restored, call)
			if !errors.Is(err, errRestored) {
				return reply, err
			}
		}
		reply, err := r.callDirect(ctx, call)
		switch {
		case errors.Is(err, errSuspectConnection):
		case !unavailable(err) || ctx.Err() != nil:
			return reply, err
		case !first: // the store answers probes and refuses this call
			return r.callPeers(ctx, call)
		default:
			first, call = false, retry
		}
	}
}

var (
	// errSuspectConnection cancels a watch whose connection may have died.
	errSuspectConnection = errors.New("the connection to the store may have died")
	// errRestored cancels a relayed read that is no longer needed.
	errRestored = errors.New("the store is directly reachable again")
)

// callDirect makes a call to the store. After a call that got no answer, or that the store
// refused because of an outage or a limit, it probes the store over a new connection, which
// tells an unreachable store from a dead connection. A watch that is under way during the
// probe is canceled at its end, since its connection may have died as well.
func (r *Relay) callDirect(ctx context.Context, call relayCall) (relayReply, error) {
	made := time.Now()
	callCtx := ctx
	if call.Op == opWatch {
		restored, failed := r.Health.probeResults()
		watchCtx, cancel := cancelOn(ctx, errSuspectConnection, restored, failed)
		defer cancel()
		callCtx = watchCtx
	}
	reply, err := perform(callCtx, r.Direct, call)
	if err != nil && context.Cause(callCtx) == errSuspectConnection { //nolint:errorlint // set above, never wrapped
		return reply, errSuspectConnection
	}
	_, unknown := errors.AsType[*object.UnknownError](err)
	if !unknown && !unavailable(err) || errors.Is(ctx.Err(), context.Canceled) {
		return reply, err // a call that its caller canceled tells nothing about the store
	}
	if ctx.Err() != nil && time.Since(made) < slowestAnswer {
		return reply, err // its caller left it less time than a slow store takes
	}
	if r.Health.recordFailure(time.Now(), made, call, err) {
		r.probe(firstProbeWait) //nolint:contextcheck // a probe continues after the call that started it
	}
	return reply, err
}

// cancelOn returns a context that is canceled with a cause when one of two channels is
// closed. The second may be nil.
func cancelOn(ctx context.Context, cause error, first, second <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		select {
		case <-first:
			cancel(cause)
		case <-second:
			cancel(cause)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}

// probe starts a direct call to the store, unless a probe is under way, and waits for the
// result, for the time wait at most.
func (r *Relay) probe(wait time.Duration) {
	ended, own := r.Health.beginProbe()
	if own {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
			defer cancel()
			_, err := r.Direct.Get(ctx, KeyPrefix+r.Directory.Self.Name)
			r.Health.endProbe(time.Now(), !unavailable(err))
		}()
	}
	select {
	case <-ended:
	case <-time.After(wait):
	}
}

// callPeersUntil is callPeers, but cancels a read with errRestored when restored is closed,
// since a peer may hang. A write continues, since it may have taken effect.
func (r *Relay) callPeersUntil(ctx context.Context, restored <-chan struct{}, call relayCall) (relayReply, error) {
	if call.Op == opPut || call.Op == opDelete {
		return r.callPeers(ctx, call)
	}
	peerCtx, cancel := cancelOn(ctx, errRestored, restored, nil)
	defer cancel()
	reply, err := r.callPeers(peerCtx, call)
	if err != nil && context.Cause(peerCtx) == errRestored { //nolint:errorlint // set above, never wrapped
		return reply, errRestored
	}
	return reply, err
}

// callPeers sends the call to the candidates in order until one of them reaches the store or
// may have received a write. It returns an *object.OutageError if there is none.
func (r *Relay) callPeers(ctx context.Context, call relayCall) (relayReply, error) {
	last := error(&object.OutageError{Err: errors.New("no peer known")})
	for _, host := range r.candidates() {
		if ctx.Err() != nil {
			break
		}
		started := time.Now()
		reply, err := r.callPeer(ctx, host, call)
		if err == nil {
			err = reply.failure(call)
		}
		if unavailable(err) && ctx.Err() == nil && time.Since(started) >= silentPeerAfter {
			r.Health.Log.Emit(event.RelayTimedOut, "target", host, "call", string(call.Op), "entry", call.entry(),
				"ms", time.Since(started).Milliseconds(), "err", err.Error())
		}
		if !unavailable(err) {
			return reply, err
		}
		last = err
	}
	return relayReply{}, last
}

// candidates returns at most relayAttempts peers to call, chosen at random, those in this
// host's zone first.
func (r *Relay) candidates() []string {
	var sameZone, otherZones []string
	hosts := r.Directory.Hosts()
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	for _, h := range hosts {
		switch {
		case h.Name == r.Directory.Self.Name:
		case r.Directory.MayRelay != nil && !r.Directory.MayRelay(h):
		case h.Zone == r.Directory.Self.Zone:
			sameZone = append(sameZone, h.Name)
		default:
			otherZones = append(otherZones, h.Name)
		}
	}
	// One peer in this zone and one in another, since a zone is often cut off as a whole.
	if len(sameZone) > 1 && len(otherZones) > 0 {
		sameZone = sameZone[:1]
	}
	all := slices.Concat(sameZone, otherZones)
	return all[:min(relayAttempts, len(all))]
}

// callPeer sends the call to one peer. The error is an *object.UnknownError for a write that
// the peer may have received, and an *object.OutageError otherwise.
func (r *Relay) callPeer(ctx context.Context, host string, call relayCall) (relayReply, error) {
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

// failure returns the error that the peer's call returned, nil for none.
func (r relayReply) failure(call relayCall) error {
	switch r.Outcome {
	case outcomeOK:
		return nil
	case outcomeAbsent:
		return &object.NotFoundError{Key: call.Key}
	case outcomeConflict:
		return &object.ConflictError{Key: call.Key, Want: call.Expect, Have: r.Have}
	case outcomeCompacted:
		return &object.CompactedError{Prefix: call.Key}
	case outcomeRefused:
		return &object.RequestError{Code: "refused", Message: r.Text}
	case outcomeDown:
		return &object.OutageError{Err: errors.New(r.Text)}
	case outcomeUnknown:
	}
	return &object.UnknownError{Key: call.Key, Err: errors.New(r.Text)}
}

// ServeRelay registers the handler by which other hosts call the store through this one. It
// makes no call while this host does not reach the store either. storeWithWait returns the
// store with the given wait of its watches.
func ServeRelay(mux *http.ServeMux, storeWithWait func(wait time.Duration) object.Store, health *StoreHealth) {
	Handle(mux, "store", func(ctx context.Context, call relayCall) relayReply {
		if health.Down() {
			return relayReply{Outcome: outcomeDown, Text: "the peer does not reach the store either"}
		}
		reply, err := perform(ctx, storeWithWait(call.Wait), call)
		if err != nil {
			return outcomeOf(err)
		}
		return reply
	})
}

// perform makes a call to a store.
func perform(ctx context.Context, store object.Store, call relayCall) (relayReply, error) {
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

// outcomeOf returns the reply for an error of the store.
func outcomeOf(err error) relayReply {
	reply := relayReply{Outcome: outcomeUnknown, Text: err.Error()}
	if found, ok := errors.AsType[*object.ConflictError](err); ok {
		reply.Outcome, reply.Have = outcomeConflict, found.Have
	}
	if _, ok := errors.AsType[*object.NotFoundError](err); ok {
		reply.Outcome = outcomeAbsent
	}
	if _, ok := errors.AsType[*object.CompactedError](err); ok {
		reply.Outcome = outcomeCompacted
	}
	if _, ok := errors.AsType[*object.RequestError](err); ok {
		reply.Outcome = outcomeRefused
	}
	if _, ok := errors.AsType[*object.SizeError](err); ok {
		reply.Outcome = outcomeRefused
	}
	if unavailable(err) {
		reply.Outcome = outcomeDown
	}
	return reply
}
