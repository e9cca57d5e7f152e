package compare

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/rollout/reclaim"
	"github.com/hyssopwall/hyssopwall/internal/rollout/step"
	"github.com/hyssopwall/hyssopwall/internal/rollout/weights"
)

// Intervals at which the models act.
const (
	tellInterval   = 5 * time.Second
	supplyInterval = 5 * time.Second
	assignInterval = time.Second
)

// errLost ends a stream whose engine crashed or was taken.
var errLost = errors.New("engine lost")

// site is the state of a run.
type site struct {
	c        Scenario
	now      time.Time
	start    time.Time
	random   *rand.Rand
	history  *step.History
	trainers []*trainer
	samplers []*sampler
	streams  map[string]*stream
	won      map[string]*stream // finished and not handed over
	newest   uint64
	released time.Time
	rolled   bool
	planner  weights.Planner
	supply   market
	assigned time.Time
	turn     int
	written  map[int]int // writes by second
	result   Result
}

// Run plays a scenario to its end.
func Run(c Scenario) Result {
	start := time.Unix(1_800_000_000, 0)
	s := &site{
		c: c, now: start, start: start, random: random(c.Seed, "site"), history: &step.History{},
		streams: map[string]*stream{}, won: map[string]*stream{}, newest: 1, released: start,
		written: map[int]int{}, result: Result{Scenario: c}, rolled: true,
	}
	s.supply.planner.Policy = reclaim.Policy{StartupTime: startTime, DeadlineMargin: 30 * time.Second, MaxServers: c.Samplers, Headroom: headroom}
	if c.Baseline == OnDemand {
		s.supply.planner.Policy.Headroom = 0
	}
	s.supply.reclaimed = make([]time.Time, c.Zones)
	for i := range c.Trainers {
		offset := time.Duration(i) * c.Goal / time.Duration(c.Trainers)
		s.trainers = append(s.trainers, &trainer{name: fmt.Sprint("t", i), history: s.history, next: start.Add(offset)})
	}
	for s.now.Sub(start) < c.Length {
		s.now = s.now.Add(c.Tick)
		s.tick()
	}
	return s.end()
}

// headroom is the share of spot capacity added for what reclaims take.
const headroom = 0.5

func (s *site) tick() {
	s.release()
	s.supplyTick()
	s.load()
	s.generate()
	s.train()
	s.assign()
}

// release publishes new weights and starts or continues their roll-out.
func (s *site) release() {
	if s.now.Sub(s.released) < releasePeriod {
		return
	}
	s.newest++
	s.released, s.rolled = s.now, false
	for _, t := range s.trainers {
		if t.ledger != nil {
			t.ledger.ObserveVersion(s.newest)
			s.cancel(t)
		}
	}
}

// generate lets every engine produce the tokens of a tick.
func (s *site) generate() {
	for _, on := range s.samplers {
		if s.stalled(on) {
			continue
		}
		step := on.pace(len(on.streams), s.c.Drag) * s.c.Tick.Seconds()
		for _, st := range slices.Clone(on.streams) {
			if st.wait > 0 {
				st.wait -= s.c.Tick
				continue
			}
			made := min(step, float64(st.total)-st.done)
			st.done += made
			s.count(on, made)
			if st.done >= float64(st.total) {
				s.finish(st)
			}
		}
	}
	s.tell()
}

// stalled reports whether an engine produces nothing now; it crashes some.
func (s *site) stalled(on *sampler) bool {
	if on.stopped(s.now) {
		return true
	}
	if s.random.Float64() < s.c.Tick.Seconds()/crashPeriod.Seconds() {
		s.result.Crashed++
		on.boot++
		on.up, on.loading = s.now.Add(repairTime), time.Time{}
		on.cache, on.warm = map[uint64]uint64{}, map[uint64]bool{}
		s.lose(on)
		return true
	}
	return false
}

// lose ends every stream of an engine.
func (s *site) lose(on *sampler) {
	for _, st := range slices.Clone(on.streams) {
		s.remove(st)
		st.trainer.ledger.Fail(st.work.Attempt, errLost, s.now)
	}
}

func (s *site) finish(st *stream) {
	s.remove(st)
	got, err := st.finish()
	if err != nil {
		st.trainer.ledger.Fail(st.work.Attempt, err, s.now)
		return
	}
	if st.trainer.ledger.Complete(st.work.Attempt, got, s.now) == step.Won {
		s.won[st.work.Attempt] = st
	}
	s.cancel(st.trainer)
}

// cancel ends the streams that a ledger no longer wants.
func (s *site) cancel(t *trainer) {
	for _, id := range t.ledger.DrainCancels() {
		if st := s.streams[id]; st != nil {
			s.remove(st)
		}
	}
}

func (s *site) remove(st *stream) {
	delete(s.streams, st.work.Attempt)
	at := slices.Index(st.on.streams, st)
	st.on.streams = slices.Delete(st.on.streams, at, at+1)
}

// tell reports progress to the ledgers now and then.
func (s *site) tell() {
	for _, on := range s.samplers {
		for _, st := range slices.Clone(on.streams) {
			if s.now.Sub(st.told) < tellInterval {
				continue
			}
			st.told = s.now
			st.trainer.ledger.Progress(st.work.Attempt, int(st.done), st.label.Versions(), s.now)
			s.cancel(st.trainer)
		}
	}
}

// assign gives free engines to the ledgers, each tick to another one first.
func (s *site) assign() {
	if s.now.Sub(s.assigned) < assignInterval {
		return
	}
	s.assigned = s.now
	s.turn++
	byName := map[string]*sampler{}
	var offers []step.Engine
	for _, on := range s.samplers {
		if offer, ok := on.offer(s.now, s.c); ok {
			if s.c.Baseline == Arrival {
				offer.PrefillTime, offer.CachedPrefixes = 0, nil
			}
			offers = append(offers, offer)
			byName[on.name] = on
		}
	}
	for i := range s.trainers {
		t := s.trainers[(i+s.turn)%len(s.trainers)]
		if t.ledger == nil {
			continue
		}
		for _, work := range t.ledger.Assign(s.now, offers) {
			st := &stream{trainer: t, work: work, total: t.lengthOf(s.c, work.Group, work.Index), told: s.now}
			s.streams[work.Attempt] = st
			byName[work.Engine].begin(st, prefixOf(t, work.Group))
		}
	}
}

// export takes a stream off a reclaimed engine with its text and versions.
func (s *site) export(st *stream) {
	s.remove(st)
	st.trainer.ledger.Interrupted(st.work.Attempt, engine.Resume{Text: st.text, Tokens: int(st.done), Versions: st.label.Versions()})
}

func (s *site) end() Result {
	pending := 0.0
	for _, st := range s.streams {
		pending += st.done
	}
	for _, st := range s.won {
		pending += float64(st.total)
	}
	for _, t := range s.trainers {
		if t.ledger != nil {
			s.result.Waited += s.now.Sub(t.opened)
			s.add(t)
		}
	}
	s.result.Wasted = max(0, s.result.Generated-s.result.Delivered-pending)
	for _, n := range s.written {
		s.result.Writes += n
		s.result.MostWrites = max(s.result.MostWrites, n)
	}
	s.result.sort()
	return s.result
}
