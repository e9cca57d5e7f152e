package lease

import (
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/commit"
)

// sessionPhase is the step at which a Session is.
type sessionPhase uint8

const (
	sessionClosed  sessionPhase = iota // no session
	sessionReading                     // reads the version of the object to replace
	sessionWriting                     // writes a new session or a renewal
	sessionOpen                        // renewed every Config.Renew while wanted
)

// Session is the state machine that opens and renews a host's session. It is a value
// without clock or I/O: Next returns the call to make and Apply takes its answer. Set
// Host, Incarnation and Config; the other fields start at zero.
type Session struct {
	Host        string
	Incarnation uint64
	Config      Config
	phase       sessionPhase
	accepted    bool          // the store has accepted a write with this serial
	serial      uint64        // counts the sessions of this process
	renewal     uint64        // counts the renewals of the session
	version     uint64        // of the session's object, which the next write replaces
	renewalSent time.Duration // when the latest renewal that was not refused was first sent
	validUntil  time.Duration // end of the validity by the last renewal that took effect
	update      commit.Update // the write under way
}

// Key returns the key of the session's object.
func (s Session) Key() string { return SessionPrefix + s.Host }

// ValidUntil returns the end of the session's validity, and whether the session is valid
// now.
func (s Session) ValidUntil(now time.Duration) (time.Duration, bool) {
	return s.validUntil, s.accepted && now < s.validUntil
}

// Serial returns the serial of the session and whether the store has accepted it, even
// if its validity has ended.
func (s Session) Serial() (uint64, bool) { return s.serial, s.accepted }

// Next returns the call to make now, if any. wanted is whether the host
// holds a duty or is about to take one.
func (s Session) Next(wanted bool, now time.Duration) (Session, commit.Call, bool) {
	switch s.phase {
	case sessionClosed:
		if !wanted {
			return s, commit.Call{}, false
		}
		s.phase = sessionReading
	case sessionOpen:
		if !wanted || now < s.renewalSent+s.Config.withDefaults().Renew {
			return s, commit.Call{}, false
		}
		s = s.startRenewal(now)
	case sessionReading, sessionWriting:
	}
	if s.phase == sessionReading {
		return s, commit.Call{Op: commit.Get, Key: s.Key()}, true
	}
	return s, s.update.Call(), true
}

// startRenewal starts the next renewal. Its validity counts from now, even if the update
// has to be sent again.
func (s Session) startRenewal(now time.Duration) Session {
	s.renewal++
	record := SessionRecord{Host: s.Host, Incarnation: s.Incarnation, Serial: s.serial, Renewal: s.renewal}
	s.update = commit.New(s.Key(), encode(record), s.version)
	s.phase = sessionWriting
	s.renewalSent = now
	return s
}

// Apply returns the session after the answer to the call that Next returned.
func (s Session) Apply(answer commit.Answer, now time.Duration) Session {
	switch s.phase {
	case sessionReading:
		return s.applyRead(answer, now)
	case sessionWriting:
		s.update = s.update.Apply(answer)
		return s.applyWrite()
	case sessionClosed, sessionOpen:
	}
	return s
}

// applyRead starts a new session, which replaces the one found in the store. An earlier
// process of this host thereby loses its session as if it were expelled.
func (s Session) applyRead(answer commit.Answer, now time.Duration) Session {
	switch answer.Kind {
	case commit.OK:
		s.version = answer.Version
		record, _ := decode[SessionRecord](answer.Value)
		if record.Incarnation > s.Incarnation {
			s.phase = sessionClosed // a later process of this host has the session
			return s
		}
	case commit.NotFound:
		s.version = 0
	default:
		s.phase = sessionClosed
		return s
	}
	s.serial++
	s.renewal = 0
	return s.startRenewal(now)
}

// applyWrite extends the validity if the renewal took effect, and closes the session if
// another host or process changed its object. A refused renewal is due again at once, since
// renewals are due one Config.Renew after the last one that took effect. A refused first
// write closes the session.
func (s Session) applyWrite() Session {
	switch s.update.State {
	case commit.Won:
		s.phase = sessionOpen
		s.accepted = true
		s.version = s.update.Version
		s.validUntil = s.renewalSent + s.Config.withDefaults().ValidFor()
	case commit.Lost:
		s.phase = sessionClosed
		s.accepted = false
	case commit.Refused:
		s.phase = sessionClosed
		if s.accepted {
			s.phase = sessionOpen
			s.renewalSent = s.validUntil - s.Config.withDefaults().ValidFor()
		}
	case commit.Unresolved:
	}
	return s
}
