package lease

import (
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/commit"
)

type sessionPhase uint8

const (
	sessionClosed  sessionPhase = iota
	sessionReading              // looking for the version to replace
	sessionWriting              // a renewal or the opening is under way
	sessionOpen
)

// Session is a host's session: a value without clock or I/O. Set Host,
// Incarnation and Config; the rest starts at zero.
type Session struct {
	Host        string
	Incarnation uint64
	Config      Config
	phase       sessionPhase
	opened      bool // the platform has accepted this serial
	serial      uint64
	renewal     uint64
	version     uint64
	sent        time.Duration // when the update under way was first sent
	until       time.Duration // end of the belief
	update      commit.Update
}

// Key returns the key of the session's object.
func (s Session) Key() string { return SessionPrefix + s.Host }

// ValidUntil returns the end of the belief in the session, and whether it is
// still ahead.
func (s Session) ValidUntil(now time.Duration) (time.Duration, bool) {
	return s.until, s.opened && now < s.until
}

// Serial returns the serial of the session and whether it is open, believed
// or not.
func (s Session) Serial() (uint64, bool) { return s.serial, s.opened }

// Next returns the call to make now, if any. wanted says whether the host
// holds a duty or is about to take one.
func (s Session) Next(wanted bool, now time.Duration) (Session, commit.Call, bool) {
	switch s.phase {
	case sessionClosed:
		if !wanted {
			return s, commit.Call{}, false
		}
		s.phase = sessionReading
	case sessionOpen:
		if !wanted || now < s.sent+s.Config.filled().Renew {
			return s, commit.Call{}, false
		}
		s = s.write(now)
	case sessionReading, sessionWriting:
	}
	if s.phase == sessionReading {
		return s, commit.Call{Op: commit.Get, Key: s.Key()}, true
	}
	return s, s.update.Call(), true
}

// write starts the next renewal. The belief counts from here, also when the
// update has to be sent again.
func (s Session) write(now time.Duration) Session {
	s.renewal++
	record := SessionRecord{Host: s.Host, Incarnation: s.Incarnation, Serial: s.serial, Renewal: s.renewal}
	s.update = commit.New(s.Key(), encode(record), s.version)
	s.phase = sessionWriting
	s.sent = now
	return s
}

// Apply returns the session after the answer to its call.
func (s Session) Apply(answer commit.Answer, now time.Duration) Session {
	switch s.phase {
	case sessionReading:
		return s.found(answer, now)
	case sessionWriting:
		s.update = s.update.Apply(answer)
		return s.settled()
	case sessionClosed, sessionOpen:
	}
	return s
}

// found opens a new session over whatever stands. An earlier process of this
// host loses its session by that, as if it were expelled.
func (s Session) found(answer commit.Answer, now time.Duration) Session {
	switch answer.Kind {
	case commit.OK:
		s.version = answer.Version
		record, _ := decode[SessionRecord](answer.Value)
		if record.Incarnation > s.Incarnation {
			s.phase = sessionClosed // a later process of this host took over
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
	return s.write(now)
}

func (s Session) settled() Session {
	switch s.update.State {
	case commit.Won:
		s.phase = sessionOpen
		s.opened = true
		s.version = s.update.Version
		s.until = s.sent + s.Config.filled().ValidFor()
	case commit.Lost:
		s.phase = sessionClosed
		s.opened = false
	case commit.Refused:
		s.phase = sessionClosed
		if s.opened {
			s.phase = sessionOpen
			s.sent = s.until - s.Config.filled().ValidFor()
		}
	case commit.Unresolved:
	}
	return s
}
