package batch

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/backend/silence"
	"github.com/hyssopwall/hyssopwall/internal/entry/forward"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// Times and limits of a generation.
const (
	// firstEventTimeout is the longest wait for the first event. It is longer than
	// eventTimeout because an engine queues requests.
	firstEventTimeout = 4 * time.Second
	// eventTimeout is the longest wait for a further event: ten times the largest gap
	// that trainers allow, and well below the silence of a crashed engine.
	eventTimeout = 1500 * time.Millisecond
	// pickInterval is the pause between two attempts to find an engine for an item.
	pickInterval = 40 * time.Millisecond
	// scorerRetryPause is the pause between two calls of a scorer.
	scorerRetryPause = 80 * time.Millisecond
	// maxFailedBatches is the number of batches in which an item may fail as often as
	// its route allows. An item that fails in each run is resubmitted with its group.
	maxFailedBatches = 3
	// engineQueueLimit is the number of generations that may wait at an engine beyond
	// its slots: as many as can start when the shortest running ones end.
	engineQueueLimit = 2
	// maxTextBytes bounds the text of an item, since a page of results has to hold it; the
	// protocol with trainers allows 1 MB.
	maxTextBytes = 900 << 10
)

// versionMismatchError ends an attempt on an engine whose weights are too old for the
// batch, or differ from those of the text so far when the batch allows only one version.
type versionMismatchError struct {
	version uint64
}

func (e *versionMismatchError) Error() string { return "weights version does not fit the batch" }

// generation generates and scores one item of a batch. A run is an attempt on one engine.
// It is owned by one goroutine.
type generation struct {
	*worker
	Partial       // over all batches that contained the item
	item          Item
	size          int      // bytes of the text, recomputed at the start of each run
	batchFailures int      // failed runs in this batch
	avoid         string   // engine of the latest attempt
	triedEngines  []string // engines of all runs in this batch, in order
	runs          int      // runs in this batch, those that the engine refused included
	required      bool     // an earlier step left its group over
	earlierEvents int      // events of a text of an earlier batch, also one that could not be used
}

// dispatch starts the items, the longest first. A step takes as long as its longest items.
func (w *worker) dispatch(ctx context.Context, start func(*generation)) {
	carried := w.carried(ctx)
	required := map[string]bool{} // groups that an earlier step left over
	for _, item := range w.batch.Items {
		if _, ok := carried[item.ID]; ok {
			required[item.Group] = true
		}
	}
	items := slices.Clone(w.batch.Items)
	slices.SortStableFunc(items, func(a, b Item) int { return cmp.Compare(b.Length, a.Length) })
	for _, item := range items {
		if w.isListed(item.ID) {
			continue
		}
		select {
		case w.slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		start(&generation{worker: w, Partial: carried[item.ID].Partial, item: item, required: required[item.Group], earlierEvents: carried[item.ID].events})
	}
}

// need returns the requirements that an engine has to meet.
func (g *generation) need() pool.Need {
	return pool.Need{
		Service: g.batch.Service, Model: g.batch.Model, MinVersion: g.batch.MinVersion,
		Prefix: g.item.Prefix, QueueAllowance: engineQueueLimit, ExpectedTokens: g.item.Length,
		Regions: g.batch.Regions,
	}
}

// pick waits for a free slot on an engine until the item may be given up.
func (g *generation) pick(ctx context.Context) (*pool.Choice, bool) {
	began := time.Now()
	defer func() { g.Meter.Time("engine_wait_seconds", time.Since(began), "route", g.batch.Route) }()
	return g.assigner.pick(ctx, &waiter{
		urgency: urgency{
			Submitted: g.submitted, Required: g.required,
			Events: max(len(g.Texts), g.earlierEvents), Length: g.item.Length,
		},
		need: g.need(), avoid: g.avoid,
	}, g.expires)
}

// generateAndScore generates and scores the item. It returns false if the context ended first.
func (g *generation) generateAndScore(ctx context.Context) (Result, bool) {
	started := time.Now()
	defer func() { g.Meter.Time("item_seconds", time.Since(started), "route", g.batch.Route) }()
	defer func() { g.storePartial(g.item.ID, g.Partial) }()
	g.publish()
	switch {
	case g.Complete:
		return g.score(ctx)
	case g.failed():
		return g.errored("failed too often in an earlier batch"), true
	}
	for ctx.Err() == nil {
		choice, ok := g.pick(ctx)
		if ctx.Err() != nil {
			break
		}
		if !ok {
			return g.errored("expired"), true
		}
		g.runs++
		err := g.attempt(ctx, choice)
		choice.Release()
		if err == nil {
			g.Complete = true
			g.learnLength(g.batch.Service, g.item, len(g.Texts))
			g.publish()
			return g.score(ctx)
		}
		if ctx.Err() != nil {
			break
		}
		if g.handleFailure(choice, err) {
			return g.errored(err.Error()), true
		}
		g.avoid = choice.Server.Name
	}
	return Result{}, false
}

// handleFailure records a failed attempt. It returns true if the item is to be given up.
func (g *generation) handleFailure(choice *pool.Choice, err error) bool {
	defer g.publish()
	now := time.Now()
	if failed, ok := errors.AsType[*FailedRunError](err); ok {
		g.batchFailures++
		g.Failures++
		g.Permanent = failed.Permanent
		g.reportBroken(choice, err)
		return g.failed()
	}
	if notRun, ok := errors.AsType[*forward.NotRunError](err); ok {
		if notRun.Load != nil {
			choice.RecordLoad(now, *notRun.Load)
		}
		if notRun.Unreachable {
			choice.RecordFailure(now)
			g.reportBroken(choice, err)
		} else {
			choice.RecordRefusal(now)
		}
		return false
	}
	g.reportBroken(choice, err)
	if isError[*slowEngineError](err) {
		g.Meter.Count("generation_moves_total", "route", g.batch.Route)
		return false
	}
	if isError[*silence.ZoneError](err) {
		return false
	}
	if isError[*versionMismatchError](err) {
		if g.batch.Single {
			g.Texts, g.Versions = nil, nil
		}
		return false
	}
	choice.RecordFailure(now)
	return false
}

// failed reports whether the item has failed permanently, or as often as is allowed in
// this batch or in all batches that contained it.
func (g *generation) failed() bool {
	maxFailures := g.batch.Attempts
	return g.Permanent || g.batchFailures > 0 && g.batchFailures >= maxFailures || g.Failures > g.batchFailures && g.Failures >= maxFailedBatches*maxFailures
}

// reportBroken counts and logs a failed attempt.
func (g *generation) reportBroken(choice *pool.Choice, err error) {
	g.Meter.Count("generations_broken_total", "server", choice.Server.Name)
	g.Log.Emit(event.GenerationInterrupted, "item", g.item.ID, "batch", g.batch.ID, "server", choice.Server.Name,
		"events", len(g.Texts), "run", g.runs, "fails", g.batchFailures, "err", err.Error())
}

// attempt runs the item on one engine, from the text so far.
func (g *generation) attempt(ctx context.Context, choice *pool.Choice) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(firstEventTimeout, cancel)
	defer watchdog.Stop()
	g.size = 0
	for _, text := range g.Texts {
		g.size += len(text)
	}
	freshConnection := slices.Contains(g.triedEngines, choice.Server.Name)
	g.triedEngines = append(g.triedEngines, choice.Server.Name)
	stream, err := g.startStream(ctx, choice.Server, forward.Request{
		ID: g.item.ID, Host: g.batch.Host, Method: "POST", Target: g.item.Target, Header: g.item.Header,
		Body: net.Buffers{g.item.Body}, Workspace: g.batch.Workspace, Priority: -1, ResumeAfter: len(g.Texts),
		NewConnection: freshConnection,
		BeforeSend: func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			return choice.Check()
		},
	})
	if err != nil {
		return err
	}
	defer stream.Close()
	var version uint64
	pace := paceMeter{choice: choice}
	for {
		next, err := stream.Next()
		if errors.Is(err, io.EOF) {
			choice.RecordSuccess()
			choice.KeepConnection()
			return nil
		}
		if err != nil {
			return err
		}
		if next.Version > 0 {
			version = next.Version
			choice.ObserveVersion(g.batch.Model, version)
		}
		if next.WorkTime > 0 {
			choice.RecordWorkTime(time.Now(), next.WorkTime)
		}
		if next.Number == 0 {
			continue // the start of the stream, which names the weights version
		}
		if err := g.addEvent(next, version); err != nil {
			return err
		}
		watchdog.Reset(eventTimeout) // only complete events count as progress
		if gap, ok := pace.observe(time.Now()); ok && g.runs < maxMoveRuns {
			if quickest := choice.FastestOtherInterval(time.Now(), g.need()); g.shouldMove(time.Now(), &pace, gap, quickest) {
				return &slowEngineError{gap: gap, quickest: quickest}
			}
		}
	}
}

// shouldMove reports whether the item should move to a faster engine at the end of a
// window. Gap is the interval of that window.
func (g *generation) shouldMove(now time.Time, pace *paceMeter, gap, quickest time.Duration) bool {
	if g.latestEnd.IsZero() || g.lagging || !g.Pool.SendsWorkTime(g.batch.Service) {
		return MoveSavesTime(len(g.Texts), gap, quickest, g.runs)
	}
	return MoveAvoidsLateness(now, Progress{
		Generated: len(g.Texts), Expected: g.expectedEvents(g.batch.Service, g.item),
		Gaps: pace.gaps, Quickest: quickest, Runs: g.runs, LatestEnd: g.latestEnd,
	})
}

// addEvent appends an event to the text. It returns an error if the event's number, its
// size or the weights version is not acceptable.
func (g *generation) addEvent(next Event, version uint64) error {
	switch {
	case next.Number != len(g.Texts)+1:
		return &forward.BrokenError{Reason: "events out of order"}
	case g.item.MaxTokens > 0 && next.Number > g.item.MaxTokens:
		return &forward.BrokenError{Reason: "more events than requested tokens"}
	case g.size+len(next.Text) > maxTextBytes:
		return &forward.BrokenError{Reason: "text is too long"}
	}
	if version < g.batch.MinVersion || g.batch.Single && len(g.Versions) > 0 && g.Versions[0] != version {
		return &versionMismatchError{version: version}
	}
	g.Texts = append(g.Texts, next.Text)
	g.size += len(next.Text)
	if at, found := slices.BinarySearch(g.Versions, version); !found {
		g.Versions = slices.Insert(slices.Clone(g.Versions), at, version) // the earlier slice may be in a copy, see publish
	}
	g.publish()
	return nil
}

// publish makes the state of the item known to the sender of the batch's copy.
func (g *generation) publish() { g.copies.publish(g.item.ID, g.Partial) }

// slowEngineError ends an attempt because another engine would finish the item sooner.
type slowEngineError struct {
	gap, quickest time.Duration // times between two events
}

func (e *slowEngineError) Error() string {
	return "another engine generates an event in " + e.quickest.String() + " instead of " + e.gap.String()
}

// score calls the item's scorer until it answers, has failed too often or the item
// expires. It returns false if the context ended first.
func (g *generation) score(ctx context.Context) (Result, bool) {
	result := Result{ID: g.item.ID, State: Completed, Text: strings.Join(g.Texts, "\n"), Versions: g.Versions}
	if g.item.Scorer == nil {
		return result, true
	}
	if g.Unscorable {
		return g.errored("scorer failed too often in earlier batches"), true
	}
	fails := 0
	for ctx.Err() == nil {
		score, err := g.ScorerClient.Score(ctx, *g.item.Scorer)
		if err == nil {
			result.Score = score
			return result, true
		}
		failed, ok := errors.AsType[*FailedScoreError](err)
		if ok {
			fails += failed.Failures
			g.ScorerFailures += failed.Failures
			g.Unscorable = g.ScorerFailures >= maxFailedBatches*failed.MaxAttempts
			g.publish()
		}
		if ok && (fails >= failed.MaxAttempts || g.Unscorable) || time.Now().After(g.expires) {
			return g.errored("scorer: " + err.Error()), true
		}
		select {
		case <-ctx.Done():
		case <-time.After(scorerRetryPause):
		}
	}
	return Result{}, false
}

// errored logs why the item is given up and returns its result.
func (g *generation) errored(reason string) Result {
	g.Log.Emit(event.ItemFailed, "item", g.item.ID, "batch", g.batch.ID, "why", reason, "runs", g.runs,
		"fails", g.batchFailures, "events", len(g.Texts))
	return Result{ID: g.item.ID, State: Errored}
}
