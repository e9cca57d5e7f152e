package poison

import (
	"slices"
	"time"
)

// Crash is one crash of a backend server. Running holds requests of this host that ran
// there; the host may report several in one Crash or in one each. Alone is set if there
// was only one, which was to run alone, and the counts of its home host show no other
// work there.
type Crash struct {
	Running []Fingerprint
	Alone   bool
}

// RecordCrash marks the requests of a crash (rules 1 and 3) and returns their new
// or renewed marks, which the host must send to the others at once. Any crash renews
// the conviction of a request that is already convicted.
func (t *SuspectTable) RecordCrash(now time.Time, crash Crash) []Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	changed := make([]Mark, 0, len(crash.Running))
	for _, fp := range crash.Running {
		known := t.marks[fp]
		convict := known != nil && (known.convicted || crash.Alone && len(crash.Running) == 1)
		changed = append(changed, t.set(now, fp, convict))
	}
	return changed
}

// Clear removes a suspicion after a complete response (rule 2). A conviction stays.
func (t *SuspectTable) Clear(fp Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.marks[fp]; m != nil && !m.convicted {
		delete(t.marks, fp)
	}
}

// Merge merges marks of another host. A conviction overrides a suspicion, and of
// two marks of the same kind the later expiry counts. It returns the marks that are
// new or became convictions here.
func (t *SuspectTable) Merge(now time.Time, marks []Mark) []Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var changed []Mark
	for _, m := range marks {
		expiry := now.Add(time.Duration(m.TTLMillis) * time.Millisecond)
		known := t.marks[m.Request]
		if known == nil || m.Convicted && !known.convicted {
			t.put(m.Request, &mark{convicted: m.Convicted, expiry: expiry})
			changed = append(changed, m)
			continue
		}
		if m.Convicted == known.convicted && expiry.After(known.expiry) {
			known.expiry = expiry
		}
	}
	return changed
}

// set sets the mark of a request with a full TTL and returns it for other hosts.
func (t *SuspectTable) set(now time.Time, fp Fingerprint, convicted bool) Mark {
	ttl := SuspectTTL
	if convicted {
		ttl = ConvictionTTL
	}
	t.put(fp, &mark{convicted: convicted, expiry: now.Add(ttl)})
	return Mark{Request: fp, Convicted: convicted, TTLMillis: uint32(ttl / time.Millisecond)}
}

// put stores a mark, replacing the one that expires first if the table is full.
func (t *SuspectTable) put(fp Fingerprint, m *mark) {
	if t.marks == nil {
		t.marks = make(map[Fingerprint]*mark)
	}
	if _, known := t.marks[fp]; !known && len(t.marks) >= maxMarks {
		t.removeFirstToExpire()
	}
	t.marks[fp] = m
}

// removeFirstToExpire removes the mark with the earliest expiry.
func (t *SuspectTable) removeFirstToExpire() {
	var first Fingerprint
	var expiry time.Time
	for fp, m := range t.marks {
		if expiry.IsZero() || m.expiry.Before(expiry) {
			first, expiry = fp, m.expiry
		}
	}
	delete(t.marks, first)
}

// expire removes expired marks.
func (t *SuspectTable) expire(now time.Time) {
	for fp, m := range t.marks {
		if !now.Before(m.expiry) {
			delete(t.marks, fp)
		}
	}
}

// Admit returns how a request may run. The error is set with Refuse.
func (t *SuspectTable) Admit(now time.Time, fp Fingerprint) (Verdict, *ConvictedError) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.marks[fp]
	switch {
	case m == nil || !now.Before(m.expiry):
		return Run, nil
	case m.convicted:
		return Refuse, &ConvictedError{RetryAfter: m.expiry.Sub(now)}
	}
	return Solo, nil
}

// Marks returns every mark that has not expired, ordered by fingerprint.
func (t *SuspectTable) Marks(now time.Time) []Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	marks := make([]Mark, 0, len(t.marks))
	for fp, m := range t.marks {
		marks = append(marks, Mark{Request: fp, Convicted: m.convicted, TTLMillis: uint32(m.expiry.Sub(now) / time.Millisecond)})
	}
	slices.SortFunc(marks, func(a, b Mark) int { return slices.Compare(a.Request[:], b.Request[:]) })
	return marks
}
