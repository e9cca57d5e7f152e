package batch

import (
	"cmp"
	"context"
	"errors"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/entry/forward"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// Times of a generation.
const (
	// firstStall is the longest wait for the first event: an engine queues
	// requests, so it is longer than the gap between events.
	firstStall = 4 * time.Second
	// stall is the longest gap between events: ten times the largest gap that
	// trainers allow, well below a crashed engine's silence.
	stall = 1500 * time.Millisecond
	// again is the pause before an item is offered to engines once more.
	again = 40 * time.Millisecond
	// scoreAgain is the pause before a scorer is called once more.
	scoreAgain = 80 * time.Millisecond
	// carriedFails is the number of batches in which an item may fail as often as
	// its route allows: one that fails at each run comes again with its group.
	carriedFails = 3
	// engineQueue is the number of generations that may wait at an engine beyond
	// its slots: one round of the shortest ones.
	engineQueue = 2
	// mostText bounds the text of an item in bytes: a page of results is to hold one.
	mostText = 900 << 10
)

// staleError says that an engine generates with weights that are too old, or
// other ones than the text so far where one version is wanted.
type staleError struct {
	version uint64
}

func (e *staleError) Error() string { return "weights do not fit the batch" }

// generation is one item under way; one goroutine owns it.
type generation struct {
	*work
	Partial // over all batches that held the item
	item    Item
	size    int // bytes of the text, worked out at the start of each run
	fails   int // in this batch
	avoid   string
	asked   []string // engines of all runs in this batch
	runs    int
}

// dispatch starts the items, the longest first, each once an engine has a
// place. A step takes as long as its longest items.
func (w *work) dispatch(ctx context.Context, start func(*generation, *pool.Choice)) {
	carried := w.carried(ctx)
	items := slices.Clone(w.batch.Items)
	slices.SortStableFunc(items, func(a, b Item) int { return cmp.Compare(b.Length, a.Length) })
	for _, item := range items {
		if w.isListed(item.ID) {
			continue
		}
		select {
		case w.places <- struct{}{}:
		case <-ctx.Done():
			return
		}
		g := &generation{work: w, Partial: carried[item.ID], item: item}
		if g.Whole || g.failed() {
			start(g, nil) // needs no engine any more
			continue
		}
		choice, ok := g.pick(ctx)
		if !ok && ctx.Err() != nil {
			return
		}
		start(g, choice)
	}
}

func (g *generation) need() pool.Need {
	return pool.Need{
		Service: g.batch.Service, Model: g.batch.Model, Floor: g.batch.Floor,
		Prefix: g.item.Prefix, Queue: engineQueue, Length: g.item.Length,
	}
}

// pick waits for a place on an engine until the item may be given up.
func (g *generation) pick(ctx context.Context) (*pool.Choice, bool) {
	for {
		need := g.need()
		if g.avoid != "" && g.Pool.Usable(need) > 1 {
			need.Avoid = []string{g.avoid}
		}
		changed := g.Pool.Changed()
		if choice, ok := g.Pool.Pick(time.Now(), need); ok {
			return choice, true
		}
		left := time.Until(g.expires)
		if left <= 0 {
			return nil, false
		}
		select {
		case <-changed:
		case <-time.After(min(again, left)): // a report of load grows old without a change
		case <-ctx.Done():
			return nil, false
		}
	}
}

// run generates the item, beginning with a place that was picked. It returns
// false when the context ended first.
func (g *generation) run(ctx context.Context, choice *pool.Choice) (Result, bool) {
	started := time.Now()
	defer func() { g.Meter.Time("item_seconds", time.Since(started), "route", g.batch.Route) }()
	defer func() { g.storePartial(g.item.ID, g.Partial) }()
	switch {
	case g.Whole:
		return g.score(ctx)
	case g.failed():
		return g.errored("failed in an earlier batch"), true
	}
	for ctx.Err() == nil {
		if choice == nil || time.Now().After(g.expires) {
			if choice != nil {
				choice.Release()
			}
			return g.errored("expired"), true
		}
		g.runs++
		err := g.attempt(ctx, choice)
		choice.Release()
		if err == nil {
			g.Whole = true
			return g.score(ctx)
		}
		if ctx.Err() != nil {
			break
		}
		if g.judge(choice, err) {
			return g.errored(err.Error()), true
		}
		g.avoid = choice.Server.Name
		choice, _ = g.pick(ctx)
	}
	return Result{}, false
}

// judge decides what follows from a failed attempt; true ends the item.
func (g *generation) judge(choice *pool.Choice, err error) bool {
	now := time.Now()
	if failed, ok := errors.AsType[*FailedRunError](err); ok {
		g.fails++
		g.Fails++
		g.Final = failed.Final
		g.note(choice, err)
		return g.failed()
	}
	if notRun, ok := errors.AsType[*forward.NotRunError](err); ok {
		if notRun.Load != nil {
			choice.Reported(now, *notRun.Load)
		}
		if notRun.Unreachable {
			choice.Failed(now)
			g.note(choice, err)
		} else {
			choice.Refused(now)
		}
		return false
	}
	g.note(choice, err)
	if isError[*movedError](err) {
		return false
	}
	if isError[*staleError](err) {
		if g.batch.Single {
			g.Texts, g.Versions = nil, nil
		}
		return false
	}
	choice.Failed(now)
	return false
}

// failed says whether the item has failed for good or as often as allowed, in this
// batch or in all that held it.
func (g *generation) failed() bool {
	most := g.batch.Attempts
	return g.Final || g.fails > 0 && g.fails >= most || g.Fails > g.fails && g.Fails >= carriedFails*most
}

func (g *generation) note(choice *pool.Choice, err error) {
	g.Meter.Count("generations_broken_total", "server", choice.Server.Name)
	g.Log.Emit(event.GenerationBroken, "item", g.item.ID, "batch", g.batch.ID, "server", choice.Server.Name,
		"events", len(g.Texts), "run", g.runs, "fails", g.fails, "err", err.Error())
}

// attempt runs the item on one engine, from the text so far.
func (g *generation) attempt(ctx context.Context, choice *pool.Choice) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(firstStall, cancel)
	defer silence.Stop()
	g.size = 0
	for _, text := range g.Texts {
		g.size += len(text)
	}
	fresh := slices.Contains(g.asked, choice.Server.Name)
	g.asked = append(g.asked, choice.Server.Name)
	stream, err := g.Engine.Generate(ctx, choice.Server, forward.Request{
		ID: g.item.ID, Host: g.batch.Host, Method: "POST", Target: g.item.Target, Header: g.item.Header,
		Body: g.item.Body, Workspace: g.batch.Workspace, Priority: -1, ResumeAfter: len(g.Texts),
		NewConnection: fresh,
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
	pace := pacer{choice: choice}
	for {
		next, err := stream.Next()
		if errors.Is(err, io.EOF) {
			choice.Succeeded()
			return nil
		}
		if err != nil {
			return err
		}
		if next.Version > 0 {
			version = next.Version
			choice.Version(g.batch.Model, version)
		}
		if next.Number == 0 {
			continue // the start of the answer, which names the weights
		}
		if err := g.add(next, version); err != nil {
			return err
		}
		silence.Reset(stall) // bytes that bring no event keep nothing alive
		if gap, ok := pace.event(time.Now()); ok && g.runs < mostRuns {
			if quickest := choice.Quickest(time.Now(), g.need()); MovePays(len(g.Texts), gap, quickest, g.runs) {
				return &movedError{gap: gap, quickest: quickest}
			}
		}
	}
}

// add takes an event into the text, if its number and its weights fit.
func (g *generation) add(next Event, version uint64) error {
	switch {
	case next.Number != len(g.Texts)+1:
		return &forward.BrokenError{Reason: "events out of order"}
	case g.item.Most > 0 && next.Number > g.item.Most:
		return &forward.BrokenError{Reason: "more events than tokens asked for"}
	case g.size+len(next.Text) > mostText:
		return &forward.BrokenError{Reason: "text is too long"}
	}
	if version < g.batch.Floor || g.batch.Single && len(g.Versions) > 0 && g.Versions[0] != version {
		return &staleError{version: version}
	}
	g.Texts = append(g.Texts, next.Text)
	g.size += len(next.Text)
	if at, found := slices.BinarySearch(g.Versions, version); !found {
		g.Versions = slices.Insert(g.Versions, at, version)
	}
	return nil
}

// movedError ends an attempt on an engine that is slower than another one.
type movedError struct {
	gap, quickest time.Duration // between events
}

func (e *movedError) Error() string {
	return "another engine makes an event in " + e.quickest.String() + ", not in " + e.gap.String()
}

// score calls the item's scorer until it answers, or has failed too often.
func (g *generation) score(ctx context.Context) (Result, bool) {
	result := Result{ID: g.item.ID, State: Completed, Text: strings.Join(g.Texts, "\n"), Versions: g.Versions}
	if g.item.Scorer == nil {
		return result, true
	}
	if g.Unscorable {
		return g.errored("scorer failed in earlier batches"), true
	}
	fails := 0
	for ctx.Err() == nil {
		score, err := g.Scores.Score(ctx, *g.item.Scorer)
		if err == nil {
			result.Score = score
			return result, true
		}
		failed, ok := errors.AsType[*FailedScoreError](err)
		if ok {
			fails += failed.Fails
			g.ScoreFails += failed.Fails
			g.Unscorable = g.ScoreFails >= carriedFails*failed.Most
		}
		if ok && (fails >= failed.Most || g.Unscorable) || time.Now().After(g.expires) {
			return g.errored("scorer: " + err.Error()), true
		}
		select {
		case <-ctx.Done():
		case <-time.After(scoreAgain):
		}
	}
	return Result{}, false
}

func (g *generation) errored(why string) Result {
	g.Log.Emit(event.ItemErrored, "item", g.item.ID, "batch", g.batch.ID, "why", why, "runs", g.runs,
		"fails", g.fails, "events", len(g.Texts))
	return Result{ID: g.item.ID, State: Errored}
}
