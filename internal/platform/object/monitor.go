package object

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// Monitor is a Store that counts the calls to another one, which the platform
// bills, and logs when the platform is lost and when it is back. Store must be
// set; a nil Vars counts nothing. It is safe for concurrent use.
type Monitor struct {
	Store Store
	Log   event.Log
	// Vars receives the number of calls as "platform.CALL", that of calls for a
	// kind of object as "platform.CALL.KIND" and that of failed ones as
	// "platform.CALL.failed".
	Vars Counter

	// Outage, when set, is shared by the monitors of a host, so that each loss
	// and return is logged once.
	Outage *OutageDetector

	own OutageDetector
}

// OutageDetector knows whether the platform is lost. Patience is how long it has to
// answer no call before it counts as lost; zero takes the first failure. Now is
// the clock, time.Now when nil. The zero value is ready and safe for concurrent
// use.
type OutageDetector struct {
	LossTimeout time.Duration
	Now         func() time.Time

	mu       sync.Mutex
	lost     bool
	answered time.Time // the latest answer
}

// Counter counts by name; an *expvar.Map is one.
type Counter interface {
	Add(name string, delta int64)
}

// Get implements Reader.
func (m *Monitor) Get(ctx context.Context, key string) (Object, error) {
	found, err := m.Store.Get(ctx, key)
	m.note("get", key, err)
	return found, err
}

// List implements Reader.
func (m *Monitor) List(ctx context.Context, prefix string) (Batch, error) {
	batch, err := m.Store.List(ctx, prefix)
	m.note("list", prefix, err)
	return batch, err
}

// Watch implements Reader.
func (m *Monitor) Watch(ctx context.Context, prefix string, after uint64) (Batch, error) {
	batch, err := m.Store.Watch(ctx, prefix, after)
	m.note("watch", prefix, err)
	return batch, err
}

// Put implements Writer.
func (m *Monitor) Put(ctx context.Context, key string, value []byte, expect uint64) (Object, error) {
	stored, err := m.Store.Put(ctx, key, value, expect)
	m.note("put", key, err)
	return stored, err
}

// Delete implements Writer.
func (m *Monitor) Delete(ctx context.Context, key string, expect uint64) error {
	err := m.Store.Delete(ctx, key, expect)
	m.note("delete", key, err)
	return err
}

func (m *Monitor) note(call, key string, err error) {
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
		outage = &m.own
	}
	if errors.Is(err, context.Canceled) || !outage.turn(down) {
		return
	}
	if down {
		m.Log.Emit(event.PlatformUnreachable, "call", call, "err", err.Error())
		return
	}
	m.Log.Emit(event.PlatformReachable, "call", call)
}

// turn takes in the end of a call and returns whether the platform was lost or
// came back with it.
func (o *OutageDetector) turn(down bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	if o.Now != nil {
		now = o.Now()
	}
	if !down {
		o.answered = now
	}
	if o.lost == down || down && now.Sub(o.answered) < o.LossTimeout {
		return false
	}
	o.lost = down
	return true
}

// unreachable says whether a call failed for want of an answer. A refusal, such
// as for a conflict or for the rate, shows that the platform is there.
func unreachable(err error) bool {
	if _, outage := errors.AsType[*OutageError](err); outage {
		return true
	}
	_, unknown := errors.AsType[*UnknownError](err)
	return unknown
}
