package lease

import (
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/commit"
)

// Apply returns the duty after the answer to its call.
func (d Duty) Apply(answer commit.Answer, now time.Duration) Duty {
	switch d.phase {
	case dutyReading:
		return d.readDuty(answer, now)
	case dutyWatching:
		return d.readSession(answer, now)
	case dutyExpelling:
		d.update = d.update.Apply(answer)
		return d.expelled(now)
	case dutyTaking:
		d.update = d.update.Apply(answer)
		return d.taken()
	case dutyReleasing:
		d.update = d.update.Apply(answer)
		return d.released(now)
	default:
		return d
	}
}

func (d Duty) readDuty(answer commit.Answer, now time.Duration) Duty {
	d.next = now + d.Config.filled().Poll
	if answer.Kind == commit.NotFound {
		d.version, d.record = 0, DutyRecord{}
		return d.wait(now) // nobody has ever held it, or the update will fail
	}
	if answer.Kind != commit.OK {
		return d
	}
	record, ok := decode[DutyRecord](answer.Value)
	if !ok {
		return d
	}
	if answer.Version != d.version {
		d.seen = 0
	}
	d.version, d.record = answer.Version, record
	if record.Host == "" {
		return d.wait(now) // rule 8
	}
	if d.isEarlier(record) {
		return d.wait(now + d.Config.filled().OrderTimeout) // rule 9
	}
	d.phase = dutyWatching
	d.next = now
	return d
}

// isEarlier says whether a record names an earlier process of this host that is
// known to have ended.
func (d Duty) isEarlier(record DutyRecord) bool {
	return d.Config.SingleProcess && record.Host == d.Host && record.Incarnation < d.Incarnation
}

// wait goes to the wait of rule 5 with its end at the instant free.
func (d Duty) wait(free time.Duration) Duty {
	d.phase = dutyWaiting
	d.free = free
	d.next = free
	return d
}

func (d Duty) readSession(answer commit.Answer, now time.Duration) Duty {
	config := d.Config.filled()
	d.phase = dutyReading
	d.next = now + config.Poll
	if answer.Kind != commit.OK {
		return d // an old read, or none: rule 7
	}
	session, ok := decode[SessionRecord](answer.Value)
	if !ok {
		return d
	}
	if !d.record.names(session) {
		if answer.Version > d.version {
			return d.wait(now + config.TakeoverWait()) // replaced, rule 7
		}
		return d
	}
	if session.Expelled != "" {
		return d.wait(now + config.TakeoverWait())
	}
	return d.watch(answer.Version, session, now)
}

func (d Duty) watch(version uint64, session SessionRecord, now time.Duration) Duty {
	if version > d.seen {
		d.seen, d.session, d.silent = version, session, now
		return d
	}
	if version < d.seen || now < d.silent+d.Config.filled().Term {
		return d
	}
	return d.expel(now)
}

// expel marks the session that was silent. Rule 4.
func (d Duty) expel(now time.Duration) Duty {
	mark := d.session
	mark.Expelled = d.Name
	d.phase = dutyExpelling
	d.next = now
	d.update = commit.New(SessionPrefix+mark.Host, encode(mark), d.seen)
	return d
}

func (d Duty) expelled(now time.Duration) Duty {
	switch d.update.State {
	case commit.Won:
		return d.wait(max(now, d.silent+d.Config.filled().TakeoverWait()))
	case commit.Lost, commit.Refused:
		d.phase = dutyReading
		d.next = now
	case commit.Unresolved:
	}
	return d
}

func (d Duty) taken() Duty {
	switch d.update.State {
	case commit.Won:
		d.phase = dutyHeld
		d.version = d.update.Version
		d.record, _ = decode[DutyRecord](d.update.Value)
		d.seen = 0
	case commit.Lost:
		return d.reset()
	case commit.Refused:
		d.phase = dutyWaiting
	case commit.Unresolved:
	}
	return d
}

func (d Duty) released(now time.Duration) Duty {
	switch d.update.State {
	case commit.Won, commit.Lost:
		d.next = now + d.Config.filled().Poll
		return d.reset()
	case commit.Refused:
		d.phase = dutyStopping
		d.next = now + d.Config.filled().Poll
	case commit.Unresolved:
	}
	return d
}
