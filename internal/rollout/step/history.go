package step

import (
	"sync"
	"time"
)

// maxClasses is the largest number of classes that a History distinguishes. Samples of
// further classes count for the empty class.
const maxClasses = 1024

const (
	historyWeight = 0.05 // weight of a new length in the moving mean
	priorWeight   = 2.0  // weight of the class's mean, as a number of finished samples of the group
	defaultTokens = 512  // expected length without any history or limit
	overrunFactor = 1.3  // factor on the length so far, once that has reached the expected length
)

// History keeps moving means of the lengths of a workspace's samples and of the speed
// of engines, to predict those of new attempts. The steps of a workspace share it. It
// is safe for concurrent use; the zero value is an empty history.
type History struct {
	mu      sync.Mutex
	means   map[string]float64     // mean length by class
	overall float64                // mean length over all classes
	ratios  map[string]engineRatio // by engine name
	ratio   float64                // mean speed ratio over all engines
}

// engineRatio is the mean speed ratio of one engine, and the time of its last update.
type engineRatio struct {
	value float64
	seen  time.Time
}

// AddLength adds the length in tokens of a finished sample.
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

// MeanLength returns the expected length in tokens of a sample of the class. For a
// class without history it returns the mean over all classes. Without any history it
// returns half of the limit: an estimate that is too low orders too few servers, which
// delays the whole step.
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

// estimateLength returns the expected length of a sample: the mean of its class,
// weighted with the lengths of the group's finished samples, and more than soFar, the
// tokens that an attempt has already generated. Finished is the number of the group's
// finished samples, and tokens the sum of their lengths.
func estimateLength(mean float64, finished, tokens int, soFar int) float64 {
	length := (mean*priorWeight + float64(tokens)) / (priorWeight + float64(finished))
	if float64(soFar) >= length {
		return float64(soFar) * overrunFactor
	}
	return length
}

// Parameters of the speed ratios of engines.
const (
	maxEngines       = 8192 // with this many engines, the next update clears all ratios
	ratioWeight      = 0.2  // weight of a new ratio in the moving mean of its engine
	fleetRatioWeight = 0.01 // weight of a new ratio in the moving mean over all engines
	slowRatio        = 0.6  // relative speed below which an engine counts as slow
	ratioTTL         = 10 * time.Minute
)

// AddSpeedRatio adds a measured speed of an attempt on an engine, as the ratio to the
// speed that the engine reported. Load that arrives later lowers the ratios of all
// engines alike, so an engine counts as slow only by comparison with the mean over all
// engines.
func (h *History) AddSpeedRatio(name string, ratio float64, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ratios == nil || len(h.ratios) >= maxEngines {
		h.ratios = map[string]engineRatio{}
	}
	h.ratios[name] = engineRatio{movingMean(h.ratios[name].value, ratio, ratioWeight), now}
	h.ratio = movingMean(h.ratio, ratio, fleetRatioWeight)
}

// movingMean returns the exponential moving mean after a new value. A mean of zero
// counts as empty.
func movingMean(mean, value, weight float64) float64 {
	if mean == 0 {
		return value
	}
	return mean + weight*(value-mean)
}

// RelativeSpeed returns the mean speed ratio of an engine relative to that over all
// engines, or one if the engine isn't known to be slow. Ratios expire after ratioTTL, so
// that an engine that was slow is tried again.
func (h *History) RelativeSpeed(name string, now time.Time) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	ratio, ok := h.ratios[name]
	if !ok || now.Sub(ratio.seen) > ratioTTL || ratio.value >= slowRatio*h.ratio {
		return 1
	}
	return max(ratio.value/h.ratio, 0.01) // the minimum keeps expected times finite
}
