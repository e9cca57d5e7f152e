package batch

import "time"

// dueMarginShare is the part of the completion target that is kept free before the due
// time of a batch. Results are still gathered and written after the last event, and the
// time has to cover the loss of a zone or of the owner: with a quarter of it, the batches
// that were open when a zone was cut off came late.
const dueMarginShare = 0.6

// latestEnd returns the end by which a generation of the batch is not late: the due time
// less a margin. It is zero for a batch without a completion target.
func latestEnd(batch Batch, record Record, now time.Time) time.Time {
	due := dueTime(batch, record, now)
	if due.IsZero() {
		return due
	}
	return due.Add(-time.Duration(dueMarginShare * float64(batch.Due)))
}

// dueTime returns the time at which all results of a batch are due, on the monotonic clock
// of this host; zero if the batch has no completion target. The wall clocks of this host
// and of the host that accepted the batch may differ, which shifts only the time from which
// generations move.
func dueTime(batch Batch, record Record, now time.Time) time.Time {
	if batch.Due <= 0 {
		return time.Time{}
	}
	age := now.Sub(time.UnixMilli(record.Submitted))
	return now.Add(batch.Due - min(max(0, age), batch.Due))
}

// trainerLags reports whether the trainer of a batch needs its results as soon as
// possible, by what this host knows when the batch starts here: an earlier batch of the
// same workspace and route runs here, its trainer still waits for results of it, and it will
// miss its due time or is close to it, or the latest earlier one that ran here got them after
// it was due. Trainers submit batches ahead, so that an open one alone says nothing. A batch
// that ran on another host counts as in time. The caller holds the lock.
func (b *Batches) trainerLags(batch Batch, record Record) bool {
	var newest int64 // submission of the latest earlier batch
	late := false
	oldest := record.Submitted - maxPreviousAge.Milliseconds()
	for id, k := range b.known {
		if id == batch.ID || k.Workspace != batch.Workspace || k.Route != batch.Route || k.Submitted >= record.Submitted || k.Submitted < oldest {
			continue
		}
		wasLate := b.late[id]
		if w := b.workers[id]; w != nil {
			waits, missed := w.delivery(time.Now())
			if waits && missed {
				return true
			}
			wasLate = missed
		}
		if k.Submitted > newest {
			newest, late = k.Submitted, wasLate
		}
	}
	return late
}

// delivery reports whether the trainer still waits for results of the batch, and whether it
// got them after they were due or, if it waits, is going to.
func (w *worker) delivery(now time.Time) (waits, late bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.deliveredAt.IsZero() {
		return true, !w.latestEnd.IsZero() && now.After(w.latestEnd)
	}
	return false, w.isLate(w.deliveredAt)
}

// isLate reports whether a time is after the results were due.
func (w *worker) isLate(at time.Time) bool { return !w.due.IsZero() && at.After(w.due) }

// noteDelivery records when the trainer got what it waits for: the desired number of
// complete groups, or all items. The caller holds the lock.
func (w *worker) noteDelivery(now time.Time) {
	if !w.deliveredAt.IsZero() {
		return
	}
	groups, open := map[string]bool{}, map[string]bool{}
	for _, item := range w.batch.Items {
		groups[item.Group] = true
		if !w.listed[item.ID] {
			open[item.Group] = true
		}
	}
	if desired := w.batch.DesiredGroups; len(open) == 0 || desired > 0 && len(groups)-len(open) >= desired {
		w.deliveredAt = now
	}
}

// Limits of eventRatio.
const (
	minRatioTexts = 8    // complete texts before the ratio is used
	ratioDecay    = 0.98 // weight of the earlier texts at each new one; about the last 50 count
)

// eventRatio relates the estimated tokens of texts to their events. An event holds several
// tokens, a number that depends on the service. The zero value knows nothing.
type eventRatio struct {
	events, tokens float64
	texts          int
}

// add records a complete text.
func (r *eventRatio) add(tokens, events int) {
	r.events = ratioDecay*r.events + float64(events)
	r.tokens = ratioDecay*r.tokens + float64(tokens)
	r.texts++
}

// expected returns the expected number of events of a text, zero if unknown.
func (r *eventRatio) expected(tokens int) float64 {
	if r == nil || r.texts < minRatioTexts || tokens <= 0 {
		return 0
	}
	return float64(tokens) * r.events / r.tokens
}

// learnLength records the length of a complete text.
func (b *Batches) learnLength(service string, item Item, events int) {
	if item.Length <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initMaps()
	if b.ratios[service] == nil {
		b.ratios[service] = &eventRatio{}
	}
	b.ratios[service].add(item.Length, events)
}

// expectedEvents returns the expected number of events of an item's text, zero if unknown.
func (b *Batches) expectedEvents(service string, item Item) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ratios[service].expected(item.Length)
}
