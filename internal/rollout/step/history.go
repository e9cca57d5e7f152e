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
	mu      sync.Mutex
	means   map[string]float64
	overall float64 // mean of all classes
	ratios  map[string]engineRatio
	ratio   float64 // of all engines, as the share of their stated speed
}

// enginePace is the pace of one engine and when it was last seen.
type engineRatio struct {
	value float64
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
	h.means[class] = movingMean(h.means[class], float64(tokens), historyWeight)
	h.overall = movingMean(h.overall, float64(tokens), historyWeight)
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
	case h.overall > 0:
		return h.overall
	case limit > 0:
		return float64(limit) / 2
	}
	return defaultTokens
}

// expected mixes the class's mean with the lengths of the group's finished
// samples, and never falls below what an attempt has already produced.
func estimateLength(mean float64, finished, tokens int, soFar int) float64 {
	length := (mean*priorWeight + float64(tokens)) / (priorWeight + float64(finished))
	if float64(soFar) >= length {
		return float64(soFar) * overrunFactor
	}
	return length
}

// Limits of what is remembered of engines.
const (
	maxEngines       = 8192
	ratioWeight      = 0.2  // of the newest pace in an engine's moving mean
	fleetRatioWeight = 0.01 // of the newest pace in the fleet's moving mean
	slowRatio        = 0.6  // of the fleet's pace: below it an engine counts as slow
	ratioTTL         = 10 * time.Minute
)

// AddSpeedRatio takes the share of its stated speed at which an engine ran an
// attempt. Load that comes later lowers the pace of all engines alike, so that
// only an engine's pace against the fleet's says that it is slow.
func (h *History) AddSpeedRatio(name string, ratio float64, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ratios == nil || len(h.ratios) >= maxEngines {
		h.ratios = map[string]engineRatio{}
	}
	h.ratios[name] = engineRatio{movingMean(h.ratios[name].value, ratio, ratioWeight), now}
	h.ratio = movingMean(h.ratio, ratio, fleetRatioWeight)
}

// moved returns the moving mean after a value; a mean of zero has none yet.
func movingMean(mean, value, weight float64) float64 {
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
	ratio, ok := h.ratios[name]
	if !ok || now.Sub(ratio.seen) > ratioTTL || ratio.value >= slowRatio*h.ratio {
		return 1
	}
	return max(ratio.value/h.ratio, 0.01)
}
