package compare

import (
	"fmt"
	"slices"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
)

// Parameters of the engine model. The speed of a stream falls with the number of
// concurrent streams, to about half when all slots are taken. A prompt token takes
// a fiftieth of the time of a generated token.
const (
	engineSlots    = 8    // attempts that run at the same time
	engineSpeed    = 50.0 // tokens per second of a stream that runs alone
	promptFactor   = 0.02 // time of a prompt token, as a share of that of a generated token
	sharedPrompt   = 2048 // prompt tokens that the requests of a group share
	ownPrompt      = 64   // prompt tokens that only one request has
	cacheGroups    = 24   // number of groups whose prompts an engine's cache holds
	prefixBlocks   = 4    // prefix hashes of a shared prompt
	restartTime    = 10 * time.Second
	reportLag      = time.Second            // between two reports of an engine's state, and until a report arrives
	cacheEventLag  = 500 * time.Millisecond // between two deliveries of cache events
	lostEventShare = 0.01                   // share of cache events that are lost
)

// fakeEngine simulates an engine with a limited number of slots, a first-come
// first-served queue and a prompt cache that evicts the least recently used group.
type fakeEngine struct {
	name         string
	zone         int
	speed        float64
	sim          *simulation
	running      map[*sendAttempt]bool
	waiting      []*sendAttempt
	cache        []int // groups, most recently used last
	down         bool
	boot         int // number of crashes
	events       []engine.CacheEvent
	lastSequence uint64
}

// sendAttempt is one send of a request to an engine. The engine calls done when the
// attempt ends, except by cancel.
type sendAttempt struct {
	id      int
	request *request
	engine  *fakeEngine
	sent    time.Time
	ended   bool
	done    func(sa *sendAttempt, end attemptResult)
}

// attemptResult describes how a send attempt ended. Unsent means that the engine
// was down and got nothing of the request.
type attemptResult struct {
	complete bool
	unsent   bool
	tokens   int // generated; zero unless complete
}

// submit adds a send attempt to the queue. It fails at once while the engine is
// down.
func (f *fakeEngine) submit(sa *sendAttempt) {
	sa.engine, sa.sent = f, f.sim.now
	f.sim.sends++
	sa.request.sends++
	if sa.request.sends > 1 {
		f.sim.retries++
	}
	if f.down {
		f.end(sa, attemptResult{unsent: true})
		return
	}
	f.waiting = append(f.waiting, sa)
	f.startWaiting()
}

// startWaiting starts waiting attempts while slots are free, and schedules their
// ends. The number of streams at the start of an attempt decides its speed.
func (f *fakeEngine) startWaiting() {
	for len(f.waiting) > 0 && len(f.running) < engineSlots {
		sa := f.waiting[0]
		f.waiting = f.waiting[1:]
		if sa.ended {
			continue
		}
		f.running[sa] = true
		prompt := ownPrompt + sharedPrompt
		if f.usePrompt(sa.request.group) {
			prompt = ownPrompt
		}
		f.sim.countPrompt(sa.request, prompt == ownPrompt)
		load := 1 + float64(len(f.running)-1)/engineSlots
		seconds := (float64(sa.request.tokens) + promptFactor*float64(prompt)) / f.speed * load
		if f.sim.rng.Float64() < f.sim.load.SendFailureRate {
			f.sim.after(time.Second, func() { f.finish(sa, attemptResult{}) }) // a failing send fails 1 s after its start
			continue
		}
		f.sim.after(time.Duration(seconds*float64(time.Second)), func() {
			f.finish(sa, attemptResult{complete: true, tokens: sa.request.tokens})
		})
	}
}

// finish ends a running attempt and starts waiting ones in its slot.
func (f *fakeEngine) finish(sa *sendAttempt, e attemptResult) {
	if sa.ended {
		return
	}
	delete(f.running, sa)
	f.end(sa, e)
	f.startWaiting()
}

// end marks an attempt as ended and reports its result.
func (f *fakeEngine) end(sa *sendAttempt, e attemptResult) {
	if sa.ended {
		return
	}
	sa.ended = true
	if !e.complete {
		f.sim.failures++
	}
	sa.done(sa, e)
}

// cancel stops an attempt without reporting a result.
func (f *fakeEngine) cancel(sa *sendAttempt) {
	if sa.ended {
		return
	}
	sa.ended = true
	delete(f.running, sa)
	f.startWaiting()
}

// crash fails all attempts, clears the cache and keeps the engine down for
// restartTime.
func (f *fakeEngine) crash() {
	if f.down {
		return
	}
	f.down = true
	attempts := slices.Clone(f.waiting)
	for sa := range f.running {
		attempts = append(attempts, sa)
	}
	slices.SortFunc(attempts, func(a, b *sendAttempt) int { return a.id - b.id })
	clear(f.running)
	f.waiting, f.cache, f.events, f.lastSequence = nil, nil, nil, 0
	f.boot++
	for _, sa := range attempts {
		f.end(sa, attemptResult{})
	}
	f.sim.after(restartTime, func() { f.down = false })
}

// usePrompt marks a group's prompt as used last, adds it to the cache if it is
// missing, and reports whether it was cached.
func (f *fakeEngine) usePrompt(group int) bool {
	at := slices.Index(f.cache, group)
	if at >= 0 {
		f.cache = append(slices.Delete(f.cache, at, at+1), group)
		return true
	}
	f.cache = append(f.cache, group)
	f.publish(group, false)
	if len(f.cache) > cacheGroups {
		f.publish(f.cache[0], true)
		f.cache = f.cache[1:]
	}
	return false
}

// publish queues the cache events for the prefixes of a group. Some are lost, which
// leaves a gap in the sequence numbers.
func (f *fakeEngine) publish(group int, evicted bool) {
	for _, prefix := range prefixesOf(group) {
		f.lastSequence++
		if f.sim.rng.Float64() >= lostEventShare {
			f.events = append(f.events, engine.CacheEvent{Sequence: f.lastSequence, Prefix: prefix, Evicted: evicted})
		}
	}
}

// state returns the state that the engine reports to its home host.
func (f *fakeEngine) state() engine.State {
	return engine.State{
		Name: f.name, Running: len(f.running), Waiting: len(f.waiting), Slots: engineSlots,
		Boot: fmt.Sprint(f.boot), At: f.sim.now,
	}
}

// prefixesOf returns the prefix hashes of a group's prompt, shortest prefix first.
func prefixesOf(group int) []uint64 {
	hashes := make([]uint64, prefixBlocks)
	for i := range hashes {
		hashes[i] = uint64(group*prefixBlocks+i+1) * 0x9e3779b97f4a7c15
	}
	return hashes
}
