package scale

import (
	"bytes"
	"fmt"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/spread"
	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// Times of the platform.
const (
	platformDelay = 5 * time.Millisecond
	watchLimit    = 30 * time.Second // the platform ends a wait without a change
	retryPause    = 2 * time.Second
	day           = 24 * time.Hour
)

// platform holds the accepted document and the watches that wait for it.
type platform struct {
	accepted spread.Accepted
	record   spread.Record
	bytes    int // of the record
}

// poll reads the platform or waits there for a change.
func (f *Fleet) poll(h *Host, start int) {
	if h.start != start || !h.watching || h.parked {
		return
	}
	if f.PlatformUnreachable != nil && f.PlatformUnreachable(h) {
		f.After(retryPause, func() { f.poll(h, start) })
		return
	}
	h.Cost.PlatformCalls++
	if f.platform.accepted.Version > h.seen {
		f.deliver(h, start)
		return
	}
	h.parked = true
	version := h.seen
	f.After(watchLimit, func() {
		if h.start == start && h.parked && h.seen == version {
			h.parked = false
			f.poll(h, start)
		}
	})
}

// deliver answers the call of a host with the accepted document.
func (f *Fleet) deliver(h *Host, start int) {
	accepted := f.platform.accepted
	h.parked, h.seen = false, accepted.Version
	h.Cost.PlatformBytes += uint64(f.platform.bytes)
	if _, ok := f.platform.record.Resolve(h.Spread.Accepted); !ok {
		h.Cost.PlatformCalls++
		h.Cost.PlatformBytes += uint64(len(accepted.Body))
	}
	f.After(platformDelay, func() {
		if h.start != start {
			return
		}
		f.spreadActions(h, h.Spread.Step(spread.DocumentRead{Accepted: accepted}, f.local(h)))
		f.poll(h, start)
	})
}

// Submit accepts the next document, which changes a few bytes of the last one.
func (f *Fleet) Submit() uint64 {
	next := f.platform.accepted
	next.Version++
	next.By, next.ID, next.At = "operator", fmt.Sprintf("%036d", next.Version), f.Now
	if next.Body == nil {
		next.Body = bytes.Repeat([]byte{' '}, f.Config.DocumentSize)
	}
	next.Body = bytes.Clone(next.Body)
	at := f.Rand.IntN(max(1, f.Config.DocumentSize-f.Config.EditSize))
	for i := range min(f.Config.EditSize, f.Config.DocumentSize) {
		next.Body[at+i] = byte(f.Rand.Uint32())
	}
	record := spread.NewRecord(next, f.platform.accepted)
	record.PreviousID = f.platform.accepted.ID // as Accept does for a large document
	data, err := wire.Encode(record)
	if err != nil {
		panic(err)
	}
	f.platform = platform{accepted: next, record: record, bytes: len(data)}
	for _, h := range f.Hosts {
		if h.parked && (f.PlatformUnreachable == nil || !f.PlatformUnreachable(h)) {
			f.deliver(h, h.start)
		}
	}
	return next.Version
}

// ScheduleChanges submits changes at the rate of the plan from now on, evenly.
func (f *Fleet) ScheduleChanges() {
	if f.Config.ChangesPerDay == 0 {
		return
	}
	f.After(day/time.Duration(f.Config.ChangesPerDay), func() {
		if f.Config.ChangesPerDay == 0 {
			return
		}
		f.Submit()
		f.ScheduleChanges()
	})
}

// InForce reports whether every host that is up has at least a version.
func (f *Fleet) InForce(version uint64) bool {
	for _, h := range f.Hosts {
		if !h.Down && h.Spread.Accepted.Version < version {
			return false
		}
	}
	return true
}
