package batch

import (
	"context"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// Objects of ended batches are removed some time after the batch was submitted, by one host at a
// time. Rules:
//
//  1. A batch expires once it has ended and was submitted more than Retention and expiryMargin
//     ago. Hosts then answer as if it had never existed, whatever is left of it.
//  2. From removalMargin later on the host that RemoveExpired runs on removes its objects, the
//     record last, so that what is left after a failure can be found again. Objects are never
//     written again, so it doesn't matter if two hosts remove them at the same time.
//  3. From forgetMargin later on all hosts drop the record from memory, and leave it out when
//     they list the records, also if it could not be removed.
//  4. Records that nobody has in memory are found by reading all records, page by page, some time
//     after the duty has changed hosts and every few hours.

const (
	// expiryMargin covers wall clocks that differ between hosts or jump.
	expiryMargin = 30 * time.Second
	// removalMargin is longer than any host can have gone without the end of the batch and still
	// answer its readers.
	removalMargin = time.Minute
	// forgetMargin leaves time for the removal, so that it seldom has to read all records.
	forgetMargin = 5 * time.Minute
	// removalInterval is the interval at which expired batches in memory are removed.
	removalInterval = 5 * time.Second
	// firstScan is how long a host holds the duty before it reads all records, or the time after a
	// reading that failed, and scanInterval the time between two complete readings.
	firstScan    = time.Minute
	scanInterval = 4 * time.Hour
	// removalPause is the pause between two calls that remove an object: 20 calls a second, a
	// fraction of what the smallest store takes. A step every four seconds needs two a second.
	removalPause = 50 * time.Millisecond
	// limitPause is the pause after the store has refused a call or can't be reached.
	limitPause = 500 * time.Millisecond
	// maxScanFailures is the number of removals in a row that may fail before a reading of all
	// records ends.
	maxScanFailures = 3
)

// IsExpired reports whether a batch has expired (rule 1). A retention of zero keeps batches.
func (r Record) IsExpired(now time.Time, retention time.Duration) bool {
	return r.endedBefore(now, retention, expiryMargin)
}

// endedBefore reports whether a batch has ended and was submitted before the retention and a
// margin.
func (r Record) endedBefore(now time.Time, retention, margin time.Duration) bool {
	return retention > 0 && r.Ended && now.Sub(time.UnixMilli(r.Submitted)) > retention+margin
}

// IsForgotten reports whether hosts leave a stored record out of their memory (rule 3).
func IsForgotten(value []byte, now time.Time, retention time.Duration) bool {
	record, err := decode[Record](value)
	return err == nil && record.endedBefore(now, retention, expiryMargin+removalMargin+forgetMargin)
}

// ForgetExpired drops old records from memory (rule 3).
func (b *Batches) ForgetExpired(now time.Time) {
	b.mu.Lock()
	var old []string
	for id, k := range b.known {
		if k.endedBefore(now, b.Retention, expiryMargin+removalMargin+forgetMargin) {
			old = append(old, id)
		}
	}
	b.mu.Unlock()
	for _, id := range old {
		b.remove(id)
	}
}

// Pages reads the objects under a prefix page by page.
type Pages interface {
	// Page returns the objects after a key, empty for the first page, and whether there are more.
	Page(ctx context.Context, prefix, after string) (objects []object.Object, more bool, err error)
}

// RemoveExpired removes expired batches from the store (rules 2 and 4) while mayRemove returns
// true, until the context ends. It does nothing without Retention and Pages.
func (b *Batches) RemoveExpired(ctx context.Context, mayRemove func() bool) {
	if b.Retention <= 0 || b.Pages == nil {
		return
	}
	ticker := time.NewTicker(removalInterval)
	defer ticker.Stop()
	var nextScan time.Time
	held := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		before := held
		if held = mayRemove() && b.StoreReachable(); !held {
			continue
		}
		now := time.Now()
		if !before {
			nextScan = now.Add(firstScan)
		}
		for id, k := range b.expired(now) {
			if !b.removeStored(ctx, id, k.Record, k.version) {
				pause(ctx, limitPause)
				break
			}
		}
		if now.After(nextScan) {
			wait := scanInterval
			if !b.scan(ctx, mayRemove) {
				wait = firstScan
			}
			nextScan = time.Now().Add(wait)
		}
	}
}

// expired returns the batches in memory whose objects are to be removed.
func (b *Batches) expired(now time.Time) map[string]known {
	b.mu.Lock()
	defer b.mu.Unlock()
	found := map[string]known{}
	for id, k := range b.known {
		if k.endedBefore(now, b.Retention, expiryMargin+removalMargin) {
			found[id] = k
		}
	}
	return found
}

// scan reads all records and removes the expired ones (rule 4). It passes over a batch whose removal
// fails, and ends early after maxScanFailures in a row. It returns whether it has come to the end
// without a failure.
func (b *Batches) scan(ctx context.Context, mayRemove func() bool) (complete bool) {
	after, removed, failed, failures := "", 0, 0, 0
	defer func() { b.Log.Emit(event.BatchesScanned, "done", removed, "fails", failed) }()
	for mayRemove() {
		page, more, err := b.Pages.Page(ctx, RecordPrefix, after)
		if err != nil {
			return false
		}
		now := time.Now()
		for _, o := range page {
			record, err := decode[Record](o.Value)
			if err != nil || !record.endedBefore(now, b.Retention, expiryMargin+removalMargin) {
				continue
			}
			if !mayRemove() || failures == maxScanFailures {
				return false
			}
			if b.removeStored(ctx, o.Key[len(RecordPrefix):], record, o.Version) {
				removed, failures = removed+1, 0
				continue
			}
			failed, failures = failed+1, failures+1
			pause(ctx, limitPause)
		}
		if !more || len(page) == 0 {
			return failed == 0
		}
		after = page[len(page)-1].Key
	}
	return false
}

// removeStored removes the objects of a batch from the store, the record last. It reports whether
// all are gone.
func (b *Batches) removeStored(ctx context.Context, id string, record Record, version uint64) bool {
	for part := range record.Parts {
		if b.removeObject(ctx, bodyKey(id, record.Body, part)) != nil {
			return false
		}
	}
	for more := true; more; {
		var page []object.Object
		var err error
		if page, more, err = b.Pages.Page(ctx, LogPrefix+id+"/", ""); err != nil {
			return false
		}
		for _, o := range page {
			if b.removeObject(ctx, o.Key) != nil {
				return false
			}
		}
		more = more && len(page) > 0
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := b.Store.Delete(callCtx, RecordPrefix+id, version); err != nil {
		return false
	}
	pause(ctx, removalPause)
	b.remove(id)
	b.Meter.Count("batches_removed_total")
	return true
}

// removeObject removes an object that is written only once, and waits for removalPause.
func (b *Batches) removeObject(ctx context.Context, key string) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := b.Store.Delete(callCtx, key, object.AnyVersion)
	if isNotFound(err) {
		err = nil
	}
	pause(ctx, removalPause)
	return err
}
