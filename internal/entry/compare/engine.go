package compare

import (
	"fmt"
	"slices"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
)

// The engine model. A stream's speed falls with the streams beside it, down to
// half at full slots; a prompt token takes a fiftieth of a generated one.
const (
	engineSlots   = 8
	engineSpeed   = 50.0 // tokens a second of a lone stream
	promptFactor  = 0.02
	sharedPrompt  = 2048 // tokens that requests of a group share
	ownPrompt     = 64
	cacheGroups   = 24 // groups whose prompts an engine's cache holds
	prefixBlocks  = 4
	restartTime   = 10 * time.Second
	reportLag     = time.Second
	cacheEventLag = 500 * time.Millisecond
	lostEvents    = 0.01
)

// fake is a model engine with bounded slots, a queue in order of arrival, and
// a cache that drops the group used longest ago.
type fake struct {
	name    string
	zone    int
	speed   float64
	world   *world
	running map[*leg]bool
	waiting []*leg
	cache   []int // groups, latest last
	down    bool
	boot    int
	events  []engine.CacheEvent
	number  uint64
}

// leg is one send of a request to an engine.
type leg struct {
	id      int
	request *request
	engine  *fake
	sent    time.Time
	ended   bool
	done    func(l *leg, end ending)
}

// ending is how a leg ended.
type ending struct {
	whole  bool
	unsent bool
	tokens int
}

func (f *fake) submit(l *leg) {
	l.engine, l.sent = f, f.world.now
	f.world.sends++
	l.request.sends++
	if l.request.sends > 1 {
		f.world.repeats++
	}
	if f.down {
		f.end(l, ending{unsent: true})
		return
	}
	f.waiting = append(f.waiting, l)
	f.start()
}

func (f *fake) start() {
	for len(f.waiting) > 0 && len(f.running) < engineSlots {
		l := f.waiting[0]
		f.waiting = f.waiting[1:]
		if l.ended {
			continue
		}
		f.running[l] = true
		prompt := ownPrompt + sharedPrompt
		if f.touch(l.request.group) {
			prompt = ownPrompt
		}
		f.world.count(l.request, prompt == ownPrompt)
		load := 1 + float64(len(f.running)-1)/engineSlots
		seconds := (float64(l.request.tokens) + promptFactor*float64(prompt)) / f.speed * load
		if f.world.rng.Float64() < f.world.load.Flaky {
			f.world.after(time.Second, func() { f.finish(l, ending{}) })
			continue
		}
		f.world.after(time.Duration(seconds*float64(time.Second)), func() {
			f.finish(l, ending{whole: true, tokens: l.request.tokens})
		})
	}
}

func (f *fake) finish(l *leg, e ending) {
	if l.ended {
		return
	}
	delete(f.running, l)
	f.end(l, e)
	f.start()
}

func (f *fake) end(l *leg, e ending) {
	if l.ended {
		return
	}
	l.ended = true
	if !e.whole {
		f.world.failures++
	}
	l.done(l, e)
}

// cancel stops a leg; it reports no end.
func (f *fake) cancel(l *leg) {
	if l.ended {
		return
	}
	l.ended = true
	delete(f.running, l)
	f.start()
}

func (f *fake) crash() {
	if f.down {
		return
	}
	f.down = true
	legs := slices.Clone(f.waiting)
	for l := range f.running {
		legs = append(legs, l)
	}
	slices.SortFunc(legs, func(a, b *leg) int { return a.id - b.id })
	clear(f.running)
	f.waiting, f.cache, f.events, f.number = nil, nil, nil, 0
	f.boot++
	for _, l := range legs {
		f.end(l, ending{})
	}
	f.world.after(restartTime, func() { f.down = false })
}

// touch uses a group's prompt and returns whether the cache held it.
func (f *fake) touch(group int) bool {
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

func (f *fake) publish(group int, evicted bool) {
	for _, prefix := range prefixesOf(group) {
		f.number++
		if f.world.rng.Float64() >= lostEvents {
			f.events = append(f.events, engine.CacheEvent{Sequence: f.number, Prefix: prefix, Evicted: evicted})
		}
	}
}

func (f *fake) state() engine.State {
	return engine.State{
		Name: f.name, Running: len(f.running), Waiting: len(f.waiting), Slots: engineSlots,
		Boot: fmt.Sprint(f.boot), At: f.world.now,
	}
}

// prefixesOf returns the hashes of a group's prompt, shortest first.
func prefixesOf(group int) []uint64 {
	hashes := make([]uint64, prefixBlocks)
	for i := range hashes {
		hashes[i] = uint64(group*prefixBlocks+i+1) * 0x9e3779b97f4a7c15
	}
	return hashes
}
