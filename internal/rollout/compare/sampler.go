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

// sampler is a backend server and its engine.
type sampler struct {
	name           string
	zone           int
	class          supply.Class
	speed          float64   // tokens per second of a generation that runs alone
	keepsCache     bool      // cached prompts stay valid across a swap of weights
	upAt           time.Time // end of its start or repair
	leaveAt        time.Time // end of a reclaim notice or of the wait for its last streams; zero if it stays
	removed        bool
	started        bool      // has loaded the weights that were newest when it came up
	version        uint64    // weights version in use
	target         uint64    // version that is being loaded
	loadEnd        time.Time // end of the current load; zero if none
	boot           int       // number of crashes so far
	streams        []*stream
	cache          map[uint64]uint64 // weights version that each cached prefix was computed with
	cachedPrefixes map[uint64]bool   // keys of cache, in the form that the step ledger takes
}

// stream is one generation on a sampler. The simulation records the weights versions
// that produced its text in trueVersions, separately from collector, to check the
// labels of the delivered sample.
type stream struct {
	trainer      *trainer
	work         step.Assignment
	sampler      *sampler
	total        int           // tokens
	generated    float64       // tokens so far
	wait         time.Duration // remaining time to compute the prompt
	trueVersions []uint64
	text         string
	collector    sample.Collector
	reportedAt   time.Time // last progress report to the step ledger
}

// isUp reports whether the server has started and is neither under repair nor removed.
func (s *sampler) isUp(now time.Time) bool {
	return !s.removed && !now.Before(s.upAt)
}

// stopped reports whether the engine generates nothing, because it is down or loads
// weights.
func (s *sampler) stopped(now time.Time) bool {
	return !s.isUp(now) || now.Before(s.loadEnd)
}

// tokenRate returns the tokens per second of each of n concurrent streams.
func (s *sampler) tokenRate(n int, slowdown float64) float64 {
	return s.speed / (1 + slowdown*float64(max(0, n-1)))
}

// offer returns the engine as the step ledger sees it, and whether it takes new streams:
// it has free slots, is up and does not leave.
// The offered speed depends on the load alone, so that a slow engine shows only in
// the progress of its streams.
func (s *sampler) offer(now time.Time, c Scenario) (step.Engine, bool) {
	free := c.Slots - len(s.streams)
	if free <= 0 || !s.isUp(now) || !s.leaveAt.IsZero() {
		return step.Engine{}, false
	}
	return step.Engine{
		Name: s.name, Zone: fmt.Sprint(s.zone), Version: s.version, FreeSlots: free,
		Speed: c.Speed / (1 + c.Slowdown*float64(len(s.streams))), Slowdown: c.Slowdown / (1 + c.Slowdown*float64(len(s.streams))),
		Wait: max(0, s.loadEnd.Sub(now)), PrefillTime: prefillTime, CachedPrefixes: s.cachedPrefixes,
	}, true
}

// report returns the state of the engine for the planner of weight loads. Every engine
// reports one slot: the planner computes only shares of all slots, and all engines have the
// same number.
func (s *sampler) report() weights.Engine {
	return weights.Engine{
		Name: s.name, Zone: fmt.Sprint(s.zone), Version: s.version,
		Boot: fmt.Sprint(s.boot), Slots: 1, Running: len(s.streams),
	}
}

// begin starts or resumes a stream. With a cached prompt, the version that computed the
// prompt counts among the versions of the text.
func (s *sampler) begin(st *stream, prefix uint64) {
	st.sampler = s
	st.collector.Request = st.work.Request
	if resume := st.work.Request.Resume; resume != nil {
		st.generated, st.text, st.trueVersions = float64(resume.Tokens), resume.Text, resume.Versions
	}
	versions := []uint64{s.version}
	if version, ok := s.cache[prefix]; ok {
		versions = sample.Union(versions, []uint64{version})
	} else {
		st.wait = prefillTime
		s.cache[prefix], s.cachedPrefixes[prefix] = s.version, true
	}
	st.appendText(versions)
	s.streams = append(s.streams, st)
}

// appendText appends a piece of text that was produced by the given weights versions.
func (st *stream) appendText(versions []uint64) {
	st.trueVersions = sample.Union(st.trueVersions, versions)
	piece := fmt.Sprint(versions)
	st.text += piece
	_ = st.collector.Add(engine.Event{ID: st.work.Attempt, Text: piece, Versions: versions})
}

// finish ends the stream and returns its sample, labeled by the collector.
func (st *stream) finish() (sample.Sample, error) {
	end := engine.Event{ID: st.work.Attempt, Done: true, Tokens: st.total, Digest: sample.Digest(st.text), Reason: "stop"}
	if err := st.collector.Add(end); err != nil {
		return sample.Sample{}, err
	}
	return st.collector.Sample()
}

// swapWeights switches the engine to the loaded weights. Running streams continue with
// them.
func (s *sampler) swapWeights() {
	s.version, s.loadEnd = s.target, time.Time{}
	if !s.keepsCache || len(s.cache) > maxCached {
		s.cache, s.cachedPrefixes = map[uint64]uint64{}, map[uint64]bool{}
	}
	for _, st := range s.streams {
		st.appendText([]uint64{s.version})
	}
}

// maxCached limits the cached prompts that survive a swap of weights: a sampler with more
// drops all of them at the swap.
const maxCached = 64

// newSampler returns a server that is up from the given time on. A slowShare of the
// servers is slow and a keepCacheShare keeps its cache across swaps.
func newSampler(name string, zone int, class supply.Class, upAt time.Time, version uint64, c Scenario, random *rand.Rand) *sampler {
	s := &sampler{
		name: name, zone: zone, class: class, upAt: upAt, version: version, target: version,
		speed: c.Speed, cache: map[uint64]uint64{}, cachedPrefixes: map[uint64]bool{}, keepsCache: random.Float64() < keepCacheShare,
	}
	if random.Float64() < slowShare {
		s.speed *= slowSpeed
	}
	return s
}
