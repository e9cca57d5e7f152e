package object

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// Monitor is a Store that passes calls on to another one, counts them, since the platform
// bills them, and logs when the platform is lost and when it is back. Store must be set.
// It is safe for concurrent use.
type Monitor struct {
	Store Store
	Log   event.Log
	// Vars, if set, receives the number of calls as "platform.CALL", that of calls for a
	// kind of object as "platform.CALL.KIND" and that of calls which found the platform
	// unavailable or got no response as "platform.CALL.failed".
	Vars Counter

	// Outage, if set, is shared by the monitors of a host, so that each loss
	// and return is logged once.
	Outage *OutageDetector

	ownOutage OutageDetector // used if Outage is nil
}

// OutageDetector detects from the outcomes of calls whether the platform is lost. It counts
// as lost once a call fails and no call has got a response for LossTimeout; if that is
// zero, at the first failure. Now is the clock, time.Now if nil. The zero value is ready to use. It is
// safe for concurrent use.
type OutageDetector struct {
	LossTimeout time.Duration
	Now         func() time.Time

	mu           sync.Mutex
	lost         bool
	lastResponse time.Time
}

// Counter adds to counters by name. It is implemented by *expvar.Map.
type Counter interface {
	Add(name string, delta int64)
}

// Get implements Reader.
func (m *Monitor) Get(ctx context.Context, key string) (Object, error) {
	found, err := m.Store.Get(ctx, key)
	m.record("get", key, err)
	return found, err
}

// List implements Reader.
func (m *Monitor) List(ctx context.Context, prefix string) (Batch, error) {
	batch, err := m.Store.List(ctx, prefix)
	m.record("list", prefix, err)
	return batch, err
}

// Watch implements Reader.
func (m *Monitor) Watch(ctx context.Context, prefix string, after uint64) (Batch, error) {
	batch, err := m.Store.Watch(ctx, prefix, after)
	m.record("watch", prefix, err)
	return batch, err
}

// Put implements Writer.
func (m *Monitor) Put(ctx context.Context, key string, value []byte, expect uint64) (Object, error) {
	stored, err := m.Store.Put(ctx, key, value, expect)
	m.record("put", key, err)
	return stored, err
}

// Delete implements Writer.
func (m *Monitor) Delete(ctx context.Context, key string, expect uint64) error {
	err := m.Store.Delete(ctx, key, expect)
	m.record("delete", key, err)
	return err
}

// record counts a call and logs if the platform was lost or came back with it. A canceled
// call shows neither. The key may be a prefix; its first part is the kind of the object.
func (m *Monitor) record(call, key string, err error) {
	down := unreachable(err)
	if m.Vars != nil {
		kind, _, _ := strings.Cut(key, "/")
		m.Vars.Add("platform."+call, 1)
		m.Vars.Add("platform."+call+"."+kind, 1)
	}
	if m.Vars != nil && down {
		m.Vars.Add("platform."+call+".failed", 1)
	}
	outage := m.Outage
	if outage == nil {
		outage = &m.ownOutage
	}
	if errors.Is(err, context.Canceled) || !outage.changed(down) {
		return
	}
	if down {
		m.Log.Emit(event.PlatformUnreachable, "call", call, "err", err.Error())
		return
	}
	m.Log.Emit(event.PlatformReachable, "call", call)
}

// changed records the outcome of a call and reports whether the platform was lost or came
// back with it.
func (o *OutageDetector) changed(down bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	if o.Now != nil {
		now = o.Now()
	}
	if !down {
		o.lastResponse = now
	}
	if o.lost == down || down && now.Sub(o.lastResponse) < o.LossTimeout {
		return false
	}
	o.lost = down
	return true
}

// unreachable reports whether a call failed because the platform was unavailable or gave
// no response. Other errors, such as a conflict or the rate limit, show that it is reachable.
func unreachable(err error) bool {
	if _, outage := errors.AsType[*OutageError](err); outage {
		return true
	}
	_, unknown := errors.AsType[*UnknownError](err)
	return unknown
}
