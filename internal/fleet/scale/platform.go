package scale

import (
	"bytes"
	"fmt"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/spread"
	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// Delays and timeouts of calls to the platform.
const (
	platformDelay = 5 * time.Millisecond
	watchTimeout  = 30 * time.Second // after which the platform ends a watch call without a change
	retryDelay    = 2 * time.Second  // of a watch when the platform is unreachable
	day           = 24 * time.Hour
)

// platform holds the accepted document and its stored record.
type platform struct {
	accepted spread.Accepted
	record   spread.Record
	size     int // of the encoded record, in bytes
}

// watchDocument makes a watch call for a host that watches the platform. The call
// returns a document newer than the one last read, or waits for one.
func (f *Fleet) watchDocument(h *Host, process int) {
	if h.process != process || !h.watching || h.waiting {
		return
	}
	if f.PlatformUnreachable != nil && f.PlatformUnreachable(h) {
		f.After(retryDelay, func() { f.watchDocument(h, process) })
		return
	}
	h.Cost.PlatformCalls++
	if f.platform.accepted.Version > h.readVersion {
		f.answerWatch(h, process)
		return
	}
	h.waiting = true
	version := h.readVersion
	f.After(watchTimeout, func() {
		if h.process == process && h.waiting && h.readVersion == version {
			h.waiting = false
			f.watchDocument(h, process)
		}
	})
}

// answerWatch answers the watch call of a host with the record of the accepted document.
// If the record contains neither the document nor a change that applies to the host's own
// document, the host makes another call for the full document.
func (f *Fleet) answerWatch(h *Host, process int) {
	accepted := f.platform.accepted
	h.waiting, h.readVersion = false, accepted.Version
	h.Cost.PlatformBytes += uint64(f.platform.size)
	if _, ok := f.platform.record.Resolve(h.Spread.Accepted); !ok {
		h.Cost.PlatformCalls++
		h.Cost.PlatformBytes += uint64(len(accepted.Body))
	}
	f.After(platformDelay, func() {
		if h.process != process {
			return
		}
		f.spreadActions(h, h.Spread.Step(spread.DocumentRead{Accepted: accepted}, f.localTime(h)))
		f.watchDocument(h, process)
	})
}

// Submit makes the platform accept a next document, which changes EditSize bytes of
// the last one, and returns its version.
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
	record.PreviousID = f.platform.accepted.ID // as spread.Accept does for a large document
	data, err := wire.Encode(record)
	if err != nil {
		panic(err)
	}
	f.platform = platform{accepted: next, record: record, size: len(data)}
	for _, h := range f.Hosts {
		if h.waiting && (f.PlatformUnreachable == nil || !f.PlatformUnreachable(h)) {
			f.answerWatch(h, h.process)
		}
	}
	return next.Version
}

// ScheduleChanges submits Config.ChangesPerDay changes a day from now on, at even
// intervals, until ChangesPerDay is set to zero.
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

// InForce reports whether every host that is not down has a document of at least a
// version. Paused hosts count.
func (f *Fleet) InForce(version uint64) bool {
	for _, h := range f.Hosts {
		if !h.Down && h.Spread.Accepted.Version < version {
			return false
		}
	}
	return true
}
