package lease

import (
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/commit"
)

// Apply returns the duty after the answer to the call that Next returned.
func (d Duty) Apply(answer commit.Answer, now time.Duration) Duty {
	switch d.phase {
	case dutyReading:
		return d.applyDutyRead(answer, now)
	case dutyWatching:
		return d.applySessionRead(answer, now)
	case dutyExpelling:
		d.update = d.update.Apply(answer)
		return d.applyExpulsion(now)
	case dutyTaking:
		d.update = d.update.Apply(answer)
		return d.applyTaking()
	case dutyReleasing:
		d.update = d.update.Apply(answer)
		return d.applyRelease(now)
	default:
		return d
	}
}

// applyDutyRead decides by the duty's object whether to wait for the duty or to watch its
// holder's session.
func (d Duty) applyDutyRead(answer commit.Answer, now time.Duration) Duty {
	d.nextCall = now + d.Config.withDefaults().Poll
	if answer.Kind == commit.NotFound {
		d.version, d.record = 0, DutyRecord{}
		return d.startWait(now) // nobody has held it yet; if the read was old, the update will fail
	}
	if answer.Kind != commit.OK {
		return d
	}
	record, ok := decode[DutyRecord](answer.Value)
	if !ok {
		return d
	}
	if answer.Version != d.version {
		d.sessionVersion = 0
	}
	d.version, d.record = answer.Version, record
	if record.Host == "" {
		return d.startWait(now) // rule 8
	}
	if d.namesEndedProcess(record) {
		return d.startWait(now + d.Config.withDefaults().OrderTimeout) // rule 9
	}
	d.phase = dutyWatching
	d.nextCall = now
	return d
}

// namesEndedProcess reports whether a record names an earlier process of this host that
// is known to have ended.
func (d Duty) namesEndedProcess(record DutyRecord) bool {
	return d.Config.SingleProcess && record.Host == d.Host && record.Incarnation < d.Incarnation
}

// startWait starts the wait before this host takes the duty. It ends at the instant freeAt,
// which depends on how the last holder ended (rules 5, 8 and 9).
func (d Duty) startWait(freeAt time.Duration) Duty {
	d.phase = dutyWaiting
	d.freeAt = freeAt
	d.nextCall = freeAt
	return d
}

// applySessionRead starts the wait for the duty if the holder's session has ended, and
// otherwise checks how long it has not been renewed.
func (d Duty) applySessionRead(answer commit.Answer, now time.Duration) Duty {
	config := d.Config.withDefaults()
	d.phase = dutyReading
	d.nextCall = now + config.Poll
	if answer.Kind != commit.OK {
		return d // no answer, or possibly an old one: rule 7
	}
	session, ok := decode[SessionRecord](answer.Value)
	if !ok {
		return d
	}
	if !d.record.heldIn(session) {
		if answer.Version > d.version {
			return d.startWait(now + config.TakeoverWait()) // the session was replaced, rule 7
		}
		return d
	}
	if session.Expelled != "" {
		return d.startWait(now + config.TakeoverWait())
	}
	return d.observeSession(answer.Version, session, now)
}

// observeSession starts the expulsion of a session that has stayed at one version for
// Config.Term.
func (d Duty) observeSession(version uint64, session SessionRecord, now time.Duration) Duty {
	if version > d.sessionVersion {
		d.sessionVersion, d.session, d.unchangedSince = version, session, now
		return d
	}
	if version < d.sessionVersion || now < d.unchangedSince+d.Config.withDefaults().Term {
		return d
	}
	return d.startExpulsion(now)
}

// startExpulsion starts the update that marks the silent session expelled (rule 4).
func (d Duty) startExpulsion(now time.Duration) Duty {
	marked := d.session
	marked.Expelled = d.Name
	d.phase = dutyExpelling
	d.nextCall = now
	d.update = commit.New(SessionPrefix+marked.Host, encode(marked), d.sessionVersion)
	return d
}

// applyExpulsion starts the wait after an expulsion, and reads the duty's object again if
// the session changed or the update was refused.
func (d Duty) applyExpulsion(now time.Duration) Duty {
	switch d.update.State {
	case commit.Won:
		return d.startWait(max(now, d.unchangedSince+d.Config.withDefaults().TakeoverWait()))
	case commit.Lost, commit.Refused:
		d.phase = dutyReading
		d.nextCall = now
	case commit.Unresolved:
	}
	return d
}

// applyTaking makes the host the holder if its update of the duty's object took effect. If
// the update was refused, the host tries again; if another one took effect, it starts again.
func (d Duty) applyTaking() Duty {
	switch d.update.State {
	case commit.Won:
		d.phase = dutyHeld
		d.version = d.update.Version
		d.record, _ = decode[DutyRecord](d.update.Value)
		d.sessionVersion = 0
	case commit.Lost:
		return d.reset()
	case commit.Refused:
		d.phase = dutyWaiting
	case commit.Unresolved:
	}
	return d
}

// applyRelease starts again from the duty's object after the release, and repeats a
// release that was refused.
func (d Duty) applyRelease(now time.Duration) Duty {
	switch d.update.State {
	case commit.Won, commit.Lost:
		d.nextCall = now + d.Config.withDefaults().Poll
		return d.reset()
	case commit.Refused:
		d.phase = dutyStopping
		d.nextCall = now + d.Config.withDefaults().Poll
	case commit.Unresolved:
	}
	return d
}
