package lease

import (
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/commit"
)

// dutyPhase is the step at which a Duty is.
type dutyPhase uint8

const (
	dutyReading   dutyPhase = iota // reads the duty's object
	dutyWatching                   // reads the holder's session until it is silent for Term
	dutyExpelling                  // marks the holder's session expelled, rule 4
	dutyWaiting                    // waits for the old lease to end, rule 5
	dutyTaking                     // writes this host into the duty's object, rule 6
	dutyHeld                       // this host holds the duty
	dutyStopping                   // no longer held, orders may still be in flight, rule 8
	dutyReleasing                  // removes this host from the duty's object
)

// Duty is the state machine by which a host takes, holds and releases one duty. It is a
// value without clock or I/O: Next returns the call to make and Apply takes its answer. Set
// the exported fields; the other fields start at zero.
type Duty struct {
	Name        string
	Host        string
	Incarnation uint64
	Config      Config

	phase          dutyPhase
	nextCall       time.Duration // no call before this instant
	version        uint64        // of the duty's object when it was read
	record         DutyRecord    // read at that version
	sessionVersion uint64        // latest version seen of the holder's session, zero for none
	session        SessionRecord // read at that version
	unchangedSince time.Duration // when that version was first seen
	freeAt         time.Duration // end of the wait of rule 5
	ownSerial      uint64        // serial of the own session in which the duty is held
	update         commit.Update // the write under way
}

// Key returns the key of the duty's object.
func (d Duty) Key() string { return DutyPrefix + d.Name }

// NeedsSession reports whether the duty needs the host's session to be renewed.
func (d Duty) NeedsSession(now time.Duration) bool {
	switch d.phase {
	case dutyTaking, dutyHeld, dutyStopping, dutyReleasing:
		return true
	case dutyWaiting:
		return now >= d.freeAt
	default:
		return false
	}
}

// Held returns the grant of the duty, and whether the host holds it now.
func (d Duty) Held(session Session, now time.Duration) (Grant, bool) {
	serial, open := session.Serial()
	if d.phase != dutyHeld || !open || serial != d.ownSerial {
		return Grant{}, false
	}
	until, valid := session.ValidUntil(now)
	return Grant{Epoch: d.record.Epoch, Until: until}, valid
}

// Release starts to give up the duty if the host holds it, and Held then returns false. It
// does not change a duty that is being taken.
func (d Duty) Release(now time.Duration) Duty {
	if d.phase == dutyHeld {
		d.phase = dutyStopping
		config := d.Config.withDefaults()
		d.nextCall = now + config.OrderTimeout + config.Margin // rule 8
	}
	return d
}

// Idle reports whether the host neither holds the duty nor is taking or releasing it.
func (d Duty) Idle() bool { return d.phase < dutyTaking }

// Next returns the call to make now, if any. contend is whether the host may
// take the duty.
func (d Duty) Next(session Session, contend bool, now time.Duration) (Duty, commit.Call, bool) {
	d = d.resetIfEnded(session)
	if now < d.nextCall || d.Idle() && !contend {
		return d, commit.Call{}, false
	}
	switch d.phase {
	case dutyReading:
		return d, commit.Call{Op: commit.Get, Key: d.Key()}, true
	case dutyWatching:
		return d, commit.Call{Op: commit.Get, Key: SessionPrefix + d.record.Host}, true
	case dutyWaiting:
		return d.take(session, now)
	case dutyStopping:
		d.phase = dutyReleasing
		d.update = commit.New(d.Key(), encode(DutyRecord{Duty: d.Name, Epoch: d.record.Epoch}), d.version)
		return d, d.update.Call(), true
	case dutyExpelling, dutyTaking, dutyReleasing:
		return d, d.update.Call(), true
	default:
		return d, commit.Call{}, false
	}
}

// resetIfEnded starts again from the duty's object if the session in which the duty was
// held has ended.
func (d Duty) resetIfEnded(session Session) Duty {
	serial, open := session.Serial()
	ended := !open || serial != d.ownSerial
	if ended && (d.phase == dutyHeld || d.phase == dutyStopping) {
		return d.reset()
	}
	return d
}

// reset returns the duty in its first phase, which reads the duty's object.
func (d Duty) reset() Duty {
	return Duty{Name: d.Name, Host: d.Host, Incarnation: d.Incarnation, Config: d.Config, nextCall: d.nextCall}
}

// take starts the update that makes this host the holder, once the wait of rule 5 is
// over and the host's session is valid.
func (d Duty) take(session Session, now time.Duration) (Duty, commit.Call, bool) {
	_, valid := session.ValidUntil(now)
	if now < d.freeAt || !valid {
		return d, commit.Call{}, false
	}
	d.ownSerial, _ = session.Serial()
	record := DutyRecord{
		Duty: d.Name, Epoch: d.record.Epoch + 1,
		Host: session.Host, Incarnation: session.Incarnation, Serial: d.ownSerial,
	}
	d.phase = dutyTaking
	d.update = commit.New(d.Key(), encode(record), d.version)
	return d, d.update.Call(), true
}
