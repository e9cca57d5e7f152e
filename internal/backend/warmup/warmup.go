// Package warmup decides whether a host may send a request to a server that is cold: one
// that has started recently and takes only a few requests per second until it is warm. A
// server that gets many more crashes, so that the limit holds for all hosts together. It
// addresses the load on one server; how requests are spread over servers is up to package
// pool.
//
// Rules, by which a host decides from its own knowledge:
//
//  1. Only the host that is first in rank among the possible senders of the service sends to
//     a cold server, and only while its view of the store is recent.
//  2. Each host sends a cold server at most a third of the limit within a window, so that
//     three hosts that disagree about the rank stay within it.
//  3. After a failure, its own or one that another host reports, a host sends nothing until a
//     health check has been answered. A host whose view is old also needs a recent health check
//     of a server that it takes for warm.
//  4. A server that has not answered this host recently gets at most a sixth of the limit
//     within a window, since it may have started again: all owners of batches may begin their
//     steps there at the same time. Recently means a shorter time while
//     the host has no connection to it: the end of a connection would show a new start.
package warmup

import (
	"cmp"
	"time"
)

// Times of the rules.
const (
	// window is the length of the sliding window in which sends are counted. The limit is
	// given per second of arrivals; the rest allows for sends that are delayed on their way.
	window = 1100 * time.Millisecond
	// maxViewAge is the age of the view of the store up to which a host may send to a cold
	// server.
	maxViewAge = 2 * time.Second
	// answerTTL is the age of the latest answer beyond which a server may have started again
	// unnoticed.
	answerTTL = 2500 * time.Millisecond
	// unconnectedTTL is the same without a connection to the server.
	unconnectedTTL = 500 * time.Millisecond
	// staleCheckTTL is the age of the latest health check beyond which a host with an old view
	// checks a server again. Other answers don't show that a server has turned cold.
	staleCheckTTL = time.Second
	// CheckInterval is the minimum time between two health checks of a server.
	CheckInterval = 500 * time.Millisecond
	// listLag is how much older the platform's list may be than a response. Within this time
	// after a response, the list can't shorten the warm-up that the response named.
	listLag = 2500 * time.Millisecond
	// evacuationMargin is added to the warm-up of servers in a zone whose evacuation has
	// ended: their list entries show it late.
	evacuationMargin = 2 * time.Second
	// hostShare is the number of hosts that may each send their share to a cold server before
	// the limit is exceeded.
	hostShare = 3
	// MaxLeft bounds the warm-up that a server may announce.
	MaxLeft = time.Hour
)

// Rules are the limits of a service. The zero value has none.
type Rules struct {
	Rate    float64       // requests per second that a cold server can take; zero means no limit
	Time    time.Duration // how long a server is cold after a start
	Overage float64       // factor on Rate, zero counts as 1; not negative
	Slack   float64       // requests per second beyond that; not negative
}

// Apply reports whether the service has a limit.
func (r Rules) Apply() bool { return r.Rate > 0 }

// Limit returns the number of requests that a cold server may get from all hosts within a
// second.
func (r Rules) Limit() float64 { return r.Rate*cmp.Or(r.Overage, 1) + r.Slack }

// Share returns the number of requests that one host may send to a cold server within a
// second. It is at least 1: a server that nobody may send to never proves to be warm.
func (r Rules) Share() int { return max(1, int(min(r.Limit(), maxLimit)/hostShare)) }

// maxLimit bounds the limit, and with it the sends that are remembered of each server. No
// server takes more requests than that in a second.
const maxLimit = 3000

// View is what a host knows beyond the server itself. Age is the age of its view of the
// store. Rank returns its position, from 0, among the possible senders of the service. Since
// is the time at which the latest evacuation of the server's zone ended, zero for none.
// Connected says that the host has a connection to the server over which it has answered.
type View struct {
	Age       time.Duration
	Rank      func() int
	Since     time.Time
	Connected bool
}

// Decision says whether a request may be sent now, and whether a health check of the server
// has to be started.
type Decision struct {
	Send  bool
	Check bool
}

// State is what a host knows about one server. The zero value is a server that is warm and
// has not answered yet.
type State struct {
	coldUntil  time.Time
	toldAt     time.Time   // time of the latest response that named the warm-up left
	answeredAt time.Time   // time of the latest answer of any kind
	failedAt   time.Time   // time of the latest failure
	checkedAt  time.Time   // start of the latest health check
	healthyAt  time.Time   // start of the latest health check that was answered
	sends      []time.Time // the latest sends, at most one share
	waiting    int         // requests that have been selected and not yet sent
}

// Restarted returns the state of the next start of a server under the same name. Requests
// that were sent to the previous one may have reached it, and a response may have named the
// warm-up before the list shows the start.
func (s *State) Restarted() State {
	return State{sends: s.sends, coldUntil: s.coldUntil, toldAt: s.toldAt}
}

// SetListed records the warm-up left by the platform's list.
func (s *State) SetListed(now time.Time, left time.Duration) {
	until := now.Add(min(left, MaxLeft))
	if !s.toldAt.IsZero() && now.Sub(s.toldAt) < listLag && until.Before(s.coldUntil) {
		return
	}
	s.coldUntil = until
}

// SetTold records the warm-up left by a response of the server. It reports whether the server
// was not known to be cold and is.
func (s *State) SetTold(now time.Time, left time.Duration) (turnedCold bool) {
	turnedCold = left > 0 && !now.Before(s.coldUntil)
	s.coldUntil, s.toldAt = now.Add(min(max(0, left), MaxLeft)), now
	return turnedCold
}

// ColdUntil returns the time until which the server is cold by the given rules.
func (s *State) ColdUntil(r Rules, v View) time.Time {
	if v.Since.IsZero() {
		return s.coldUntil
	}
	if until := v.Since.Add(r.Time + evacuationMargin); until.After(s.coldUntil) {
		return until
	}
	return s.coldUntil
}

// IsCold reports whether the server is cold.
func (s *State) IsCold(now time.Time, r Rules, v View) bool {
	return r.Apply() && now.Before(s.ColdUntil(r, v))
}

// IsSilent reports whether the server has not answered recently (rule 4).
func (s *State) IsSilent(now time.Time, v View) bool {
	if v.Connected {
		return now.Sub(s.answeredAt) > answerTTL
	}
	return now.Sub(s.answeredAt) > unconnectedTTL
}

// Decide applies the rules to a request that is to be selected for the server.
func (s *State) Decide(now time.Time, r Rules, v View) Decision {
	return s.decide(now, r, v, s.waiting)
}

// DecideSend applies the rules to a selected request just before it is sent.
func (s *State) DecideSend(now time.Time, r Rules, v View) Decision { return s.decide(now, r, v, 0) }

// decide applies the rules. Waiting is the number of other requests that count as sent.
func (s *State) decide(now time.Time, r Rules, v View, waiting int) Decision {
	if !r.Apply() {
		return Decision{Send: true}
	}
	checkDue := now.Sub(s.checkedAt) >= CheckInterval
	stale := v.Age > maxViewAge
	if s.CheckNeeded() || stale && now.Sub(s.healthyAt) > staleCheckTTL {
		return Decision{Check: checkDue} // rule 3
	}
	count := s.recent(now, r) + waiting
	switch {
	case s.IsCold(now, r, v):
		return Decision{Send: !stale && count < r.Share() && v.Rank() == 0} // rules 1 and 2
	case s.IsSilent(now, v):
		send := count < max(1, r.Share()/2)
		return Decision{Send: send, Check: !send && checkDue} // rule 4
	}
	return Decision{Send: true}
}

// CheckNeeded reports whether no health check that started after the latest failure has been
// answered.
func (s *State) CheckNeeded() bool { return !s.failedAt.IsZero() && !s.healthyAt.After(s.failedAt) }

// recent returns the number of sends within the window, at most one share.
func (s *State) recent(now time.Time, r Rules) int {
	count := 0
	for _, at := range s.sends[max(0, len(s.sends)-r.Share()):] {
		if now.Sub(at) < window {
			count++
		}
	}
	return count
}

// Select counts a request that has been selected for the server.
func (s *State) Select() { s.waiting++ }

// Unselect takes back Select for a request that has been sent or won't be.
func (s *State) Unselect() { s.waiting = max(0, s.waiting-1) }

// RecordSend records that a request is sent now.
func (s *State) RecordSend(now time.Time, r Rules) {
	if share := r.Share(); len(s.sends) >= share {
		s.sends = append([]time.Time(nil), s.sends[len(s.sends)-share+min(1, share):]...)
	}
	s.sends = append(s.sends, now)
}

// RecordAnswer records that the server has answered a request.
func (s *State) RecordAnswer(now time.Time) { s.answeredAt = now }

// RecordFailure records that a request has failed, or that the server has ended a connection.
func (s *State) RecordFailure(now time.Time) { s.failedAt = now }

// BeginCheck records the start of a health check.
func (s *State) BeginCheck(now time.Time) { s.checkedAt = now }

// EndCheck records that a health check which started at the given time was answered.
func (s *State) EndCheck(now, started time.Time) {
	s.answeredAt, s.healthyAt = now, started
}
