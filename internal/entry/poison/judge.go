package poison

import (
	"slices"
	"time"
)

// Crash is one crash of a backend server. Alone says that its only request was
// running alone there, with no other work by any known count.
type Crash struct {
	Running []Fingerprint
	Alone   bool
}

// RecordCrash marks the requests of a crash and returns the new or renewed marks,
// which the host spreads at once (rules 1 and 3).
func (l *SuspectTable) RecordCrash(now time.Time, crash Crash) []Mark {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	changed := make([]Mark, 0, len(crash.Running))
	for _, fp := range crash.Running {
		known := l.marks[fp]
		convict := known != nil && (known.convicted || crash.Alone && len(crash.Running) == 1)
		changed = append(changed, l.set(now, fp, convict))
	}
	return changed
}

// Clear frees a suspect after a whole answer (rule 2). A conviction stays.
func (l *SuspectTable) Clear(fp Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m := l.marks[fp]; m != nil && !m.convicted {
		delete(l.marks, fp)
	}
}

// Merge takes in marks of another host. A conviction outweighs a suspicion,
// and the longer time counts. It returns the marks that were news here.
func (l *SuspectTable) Merge(now time.Time, marks []Mark) []Mark {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	var news []Mark
	for _, m := range marks {
		until := now.Add(time.Duration(m.TTLMillis) * time.Millisecond)
		known := l.marks[m.Request]
		if known == nil || m.Convicted && !known.convicted {
			l.put(m.Request, &mark{convicted: m.Convicted, until: until})
			news = append(news, m)
			continue
		}
		if m.Convicted == known.convicted && until.After(known.until) {
			known.until = until
		}
	}
	return news
}

func (l *SuspectTable) set(now time.Time, fp Fingerprint, convicted bool) Mark {
	keep := SuspectTTL
	if convicted {
		keep = ConvictionTTL
	}
	l.put(fp, &mark{convicted: convicted, until: now.Add(keep)})
	return Mark{Request: fp, Convicted: convicted, TTLMillis: uint32(keep / time.Millisecond)}
}

func (l *SuspectTable) put(fp Fingerprint, m *mark) {
	if l.marks == nil {
		l.marks = make(map[Fingerprint]*mark)
	}
	if _, known := l.marks[fp]; !known && len(l.marks) >= maxMarks {
		l.dropOldest()
	}
	l.marks[fp] = m
}

func (l *SuspectTable) dropOldest() {
	var oldest Fingerprint
	var until time.Time
	for fp, m := range l.marks {
		if until.IsZero() || m.until.Before(until) {
			oldest, until = fp, m.until
		}
	}
	delete(l.marks, oldest)
}

func (l *SuspectTable) expire(now time.Time) {
	for fp, m := range l.marks {
		if !now.Before(m.until) {
			delete(l.marks, fp)
		}
	}
}

// Admit says how a request may run. With Refuse, the error tells the caller.
func (l *SuspectTable) Admit(now time.Time, fp Fingerprint) (Verdict, *ConvictedError) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.marks[fp]
	switch {
	case m == nil || !now.Before(m.until):
		return Run, nil
	case m.convicted:
		return Refuse, &ConvictedError{RetryAfter: m.until.Sub(now)}
	}
	return Solo, nil
}

// Marks returns every mark in force, ordered by fingerprint, for a host that
// joins and for the regular exchange.
func (l *SuspectTable) Marks(now time.Time) []Mark {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	marks := make([]Mark, 0, len(l.marks))
	for fp, m := range l.marks {
		marks = append(marks, Mark{Request: fp, Convicted: m.convicted, TTLMillis: uint32(m.until.Sub(now) / time.Millisecond)})
	}
	slices.SortFunc(marks, func(a, b Mark) int { return slices.Compare(a.Request[:], b.Request[:]) })
	return marks
}
