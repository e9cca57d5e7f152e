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
//  1. A send whose connection the server broke is a broken send, and so is one that
//     the host gave up while the server answered nobody: a server may crash without
//     a sign. It counts as a crash once the server has restarted or is gone, and is
//     dropped if that has not happened within verdictTime.
//  2. A complete response clears the request at every host: a request that
//     crashes each server gets none.
//  3. After maxCrashes broken sends, no further send is made until the latest one
//     is decided by rule 1.
//  4. After maxCrashes crashes, the request is convicted and refused until the
//     conviction expires, but for maxTrials single sends. Servers may have crashed
//     for another reason each time that they ran it; rule 2 then clears it.
//     A broken send does not count for rules 3 and 4 if another request was sent to
//     that server before and has at least as many broken sends: the later one met a
//     server that had crashed already.
//  5. A send in flight whose server has restarted or is gone counts as a crash as
//     well: nothing else may show it before the time of the request ends.
const (
	maxCrashes  = 3
	verdictTime = 6 * time.Second // crashed servers restart within some seconds
	maxTrials   = 2
	// firstTrialDelay is the time from the conviction to the first trial. It grows by
	// trialDelayFactor with each trial.
	firstTrialDelay  = time.Second
	trialDelayFactor = 10
	// silenceLimit is the time after which a send in flight is suspicious if another
	// one of the same request is in flight too.
	silenceLimit = time.Second
)

// Server identifies one start of a backend server. Boot is that of pool.Server; it
// changes each time the server starts.
type Server struct {
	Name string `cbor:"1,keyasint"`
	Boot int64  `cbor:"2,keyasint"`
}

// BrokenSend is a broken send. Age is the time since it was recorded, Took the time until
// then from its start, both in milliseconds. Crashed is set once the server is known to
// have crashed.
type BrokenSend struct {
	Server  Server `cbor:"1,keyasint"`
	Age     uint32 `cbor:"2,keyasint,omitempty"`
	Crashed bool   `cbor:"3,keyasint,omitempty"`
	Took    uint32 `cbor:"4,keyasint,omitempty"`
}

// Report is the message that carries the broken sends and the trials of a request between
// hosts. Without any, it clears the request. Trials is the number of trials, TrialAge the
// time since the latest one in milliseconds.
type Report struct {
	Request  Fingerprint  `cbor:"1,keyasint"`
	Breaks   []BrokenSend `cbor:"2,keyasint,omitempty"`
	Trials   int          `cbor:"3,keyasint,omitempty"`
	TrialAge uint32       `cbor:"4,keyasint,omitempty"`
}

// isClear reports whether the report clears the request.
func (r Report) isClear() bool { return len(r.Breaks) == 0 && r.Trials == 0 }

// maxBrokenSends bounds the broken sends that are kept of a request.
const maxBrokenSends = 2 * maxCrashes

// Check returns a *wire.FieldError for an empty fingerprint, which the error calls
// Print, for more than maxBrokenSends broken sends or more than maxTrials trials.
func (r Report) Check() error {
	if r.Request == (Fingerprint{}) {
		return &wire.FieldError{Type: "poison.Report", Field: "Print", Reason: "is empty"}
	}
	if len(r.Breaks) > maxBrokenSends {
		return &wire.FieldError{Type: "poison.Report", Field: "Breaks", Reason: "is too long"}
	}
	if r.Trials < 0 || r.Trials > maxTrials {
		return &wire.FieldError{Type: "poison.Report", Field: "Trials", Reason: "is out of range"}
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

	mu       sync.Mutex
	known    map[Fingerprint]*suspect
	inFlight map[*sendInFlight]struct{}
}

// suspect is a request with broken sends, or a conviction.
type suspect struct {
	sends          []datedSend // oldest first
	convictedUntil time.Time
	trials         int       // rule 4
	triedAt        time.Time // of the latest trial, before the first one that of the conviction
}

// sendInFlight is a send that has not ended.
type sendInFlight struct {
	request Fingerprint
	server  Server
	began   time.Time
	silent  bool // Silent has returned it
}

// Begin records a send in flight, for rule 5 and for Silent. The caller calls end when the
// send has ended.
func (c *CrashCounter) Begin(now time.Time, fp Fingerprint, server Server) (end func()) {
	send := &sendInFlight{request: fp, server: server, began: now}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight == nil {
		c.inFlight = map[*sendInFlight]struct{}{}
	}
	c.inFlight[send] = struct{}{}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.inFlight, send)
	}
}

// RecordGone applies rule 5 after servers have restarted or are gone, and returns the reports
// of the requests that it concerns for the other hosts.
func (c *CrashCounter) RecordGone(now time.Time) []Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	var reports []Report
	for send := range c.inFlight {
		if c.IsRunning(send.server) {
			continue
		}
		delete(c.inFlight, send)
		c.add(now, send.request, datedSend{BrokenSend{Server: send.server, Crashed: true}, now, send.began})
		reports = append(reports, c.report(now, send.request))
	}
	return reports
}

// SilentSend is a send in flight whose server may have crashed.
type SilentSend struct {
	Request Fingerprint
	Server  Server
	Began   time.Time
}

// Silent returns the sends that have been in flight for silenceLimit, of requests with
// several sends in flight, and that it has not returned before. A request with a long time
// limit, of which each repeat crashes a server without a sign, would otherwise be noticed
// too late.
func (c *CrashCounter) Silent(now time.Time) []SilentSend {
	c.mu.Lock()
	defer c.mu.Unlock()
	sends := map[Fingerprint]int{}
	for send := range c.inFlight {
		sends[send.request]++
	}
	var silent []SilentSend
	for send := range c.inFlight {
		if !send.silent && sends[send.request] > 1 && now.Sub(send.began) >= silenceLimit {
			send.silent = true
			silent = append(silent, SilentSend{send.request, send.server, send.began})
		}
	}
	return silent
}

// datedSend is a broken send with its times by the clock of this host: when it was recorded
// and when it began.
type datedSend struct {
	BrokenSend
	at, began time.Time
}

// Record records a broken send and returns the report of the request for the other
// hosts.
func (c *CrashCounter) Record(now time.Time, fp Fingerprint, server Server, began time.Time) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.add(now, fp, datedSend{BrokenSend{Server: server}, now, began})
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
	if report.isClear() {
		delete(c.known, report.Request)
	}
	for _, send := range report.Breaks {
		age := min(time.Duration(send.Age)*time.Millisecond, SuspectTTL)
		at := now.Add(-age)
		c.add(now, report.Request, datedSend{send, at, at.Add(-time.Duration(send.Took) * time.Millisecond)})
	}
	if known := c.known[report.Request]; known != nil && report.Trials > known.trials {
		age := min(time.Duration(report.TrialAge)*time.Millisecond, ConvictionTTL)
		known.trials, known.triedAt = report.Trials, now.Add(-age)
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
		if report := c.report(now, fp); !report.isClear() && len(all.List) < maxReports {
			all.List = append(all.List, report)
		}
	}
	return all
}

// Admit permits one send of a request now, by rules 3 and 4, or returns an error. If the
// send is a trial, it also returns the report for the other hosts.
func (c *CrashCounter) Admit(now time.Time, fp Fingerprint) (trial *Report, refused *ConvictedError) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if refused := c.check(now, fp); refused != nil {
		return nil, refused
	}
	known := c.known[fp]
	if known == nil || !now.Before(known.convictedUntil) {
		return nil, nil
	}
	known.trials++
	known.triedAt = now
	report := c.report(now, fp)
	return &report, nil
}

// Check returns nil if Admit would permit a send now.
func (c *CrashCounter) Check(now time.Time, fp Fingerprint) *ConvictedError {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.check(now, fp)
}

// check implements Check; the caller holds the lock.
func (c *CrashCounter) check(now time.Time, fp Fingerprint) *ConvictedError {
	known := c.known[fp]
	if known == nil {
		return nil
	}
	if now.Before(known.convictedUntil) {
		return known.refusal(now)
	}
	if !known.convictedUntil.IsZero() { // it has expired
		known.convictedUntil, known.trials = time.Time{}, 0
	}
	c.decide(now, fp, known)
	counted, crashes := 0, 0
	var verdict time.Time // when the latest undecided send is decided
	for _, send := range known.sends {
		if len(known.sends) >= maxCrashes && c.crashedBefore(fp, known, send) {
			continue
		}
		counted++
		if send.Crashed {
			crashes++
		} else {
			verdict = send.at.Add(verdictTime)
		}
	}
	switch {
	case crashes >= maxCrashes:
		known.convictedUntil = now.Add(ConvictionTTL)
		if known.trials == 0 { // else another host has convicted it before
			known.triedAt = now
		}
		return known.refusal(now)
	case counted >= maxCrashes && now.Before(verdict):
		return &ConvictedError{RetryAfter: verdict.Sub(now)}
	}
	return nil
}

// crashedBefore reports whether the server of a broken send was sent another request before
// that has at least as many broken sends. The caller holds the lock.
func (c *CrashCounter) crashedBefore(fp Fingerprint, known *suspect, send datedSend) bool {
	for otherFP, other := range c.known {
		if otherFP == fp || len(other.sends) < len(known.sends) {
			continue
		}
		for _, earlier := range other.sends {
			if earlier.Server == send.Server && earlier.began.Before(send.began) {
				return true
			}
		}
	}
	return false
}

// refusal returns the error for a convicted request, or nil if a trial is due (rule 4).
func (s *suspect) refusal(now time.Time) *ConvictedError {
	until := s.convictedUntil
	if s.trials < maxTrials {
		wait := firstTrialDelay
		for range s.trials {
			wait *= trialDelayFactor
		}
		until = s.triedAt.Add(wait)
	}
	if decided := s.triedAt.Add(firstTrialDelay); s.trials > 0 && now.Before(decided) {
		until = decided // the trial in flight may clear the request
	}
	if !now.Before(until) {
		return nil
	}
	return &ConvictedError{RetryAfter: until.Sub(now)}
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
		if report.Trials = known.trials; known.trials > 0 {
			report.TrialAge = uint32(max(0, now.Sub(known.triedAt).Milliseconds()))
		}
		for _, send := range known.sends {
			send.Age = uint32(max(0, now.Sub(send.at).Milliseconds()))
			send.Took = uint32(max(0, send.at.Sub(send.began).Milliseconds()))
			report.Breaks = append(report.Breaks, send.BrokenSend)
		}
	}
	return report
}
