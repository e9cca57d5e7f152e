package lease

import (
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/commit"
)

type dutyPhase uint8

const (
	dutyReading   dutyPhase = iota // the duty's object
	dutyWatching                   // the holder's session
	dutyExpelling                  // rule 4
	dutyWaiting                    // rule 5
	dutyTaking                     // rule 6
	dutyHeld
	dutyStopping // held no longer, orders may be in flight
	dutyReleasing
)

// Duty is a host's part in one duty: a value without clock or I/O. Set the
// exported fields; the rest starts at zero.
type Duty struct {
	Name        string
	Host        string
	Incarnation uint64
	Config      Config

	phase   dutyPhase
	next    time.Duration // no call before this instant
	version uint64        // of the duty's object as seen
	record  DutyRecord
	seen    uint64        // version of the holder's session
	session SessionRecord // as seen at that version
	silent  time.Duration // since when that version stands
	free    time.Duration // end of the wait of rule 5
	serial  uint64        // own session named by the duty's object
	update  commit.Update
}

// Key returns the key of the duty's object.
func (d Duty) Key() string { return DutyPrefix + d.Name }

// NeedsSession says whether the duty needs the host's session to be renewed.
func (d Duty) NeedsSession(now time.Duration) bool {
	switch d.phase {
	case dutyTaking, dutyHeld, dutyStopping, dutyReleasing:
		return true
	case dutyWaiting:
		return now >= d.free
	default:
		return false
	}
}

// Held returns the grant of the duty if the host holds it now.
func (d Duty) Held(session Session, now time.Duration) (Grant, bool) {
	serial, open := session.Serial()
	if d.phase != dutyHeld || !open || serial != d.serial {
		return Grant{}, false
	}
	until, believed := session.ValidUntil(now)
	return Grant{Epoch: d.record.Epoch, Until: until}, believed
}

// Release starts to give up the duty. Held is false from now on.
func (d Duty) Release(now time.Duration) Duty {
	if d.phase == dutyHeld {
		d.phase = dutyStopping
		config := d.Config.filled()
		d.next = now + config.OrderTimeout + config.Margin // rule 8
	}
	return d
}

// Idle says whether the host has no part in the duty that it should give up.
func (d Duty) Idle() bool { return d.phase < dutyTaking }

// Next returns the call to make now, if any. contend says whether the host may
// take the duty.
func (d Duty) Next(session Session, contend bool, now time.Duration) (Duty, commit.Call, bool) {
	d = d.lapse(session)
	if now < d.next || d.Idle() && !contend {
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

// lapse forgets a duty whose session is over.
func (d Duty) lapse(session Session) Duty {
	serial, open := session.Serial()
	over := !open || serial != d.serial
	if over && (d.phase == dutyHeld || d.phase == dutyStopping) {
		return d.reset()
	}
	return d
}

// reset starts again from the duty's object.
func (d Duty) reset() Duty {
	return Duty{Name: d.Name, Host: d.Host, Incarnation: d.Incarnation, Config: d.Config, next: d.next}
}

func (d Duty) take(session Session, now time.Duration) (Duty, commit.Call, bool) {
	_, believed := session.ValidUntil(now)
	if now < d.free || !believed {
		return d, commit.Call{}, false
	}
	d.serial, _ = session.Serial()
	record := DutyRecord{
		Duty: d.Name, Epoch: d.record.Epoch + 1,
		Host: session.Host, Incarnation: session.Incarnation, Serial: d.serial,
	}
	d.phase = dutyTaking
	d.update = commit.New(d.Key(), encode(record), d.version)
	return d, d.update.Call(), true
}
