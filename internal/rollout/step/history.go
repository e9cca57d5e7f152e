package step

import (
	"sync"
	"time"
)

// maxClasses bounds the classes that a History tells apart; further ones share
// the empty class.
const maxClasses = 1024

const (
	historyWeight = 0.05 // of the newest length in the moving mean
	priorWeight   = 2.0  // of the class's mean against the lengths seen in the group
	defaultTokens = 512  // expected length without any history or limit
	overrunFactor = 1.3  // expected length over the length so far, once that passes the expectation
)

// History predicts the lengths of a workspace's samples from those of its
// earlier ones. The steps of a workspace share it. The zero value is ready.
type History struct {
	mu    sync.Mutex
	means map[string]float64
	all   float64 // mean of all classes
	paces map[string]enginePace
	pace  float64 // of all engines, as the share of their stated speed
}

// enginePace is the pace of one engine and when it was last seen.
type enginePace struct {
	share float64
	seen  time.Time
}

// AddLength takes the length in tokens of a finished sample.
func (h *History) AddLength(class string, tokens int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.means == nil {
		h.means = map[string]float64{}
	}
	if _, ok := h.means[class]; !ok && len(h.means) >= maxClasses {
		class = ""
	}
	h.means[class] = moved(h.means[class], float64(tokens), historyWeight)
	h.all = moved(h.all, float64(tokens), historyWeight)
}

// MeanLength returns the expected length in tokens of a sample of the class. A class
// without history takes the mean of all, and a workspace without history half
// of the limit, since to order too few servers delays a whole step.
func (h *History) MeanLength(class string, limit int) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch mean := h.means[class]; {
	case mean > 0:
		return mean
	case h.all > 0:
		return h.all
	case limit > 0:
		return float64(limit) / 2
	}
	return defaultTokens
}

// expected mixes the class's mean with the lengths of the group's finished
// samples, and never falls below what an attempt has already produced.
func expected(mean float64, finished, tokens int, soFar int) float64 {
	length := (mean*priorWeight + float64(tokens)) / (priorWeight + float64(finished))
	if float64(soFar) >= length {
		return float64(soFar) * overrunFactor
	}
	return length
}

// Limits of what is remembered of engines.
const (
	maxPaces   = 8192
	paceWeight = 0.2  // of the newest pace in an engine's moving mean
	fleetPace  = 0.01 // of the newest pace in the fleet's moving mean
	slowPace   = 0.6  // of the fleet's pace: below it an engine counts as slow
	paceMemory = 10 * time.Minute
)

// AddSpeedRatio takes the share of its stated speed at which an engine ran an
// attempt. Load that comes later lowers the pace of all engines alike, so that
// only an engine's pace against the fleet's says that it is slow.
func (h *History) AddSpeedRatio(name string, pace float64, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.paces == nil || len(h.paces) >= maxPaces {
		h.paces = map[string]enginePace{}
	}
	h.paces[name] = enginePace{moved(h.paces[name].share, pace, paceWeight), now}
	h.pace = moved(h.pace, pace, fleetPace)
}

// moved returns the moving mean after a value; a mean of zero has none yet.
func moved(mean, value, weight float64) float64 {
	if mean == 0 {
		return value
	}
	return mean + weight*(value-mean)
}

// RelativeSpeed returns the pace of an engine against the fleet's, one unless it is
// known to be slow. What was seen long ago is forgotten, so that an engine gets
// another chance.
func (h *History) RelativeSpeed(name string, now time.Time) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	pace, ok := h.paces[name]
	if !ok || now.Sub(pace.seen) > paceMemory || pace.share >= slowPace*h.pace {
		return 1
	}
	return max(pace.share/h.pace, 0.01)
}
