package poison

import (
	"slices"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// A host that has no server to spare for a suspect can't run it alone. Breaks
// decides by counting instead, for requests that crash every server that begins
// to run them:
//
//  1. A send that its server broke off is a break. It counts as a crash once the
//     server has started anew or is gone, and is dropped when that has not
//     happened within verdictTime.
//  2. A whole answer clears the request at every host: one that crashes each
//     server gets none.
//  3. After tolerated breaks no further send is made before the last verdict.
//  4. After as many crashes the request is refused until that expires.
const (
	tolerated   = 3
	verdictTime = 6 * time.Second // crashed servers are back after some seconds
)

// Server is one start of a backend server.
type Server struct {
	Name string `cbor:"1,keyasint"`
	Boot int64  `cbor:"2,keyasint"`
}

// BrokenSend is a send that its server broke off. Age is in milliseconds.
type BrokenSend struct {
	Server  Server `cbor:"1,keyasint"`
	Age     uint32 `cbor:"2,keyasint,omitempty"`
	Crashed bool   `cbor:"3,keyasint,omitempty"`
}

// Report is what hosts tell each other of a request; without breaks it is
// cleared.
type Report struct {
	Request Fingerprint  `cbor:"1,keyasint"`
	Breaks  []BrokenSend `cbor:"2,keyasint,omitempty"`
}

// maxBreaks bounds the breaks that are kept of a request.
const maxBreaks = 2 * tolerated

// Check implements wire.Message.
func (r Report) Check() error {
	if r.Request == (Fingerprint{}) {
		return &wire.FieldError{Type: "poison.Report", Field: "Print", Reason: "is empty"}
	}
	if len(r.Breaks) > maxBreaks {
		return &wire.FieldError{Type: "poison.Report", Field: "Breaks", Reason: "is too long"}
	}
	return nil
}

// Reports is what a host that has just started is told.
type Reports struct {
	List []Report `cbor:"1,keyasint,omitempty"`
}

// maxReports bounds Reports; far fewer requests are suspects at a time.
const maxReports = 1024

// CrashCounter holds the breaks of requests. Runs says whether that start of a server
// still runs, as far as is known. It is safe for concurrent use.
type CrashCounter struct {
	IsRunning func(Server) bool

	mu    sync.Mutex
	known map[Fingerprint]*broken
}

type broken struct {
	breaks []dated
	until  time.Time // of the conviction
}

type dated struct {
	BrokenSend
	at time.Time
}

// Record takes in a break and returns what is known of the request now, for the
// other hosts.
func (b *CrashCounter) Record(now time.Time, fp Fingerprint, server Server) Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(now, fp, dated{BrokenSend{Server: server}, now})
	return b.report(now, fp)
}

// Clear drops what is known of a request that got a whole answer. It returns
// true when there was something, which the other hosts have to drop as well.
func (b *CrashCounter) Clear(fp Fingerprint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, was := b.known[fp]
	delete(b.known, fp)
	return was
}

// Merge takes in what another host knows and returns what is known here.
func (b *CrashCounter) Merge(now time.Time, report Report) Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(report.Breaks) == 0 {
		delete(b.known, report.Request)
	}
	for _, one := range report.Breaks {
		age := min(time.Duration(one.Age)*time.Millisecond, SuspectTTL)
		b.add(now, report.Request, dated{one, now.Add(-age)})
	}
	return b.report(now, report.Request)
}

// Reports returns what is known, for a host that has just started.
func (b *CrashCounter) Reports(now time.Time) Reports {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all Reports
	for fp := range b.known {
		if report := b.report(now, fp); len(report.Breaks) > 0 && len(all.List) < maxReports {
			all.List = append(all.List, report)
		}
	}
	return all
}

// Admit returns nil when a request may be sent now.
func (b *CrashCounter) Admit(now time.Time, fp Fingerprint) *ConvictedError {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.known[fp]
	if known == nil {
		return nil
	}
	if now.Before(known.until) {
		return &ConvictedError{RetryAfter: known.until.Sub(now)}
	}
	b.judge(now, fp, known)
	crashes := 0
	var verdict time.Time // of the latest break without one
	for _, one := range known.breaks {
		if one.Crashed {
			crashes++
		} else {
			verdict = one.at.Add(verdictTime)
		}
	}
	switch {
	case crashes >= tolerated:
		known.until = now.Add(ConvictionTTL)
		return &ConvictedError{RetryAfter: ConvictionTTL}
	case len(known.breaks) >= tolerated && now.Before(verdict):
		return &ConvictedError{RetryAfter: verdict.Sub(now)}
	}
	return nil
}

// judge applies rule 1 and drops what has expired; the caller holds the lock.
func (b *CrashCounter) judge(now time.Time, fp Fingerprint, known *broken) {
	for i, one := range known.breaks {
		known.breaks[i].Crashed = one.Crashed || !b.IsRunning(one.Server)
	}
	known.breaks = slices.DeleteFunc(known.breaks, func(one dated) bool {
		limit := verdictTime
		if one.Crashed {
			limit = SuspectTTL
		}
		return now.Sub(one.at) >= limit
	})
	if len(known.breaks) == 0 && !now.Before(known.until) {
		delete(b.known, fp)
	}
}

// add keeps a break, ordered by time; the caller holds the lock.
func (b *CrashCounter) add(now time.Time, fp Fingerprint, one dated) {
	if b.known == nil {
		b.known = map[Fingerprint]*broken{}
	}
	known := b.known[fp]
	if known == nil {
		b.makeRoom(now)
		known = &broken{}
		b.known[fp] = known
	}
	if at := slices.IndexFunc(known.breaks, func(k dated) bool { return k.Server == one.Server }); at >= 0 {
		known.breaks[at].Crashed = known.breaks[at].Crashed || one.Crashed
		return
	}
	known.breaks = append(known.breaks, one)
	slices.SortStableFunc(known.breaks, func(x, y dated) int { return x.at.Compare(y.at) })
	known.breaks = known.breaks[max(0, len(known.breaks)-maxBreaks):]
}

// makeRoom drops expired requests at the bound, and any if all are recent; the
// caller holds the lock.
func (b *CrashCounter) makeRoom(now time.Time) {
	if len(b.known) < maxMarks {
		return
	}
	for fp, known := range b.known {
		b.judge(now, fp, known)
	}
	for fp := range b.known {
		if len(b.known) < maxMarks {
			return
		}
		delete(b.known, fp)
	}
}

func (b *CrashCounter) report(now time.Time, fp Fingerprint) Report {
	report := Report{Request: fp}
	if known := b.known[fp]; known != nil {
		for _, one := range known.breaks {
			one.Age = uint32(max(0, now.Sub(one.at).Milliseconds()))
			report.Breaks = append(report.Breaks, one.BrokenSend)
		}
	}
	return report
}
