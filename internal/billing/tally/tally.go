// Package tally counts the requests of each workspace by window. One host at a
// time, the holder of a duty, sums and reports each window. The hosts of package
// node use it. Those of package server use package usage instead, which also counts
// tokens and samples and keeps copies of the counts on other hosts.
//
// Rules:
//
//  1. A host counts the requests that its backend servers began to run, by its
//     own clock.
//  2. After the end of a window, the holder of the duty fetches the counts of the
//     window from every host, seals the sum in the store by a create that succeeds
//     only once, and reports the sealed counts, the same ones on each attempt. The
//     counts of a host that does not answer within maxHostWait are never reported.
//  3. A successor seals and reports the latest windows again. A sealed window
//     does not change, and an equal report has no effect.
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

// KeyPrefix is the prefix of the keys of sealed windows.
const KeyPrefix = "hyssopwall-usage/"

// keptWindows is the number of windows whose counts a host keeps if each window has
// requests; see Count.
const keptWindows = 12

// Counts maps workspaces to numbers of requests.
type Counts map[string]int

// Tally counts the requests of one host by window. The zero value with
// WindowLength set is ready to use. It is safe for concurrent use.
type Tally struct {
	WindowLength time.Duration

	mu     sync.Mutex
	counts map[int64]Counts // by window
}

// WindowAt returns the number of the window that contains a time.
func (t *Tally) WindowAt(now time.Time) int64 { return now.UnixMilli() / t.WindowLength.Milliseconds() }

// WindowEnd returns the first instant after a window.
func (t *Tally) WindowEnd(window int64) time.Time {
	return time.UnixMilli((window + 1) * t.WindowLength.Milliseconds())
}

// Count counts a request of a workspace that began to run at a time. The first count
// of a window drops the counts of the window keptWindows before it. If a window has no
// requests, the counts of that earlier window are never dropped.
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

// Counts returns a copy of the counts of a window.
func (t *Tally) Counts(window int64) Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := Counts{}
	for workspace, n := range t.counts[window] {
		counts[workspace] = n
	}
	return counts
}

// Intervals and timeouts of the reporter.
const (
	// stepInterval is the time between two checks for windows to seal or report.
	stepInterval = 250 * time.Millisecond
	// sealDelay is the time from the end of a window until its counts are fetched,
	// so that requests that begin to run at the end are counted.
	sealDelay = 600 * time.Millisecond
	// maxHostWait is how long after its end a window waits for hosts that do not
	// answer. The report is due 10 s after the end.
	maxHostWait = 5 * time.Second
	// reportTimeout is how long after its end a window is still sealed and reported.
	reportTimeout = time.Minute
	// backlog is the number of windows before the current one that a new holder
	// seals and reports.
	backlog = 3
	// callTimeout is the timeout of fetching the counts of a window from all hosts, and
	// of sealing it.
	callTimeout = 800 * time.Millisecond
)

// Reporter seals and reports windows while this host holds the duty. Set the
// exported fields, then call Run.
type Reporter struct {
	Tally  *Tally
	Store  object.Store
	Holder *lease.Holder
	Duty   string          // name of the duty
	Hosts  func() []string // returns all hosts but this one
	// FetchCounts returns the counts of a window from another host. A nil map without
	// an error means that the host counted no requests.
	FetchCounts func(ctx context.Context, host string, window int64) (Counts, error)
	// Report sends the sealed counts of a window under the lease of the duty.
	Report func(ctx context.Context, window int64, counts Counts, grant lease.Grant) error
	Clock  *Clock // the clock by which requests are counted
	Log    event.Log

	windows map[int64]*pending // by number, nil while this host does not hold the duty
	next    int64              // first window that was not added to windows yet
}

// pending is a window that is being sealed and reported.
type pending struct {
	counts map[string]Counts // by host, this one under the empty name
	sealed Counts            // nil until sealed
	done   bool              // reported
}

// Run seals and reports windows until the context ends.
func (r *Reporter) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
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

// step adds the windows that have ended, advances those that are due and removes
// those that are too old to report.
func (r *Reporter) step(ctx context.Context, now time.Time) {
	current := r.Tally.WindowAt(now)
	if r.windows == nil {
		r.windows, r.next = map[int64]*pending{}, current-backlog
	}
	for ; r.next < current; r.next++ {
		r.windows[r.next] = &pending{counts: map[string]Counts{}}
	}
	for window, p := range r.windows {
		age := now.Sub(r.Tally.WindowEnd(window))
		switch {
		case age > reportTimeout:
			delete(r.windows, window)
		case age >= sealDelay && !p.done:
			r.advance(ctx, window, p, age)
		}
	}
}

// advance seals a window once all hosts have answered or maxHostWait has passed, and
// reports it once it is sealed. age is the time since the end of the window.
func (r *Reporter) advance(ctx context.Context, window int64, p *pending, age time.Duration) {
	if p.sealed == nil && (r.fetchAll(ctx, window, p) || age > maxHostWait) {
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

// fetchAll fetches the counts that are missing and reports whether all hosts have
// answered.
func (r *Reporter) fetchAll(ctx context.Context, window int64, p *pending) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var (
		group sync.WaitGroup
		mu    sync.Mutex
		all   = true
	)
	p.counts[""] = r.Tally.Counts(window)
	var missing []string // determined before the goroutines below write the counts
	for _, host := range r.Hosts() {
		if p.counts[host] == nil {
			missing = append(missing, host)
		}
	}
	for _, host := range missing {
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
			p.counts[host] = counts
		})
	}
	group.Wait()
	return all
}

// seal creates the object of a window, or reads the one that another holder has
// created, and returns its counts. It returns nil on an error, after which the next
// step tries again.
func (r *Reporter) seal(ctx context.Context, window int64, p *pending) Counts {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sum := Counts{}
	for _, counts := range p.counts {
		for workspace, n := range counts {
			sum[workspace] += n
		}
	}
	value, err := json.Marshal(sum)
	if err != nil { // a map from strings to numbers always encodes
		panic("tally: encode the counts of a window: " + err.Error())
	}
	key := fmt.Sprintf("%s%d", KeyPrefix, window)
	if _, err = r.Store.Put(ctx, key, value, 0); err == nil {
		r.Log.Emit(event.WindowSealed, "window", window, "hosts", len(p.counts))
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
