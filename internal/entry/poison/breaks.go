package poison

import (
	"slices"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// A host that has no server to spare can't run a suspect alone. CrashCounter instead
// counts crashes of requests that crash every server that begins to run them:
//
//  1. A send whose connection the server broke is a broken send. It counts as a
//     crash once the server has restarted or is gone, and is dropped if that has
//     not happened within verdictTime.
//  2. A complete response clears the request at every host: a request that
//     crashes each server gets none.
//  3. After maxCrashes broken sends, no further send is made until the latest one
//     is decided by rule 1.
//  4. After maxCrashes crashes, the request is convicted and refused until the
//     conviction expires.
const (
	maxCrashes  = 3
	verdictTime = 6 * time.Second // crashed servers restart within some seconds
)

// Server identifies one start of a backend server. Boot is that of pool.Server; it
// changes each time the server starts.
type Server struct {
	Name string `cbor:"1,keyasint"`
	Boot int64  `cbor:"2,keyasint"`
}

// BrokenSend is a send whose connection the server broke. Age is in milliseconds.
// Crashed is set once the server is known to have crashed.
type BrokenSend struct {
	Server  Server `cbor:"1,keyasint"`
	Age     uint32 `cbor:"2,keyasint,omitempty"`
	Crashed bool   `cbor:"3,keyasint,omitempty"`
}

// Report is the message that carries the broken sends of a request between hosts.
// Without any, it clears the request.
type Report struct {
	Request Fingerprint  `cbor:"1,keyasint"`
	Breaks  []BrokenSend `cbor:"2,keyasint,omitempty"`
}

// maxBrokenSends bounds the broken sends that are kept of a request.
const maxBrokenSends = 2 * maxCrashes

// Check returns a *wire.FieldError for an empty fingerprint, which the error calls
// Print, or for more than maxBrokenSends broken sends.
func (r Report) Check() error {
	if r.Request == (Fingerprint{}) {
		return &wire.FieldError{Type: "poison.Report", Field: "Print", Reason: "is empty"}
	}
	if len(r.Breaks) > maxBrokenSends {
		return &wire.FieldError{Type: "poison.Report", Field: "Breaks", Reason: "is too long"}
	}
	return nil
}

// Reports carries all reports of a host to one that has just started.
type Reports struct {
	List []Report `cbor:"1,keyasint,omitempty"`
}

// maxReports bounds Reports. At any time far fewer requests are suspects.
const maxReports = 1024

// CrashCounter holds the broken sends of requests and decides which requests are
// refused. IsRunning must be set. It reports whether a start of a server still
// runs, as far as this host can tell.
type CrashCounter struct {
	IsRunning func(Server) bool

	mu    sync.Mutex
	known map[Fingerprint]*suspect
}

// suspect is a request with broken sends, or a conviction.
type suspect struct {
	sends          []datedSend // oldest first
	convictedUntil time.Time
}

// datedSend is a broken send with its time by the clock of this host.
type datedSend struct {
	BrokenSend
	at time.Time
}

// Record records a broken send and returns the report of the request for the other
// hosts.
func (c *CrashCounter) Record(now time.Time, fp Fingerprint, server Server) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.add(now, fp, datedSend{BrokenSend{Server: server}, now})
	return c.report(now, fp)
}

// Clear removes a request that got a complete response. It returns true if the
// request was known; the other hosts must then clear it as well.
func (c *CrashCounter) Clear(fp Fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, was := c.known[fp]
	delete(c.known, fp)
	return was
}

// Merge merges a report of another host and returns this host's report of the same
// request. A report without broken sends clears the request.
func (c *CrashCounter) Merge(now time.Time, report Report) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(report.Breaks) == 0 {
		delete(c.known, report.Request)
	}
	for _, send := range report.Breaks {
		age := min(time.Duration(send.Age)*time.Millisecond, SuspectTTL)
		c.add(now, report.Request, datedSend{send, now.Add(-age)})
	}
	return c.report(now, report.Request)
}

// Reports returns the reports of the requests with broken sends, at most maxReports,
// for a host that has just started.
func (c *CrashCounter) Reports(now time.Time) Reports {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all Reports
	for fp := range c.known {
		if report := c.report(now, fp); len(report.Breaks) > 0 && len(all.List) < maxReports {
			all.List = append(all.List, report)
		}
	}
	return all
}

// Admit returns nil when a request may be sent now, by rules 3 and 4.
func (c *CrashCounter) Admit(now time.Time, fp Fingerprint) *ConvictedError {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.known[fp]
	if known == nil {
		return nil
	}
	if now.Before(known.convictedUntil) {
		return &ConvictedError{RetryAfter: known.convictedUntil.Sub(now)}
	}
	c.decide(now, fp, known)
	crashes := 0
	var verdict time.Time // when the latest undecided send is decided
	for _, send := range known.sends {
		if send.Crashed {
			crashes++
		} else {
			verdict = send.at.Add(verdictTime)
		}
	}
	switch {
	case crashes >= maxCrashes:
		known.convictedUntil = now.Add(ConvictionTTL)
		return &ConvictedError{RetryAfter: ConvictionTTL}
	case len(known.sends) >= maxCrashes && now.Before(verdict):
		return &ConvictedError{RetryAfter: verdict.Sub(now)}
	}
	return nil
}

// decide applies rule 1 to the broken sends of a request and removes expired ones. It
// removes the request if it has neither broken sends nor a conviction left; the caller
// holds the lock.
func (c *CrashCounter) decide(now time.Time, fp Fingerprint, known *suspect) {
	for i, send := range known.sends {
		known.sends[i].Crashed = send.Crashed || !c.IsRunning(send.Server)
	}
	known.sends = slices.DeleteFunc(known.sends, func(send datedSend) bool {
		limit := verdictTime
		if send.Crashed {
			limit = SuspectTTL
		}
		return now.Sub(send.at) >= limit
	})
	if len(known.sends) == 0 && !now.Before(known.convictedUntil) {
		delete(c.known, fp)
	}
}

// add adds a broken send, ordered by time. A second one at the same start of a
// server is not added, but may set Crashed. The caller holds the lock.
func (c *CrashCounter) add(now time.Time, fp Fingerprint, send datedSend) {
	if c.known == nil {
		c.known = map[Fingerprint]*suspect{}
	}
	known := c.known[fp]
	if known == nil {
		c.evict(now)
		known = &suspect{}
		c.known[fp] = known
	}
	if at := slices.IndexFunc(known.sends, func(k datedSend) bool { return k.Server == send.Server }); at >= 0 {
		known.sends[at].Crashed = known.sends[at].Crashed || send.Crashed
		return
	}
	known.sends = append(known.sends, send)
	slices.SortStableFunc(known.sends, func(x, y datedSend) int { return x.at.Compare(y.at) })
	known.sends = known.sends[max(0, len(known.sends)-maxBrokenSends):]
}

// evict frees a place for a request when there are maxMarks: it removes the
// expired ones and, if none has expired, an arbitrary one; the caller holds the lock.
func (c *CrashCounter) evict(now time.Time) {
	if len(c.known) < maxMarks {
		return
	}
	for fp, known := range c.known {
		c.decide(now, fp, known)
	}
	for fp := range c.known {
		if len(c.known) < maxMarks {
			return
		}
		delete(c.known, fp)
	}
}

// report returns the report of a request; the caller holds the lock.
func (c *CrashCounter) report(now time.Time, fp Fingerprint) Report {
	report := Report{Request: fp}
	if known := c.known[fp]; known != nil {
		for _, send := range known.sends {
			send.Age = uint32(max(0, now.Sub(send.at).Milliseconds()))
			report.Breaks = append(report.Breaks, send.BrokenSend)
		}
	}
	return report
}
