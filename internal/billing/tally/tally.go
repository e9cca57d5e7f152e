// Package tally counts the requests of each workspace by window, and has one
// host at a time report each window once.
//
// Rules:
//
//  1. A host counts what its backend servers began to run, by its own clock.
//  2. The holder of the duty asks every host for a window after its end, seals
//     the sum in the store by a creation that can't be repeated, and reports
//     what is sealed there, with the same counts however often.
//  3. A successor seals and reports the latest windows again: what is sealed
//     stands, and an equal report changes nothing.
package tally

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/lease"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// KeyPrefix is that of the keys of sealed windows.
const KeyPrefix = "hyssopwall-usage/"

// keptWindows is the number of windows whose counts a host keeps.
const keptWindows = 12

// Counts are requests by workspace.
type Counts map[string]int

// Tally counts on one host. The zero value with Window set is ready. It is safe
// for concurrent use.
type Tally struct {
	WindowLength time.Duration

	mu     sync.Mutex
	counts map[int64]Counts
}

// WindowAt returns the number of the window of an instant.
func (t *Tally) WindowAt(now time.Time) int64 { return now.UnixMilli() / t.WindowLength.Milliseconds() }

// WindowEnd returns the end of a window.
func (t *Tally) WindowEnd(window int64) time.Time {
	return time.UnixMilli((window + 1) * t.WindowLength.Milliseconds())
}

// Count counts a request that began to run.
func (t *Tally) Count(now time.Time, workspace string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	window := t.WindowAt(now)
	if t.counts == nil {
		t.counts = map[int64]Counts{}
	}
	if t.counts[window] == nil {
		t.counts[window] = Counts{}
		delete(t.counts, window-keptWindows)
	}
	t.counts[window][workspace]++
}

// Counts returns the counts of a window.
func (t *Tally) Counts(window int64) Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := Counts{}
	for workspace, n := range t.counts[window] {
		counts[workspace] = n
	}
	return counts
}

// Times of reporting.
const (
	turn = 250 * time.Millisecond
	// settle lets requests at a window's end be counted.
	settle = 600 * time.Millisecond
	// patience is how long after its end a window waits for hosts that do not
	// answer; the report is due 10 s after the end.
	patience = 5 * time.Second
	// keepTrying is how long after its end a window is still reported.
	keepTrying = time.Minute
	// backlog is the number of windows before the present one that a new holder
	// seals and reports.
	backlog = 3
	// callTimeout bounds one call to a host, the store or the receiver.
	callTimeout = 800 * time.Millisecond
)

// Reporter seals and reports windows. Set the exported fields, then call Run.
type Reporter struct {
	Tally       *Tally
	Store       object.Store
	Holder      *lease.Holder
	Duty        string
	Hosts       func() []string // all hosts but this one
	FetchCounts func(ctx context.Context, host string, window int64) (Counts, error)
	Report      func(ctx context.Context, window int64, counts Counts, grant lease.Grant) error
	Clock       *Clock // that requests are counted by
	Log         event.Log

	windows map[int64]*pending
	next    int64 // first window that is not begun
}

// pending is a window under way.
type pending struct {
	got    map[string]Counts // by host
	sealed Counts
	done   bool
}

// Run works until the context ends.
func (r *Reporter) Run(ctx context.Context) {
	ticker := time.NewTicker(turn)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, held := r.Holder.Held(r.Duty); !held {
			r.windows = nil
			continue
		}
		r.step(ctx, r.Clock.Now())
	}
}

func (r *Reporter) step(ctx context.Context, now time.Time) {
	current := r.Tally.WindowAt(now)
	if r.windows == nil {
		r.windows, r.next = map[int64]*pending{}, current-backlog
	}
	for ; r.next < current; r.next++ {
		r.windows[r.next] = &pending{got: map[string]Counts{}}
	}
	for window, p := range r.windows {
		age := now.Sub(r.Tally.WindowEnd(window))
		switch {
		case age > keepTrying:
			delete(r.windows, window)
		case age >= settle && !p.done:
			r.advance(ctx, window, p, age)
		}
	}
}

func (r *Reporter) advance(ctx context.Context, window int64, p *pending, age time.Duration) {
	if p.sealed == nil && (r.gather(ctx, window, p) || age > patience) {
		p.sealed = r.seal(ctx, window, p)
	}
	if p.sealed == nil {
		return
	}
	err := r.Holder.Do(ctx, r.Duty, func(ctx context.Context, grant lease.Grant) error {
		return r.Report(ctx, window, p.sealed, grant)
	})
	p.done = err == nil
	if p.done {
		r.Log.Emit(event.WindowReported, "window", window, "workspaces", len(p.sealed), "age", age.String())
	} else {
		r.Log.Emit(event.UsageLate, "window", window, "age", age.String(), "err", err.Error())
	}
}

// gather asks the hosts whose counts are missing; true when all have answered.
func (r *Reporter) gather(ctx context.Context, window int64, p *pending) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var (
		group sync.WaitGroup
		mu    sync.Mutex
		all   = true
	)
	p.got[""] = r.Tally.Counts(window)
	for _, host := range r.Hosts() {
		if p.got[host] != nil {
			continue
		}
		group.Go(func() {
			counts, err := r.FetchCounts(ctx, host, window)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				all = false
				return
			}
			if counts == nil {
				counts = Counts{}
			}
			p.got[host] = counts
		})
	}
	group.Wait()
	return all
}

// seal creates the window's object, or reads the one that stands. It returns
// nil when the store can't be asked now.
func (r *Reporter) seal(ctx context.Context, window int64, p *pending) Counts {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sum := Counts{}
	for _, counts := range p.got {
		for workspace, n := range counts {
			sum[workspace] += n
		}
	}
	value, err := json.Marshal(sum)
	if err != nil {
		panic("tally: a map of numbers always encodes: " + err.Error())
	}
	key := fmt.Sprintf("%s%d", KeyPrefix, window)
	if _, err = r.Store.Put(ctx, key, value, 0); err == nil {
		r.Log.Emit(event.WindowSealed, "window", window, "hosts", len(p.got))
		return sum
	}
	if _, conflict := errors.AsType[*object.ConflictError](err); !conflict {
		r.Log.Emit(event.UsageLate, "window", window, "err", err.Error())
		return nil
	}
	found, err := r.Store.Get(ctx, key)
	if err != nil {
		return nil
	}
	var sealed Counts
	if err := json.Unmarshal(found.Value, &sealed); err != nil {
		r.Log.Emit(event.UsageLate, "window", window, "err", err.Error())
		return nil
	}
	return sealed
}
