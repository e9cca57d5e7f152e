package compare

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/platform/supply"
	"github.com/hyssopwall/hyssopwall/internal/rollout/sample"
	"github.com/hyssopwall/hyssopwall/internal/rollout/step"
	"github.com/hyssopwall/hyssopwall/internal/rollout/weights"
)

// sampler is one backend server with its engine.
type sampler struct {
	name    string
	zone    int
	class   supply.Class
	speed   float64
	keeps   bool      // cached prompts outlive a swap
	up      time.Time // works from here on
	until   time.Time // end of a reclaim notice
	gone    bool
	started bool // has loaded the weights that were newest when it started
	version uint64
	target  uint64
	loading time.Time // end of a load; zero if none
	boot    int
	streams []*stream
	cache   map[uint64]uint64 // prefix to the version it was computed under
	warm    map[uint64]bool   // the same prefixes, as the ledger hears of them
}

// stream is one generation on a sampler. Truth is what the engine's stream
// names, kept apart from what the ledger hears.
type stream struct {
	trainer *trainer
	work    step.Assignment
	on      *sampler
	total   int
	done    float64
	wait    time.Duration // to compute the prompt
	truth   []uint64
	text    string
	label   sample.Collector
	told    time.Time // last progress told to the ledger
}

func (s *sampler) works(now time.Time) bool {
	return !s.gone && !now.Before(s.up)
}

func (s *sampler) stopped(now time.Time) bool {
	return !s.works(now) || now.Before(s.loading)
}

// pace returns the tokens per second of each of n generations.
func (s *sampler) pace(n int, drag float64) float64 {
	return s.speed / (1 + drag*float64(max(0, n-1)))
}

// offer is what the ledger hears of a sampler. Its speed follows from its load
// alone, so that a slow engine shows only in the progress of its streams.
func (s *sampler) offer(now time.Time, c Scenario) (step.Engine, bool) {
	free := c.Slots - len(s.streams)
	if free <= 0 || !s.works(now) || !s.until.IsZero() {
		return step.Engine{}, false
	}
	return step.Engine{
		Name: s.name, Zone: fmt.Sprint(s.zone), Version: s.version, FreeSlots: free,
		Speed: c.Speed / (1 + c.Drag*float64(len(s.streams))), Slowdown: c.Drag / (1 + c.Drag*float64(len(s.streams))),
		Wait: max(0, s.loading.Sub(now)), PrefillTime: coldTime, CachedPrefixes: s.warm,
	}, true
}

func (s *sampler) report() weights.Engine {
	return weights.Engine{
		Name: s.name, Zone: fmt.Sprint(s.zone), Version: s.version,
		Boot: fmt.Sprint(s.boot), Slots: 1, Running: len(s.streams),
	}
}

// begin starts a stream; it reuses a cached prompt under the version that
// computed it.
func (s *sampler) begin(st *stream, prefix uint64) {
	st.on = s
	st.label.Request = st.work.Request
	if resume := st.work.Request.Resume; resume != nil {
		st.done, st.text, st.truth = float64(resume.Tokens), resume.Text, resume.Versions
	}
	named := []uint64{s.version}
	if version, ok := s.cache[prefix]; ok {
		named = sample.Union(named, []uint64{version})
	} else {
		st.wait = coldTime
		s.cache[prefix], s.warm[prefix] = s.version, true
	}
	st.produce(named)
	s.streams = append(s.streams, st)
}

// produce adds a piece of text that the versions produced.
func (st *stream) produce(versions []uint64) {
	st.truth = sample.Union(st.truth, versions)
	piece := fmt.Sprint(versions)
	st.text += piece
	_ = st.label.Add(engine.Event{ID: st.work.Attempt, Text: piece, Versions: versions})
}

// finish ends the stream and returns its sample as the collector labels it.
func (st *stream) finish() (sample.Sample, error) {
	end := engine.Event{ID: st.work.Attempt, Done: true, Tokens: st.total, Digest: sample.Digest(st.text), Reason: "stop"}
	if err := st.label.Add(end); err != nil {
		return sample.Sample{}, err
	}
	return st.label.Sample()
}

// swap puts loaded weights in force. Running streams go on under them.
func (s *sampler) swap() {
	s.version, s.loading = s.target, time.Time{}
	if !s.keeps || len(s.cache) > maxCached {
		s.cache, s.warm = map[uint64]uint64{}, map[uint64]bool{}
	}
	for _, st := range s.streams {
		st.produce([]uint64{s.version})
	}
}

// maxCached bounds the prompts that a sampler keeps.
const maxCached = 64

func newSampler(name string, zone int, class supply.Class, up time.Time, version uint64, c Scenario, random *rand.Rand) *sampler {
	s := &sampler{
		name: name, zone: zone, class: class, up: up, version: version, target: version,
		speed: c.Speed, cache: map[uint64]uint64{}, warm: map[uint64]bool{}, keeps: random.Float64() < keepShare,
	}
	if random.Float64() < slowShare {
		s.speed *= slowSpeed
	}
	return s
}
