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

// Intervals at which the simulated components act.
const (
	progressInterval = 5 * time.Second // between two progress reports of a stream
	supplyInterval   = 5 * time.Second // between two plans of the supply
	assignInterval   = time.Second     // between two assignments of attempts
)

// errEngineLost is the failure of a stream whose engine crashed or was reclaimed.
var errEngineLost = errors.New("engine lost")

// simulation is the state of a run.
type simulation struct {
	scenario    Scenario
	now         time.Time
	start       time.Time
	random      *rand.Rand
	history     *step.History
	trainers    []*trainer
	samplers    []*sampler         // the backend servers with their engines
	streams     map[string]*stream // running streams, by attempt
	undelivered map[string]*stream // finished streams whose samples no trainer has received, by attempt
	newest      uint64             // newest weights version
	released    time.Time          // release of the newest weights
	rolledOut   bool               // every serving engine has loaded the newest weights
	planner     weights.Planner
	supply      market
	assigned    time.Time   // last assignment of attempts
	turn        int         // selects the trainer that is served first
	written     map[int]int // writes of step objects, by second of the run
	result      Result
}

// Run simulates a scenario and returns its measurements.
func Run(c Scenario) Result {
	start := time.Unix(1_800_000_000, 0)
	s := &simulation{
		scenario: c, now: start, start: start, random: random(c.Seed, "site"), history: &step.History{},
		streams: map[string]*stream{}, undelivered: map[string]*stream{}, newest: 1, released: start,
		written: map[int]int{}, result: Result{Scenario: c}, rolledOut: true,
	}
	s.supply.planner.Policy = reclaim.Policy{StartupTime: startupTime, DeadlineMargin: 30 * time.Second, MaxServers: c.Samplers, Headroom: headroom}
	if c.Baseline == OnDemand {
		s.supply.planner.Policy.Headroom = 0
	}
	s.supply.lastReclaim = make([]time.Time, c.Zones)
	for i := range c.Trainers {
		offset := time.Duration(i) * c.StepGoal / time.Duration(c.Trainers)
		s.trainers = append(s.trainers, &trainer{name: fmt.Sprint("t", i), history: s.history, nextOpen: start.Add(offset)})
	}
	for s.now.Sub(start) < c.Length {
		s.now = s.now.Add(c.Tick)
		s.tick()
	}
	return s.finishRun()
}

// headroom is the number of spot servers ordered beyond the need to make up for reclaims,
// as a share of the need.
const headroom = 0.5

// tick advances every simulated component by one tick.
func (s *simulation) tick() {
	s.release()
	s.supplyTick()
	s.loadWeights()
	s.generate()
	s.tickTrainers()
	s.assign()
}

// release publishes new weights once per releasePeriod, which starts their
// roll-out, and announces their version to the open steps.
func (s *simulation) release() {
	if s.now.Sub(s.released) < releasePeriod {
		return
	}
	s.newest++
	s.released, s.rolledOut = s.now, false
	for _, t := range s.trainers {
		if t.ledger != nil {
			t.ledger.ObserveVersion(s.newest)
			s.cancel(t)
		}
	}
}

// generate lets every engine generate the tokens of a tick, and reports progress.
func (s *simulation) generate() {
	for _, sm := range s.samplers {
		if s.skipsTick(sm) {
			continue
		}
		perStream := sm.tokenRate(len(sm.streams), s.scenario.Slowdown) * s.scenario.Tick.Seconds()
		for _, st := range slices.Clone(sm.streams) {
			if st.wait > 0 {
				st.wait -= s.scenario.Tick
				continue
			}
			made := min(perStream, float64(st.total)-st.generated)
			st.generated += made
			s.countTokens(sm, made)
			if st.generated >= float64(st.total) {
				s.finish(st)
			}
		}
	}
	s.reportProgress()
}

// skipsTick reports whether an engine generates nothing in this tick. It also crashes
// running engines at random, once per crashPeriod on average.
func (s *simulation) skipsTick(sm *sampler) bool {
	if sm.stopped(s.now) {
		return true
	}
	if s.random.Float64() < s.scenario.Tick.Seconds()/crashPeriod.Seconds() {
		s.result.Crashed++
		sm.boot++
		sm.upAt, sm.loadEnd = s.now.Add(repairTime), time.Time{}
		sm.cache, sm.cachedPrefixes = map[uint64]uint64{}, map[uint64]bool{}
		s.failStreams(sm)
		return true
	}
	return false
}

// failStreams ends every stream of an engine as failed.
func (s *simulation) failStreams(sm *sampler) {
	for _, st := range slices.Clone(sm.streams) {
		s.remove(st)
		st.trainer.ledger.Fail(st.work.Attempt, errEngineLost, s.now)
	}
}

// finish ends a stream that has generated all its tokens and passes its sample to the
// step ledger.
func (s *simulation) finish(st *stream) {
	s.remove(st)
	got, err := st.finish()
	if err != nil {
		st.trainer.ledger.Fail(st.work.Attempt, err, s.now)
		return
	}
	if st.trainer.ledger.Complete(st.work.Attempt, got, s.now) == step.Won {
		s.undelivered[st.work.Attempt] = st
	}
	s.cancel(st.trainer)
}

// cancel ends the streams whose attempts the trainer's step ledger has canceled.
func (s *simulation) cancel(t *trainer) {
	for _, id := range t.ledger.DrainCancels() {
		if st := s.streams[id]; st != nil {
			s.remove(st)
		}
	}
}

// remove takes a stream off its engine.
func (s *simulation) remove(st *stream) {
	delete(s.streams, st.work.Attempt)
	at := slices.Index(st.sampler.streams, st)
	st.sampler.streams = slices.Delete(st.sampler.streams, at, at+1)
}

// reportProgress reports the progress of each stream to its step ledger, once per
// progressInterval.
func (s *simulation) reportProgress() {
	for _, sm := range s.samplers {
		for _, st := range slices.Clone(sm.streams) {
			if s.now.Sub(st.reportedAt) < progressInterval {
				continue
			}
			st.reportedAt = s.now
			st.trainer.ledger.Progress(st.work.Attempt, int(st.generated), st.collector.Versions(), s.now)
			s.cancel(st.trainer)
		}
	}
}

// assign offers the free slots of the engines to the step ledgers and starts the
// attempts that they assign. Each time another trainer is served first.
func (s *simulation) assign() {
	if s.now.Sub(s.assigned) < assignInterval {
		return
	}
	s.assigned = s.now
	s.turn++
	byName := map[string]*sampler{}
	var offers []step.Engine
	for _, sm := range s.samplers {
		if offer, ok := sm.offer(s.now, s.scenario); ok {
			if s.scenario.Baseline == ArrivalOrder {
				offer.PrefillTime, offer.CachedPrefixes = 0, nil
			}
			offers = append(offers, offer)
			byName[sm.name] = sm
		}
	}
	for i := range s.trainers {
		t := s.trainers[(i+s.turn)%len(s.trainers)]
		if t.ledger == nil {
			continue
		}
		for _, work := range t.ledger.Assign(s.now, offers) {
			st := &stream{trainer: t, work: work, total: t.lengthOf(s.scenario, work.Group, work.Index), reportedAt: s.now}
			s.streams[work.Attempt] = st
			byName[work.Engine].begin(st, prefixOf(t, work.Group))
		}
	}
}

// export takes a stream off a reclaimed engine and passes its text and weights versions
// to the step ledger, which resumes it on another engine.
func (s *simulation) export(st *stream) {
	s.remove(st)
	st.trainer.ledger.Interrupted(st.work.Attempt, engine.Resume{Text: st.text, Tokens: int(st.generated), Versions: st.collector.Versions()})
}

// finishRun adds the unfinished steps and the totals to the result. Tokens of running
// streams and of samples still to be delivered do not count as wasted.
func (s *simulation) finishRun() Result {
	pending := 0.0
	for _, st := range s.streams {
		pending += st.generated
	}
	for _, st := range s.undelivered {
		pending += float64(st.total)
	}
	for _, t := range s.trainers {
		if t.ledger != nil {
			s.result.TrainerWait += s.now.Sub(t.opened)
			s.addStats(t)
		}
	}
	s.result.WastedTokens = max(0, s.result.GeneratedTokens-s.result.DeliveredTokens-pending)
	for _, n := range s.written {
		s.result.Writes += n
		s.result.MaxWritesPerSecond = max(s.result.MaxWritesPerSecond, n)
	}
	s.result.sort()
	return s.result
}
