package step

import "sync"

// maxClasses bounds the classes that a History tells apart; further ones share
// the empty class.
const maxClasses = 1024

const (
	historyWeight = 0.05 // of the newest length in the moving mean
	priorWeight   = 2.0  // of the class's mean against the lengths seen in the group
	defaultTokens = 512  // expected length without any history
	overrunFactor = 1.3  // expected length over the length so far, once that passes the expectation
)

// History predicts the lengths of a workspace's samples from those of its
// earlier ones. The steps of a workspace share it. The zero value is ready.
type History struct {
	mu    sync.Mutex
	means map[string]float64
}

// Add takes the length in tokens of a finished sample.
func (h *History) Add(class string, tokens int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.means == nil {
		h.means = map[string]float64{}
	}
	if _, ok := h.means[class]; !ok && len(h.means) >= maxClasses {
		class = ""
	}
	mean, ok := h.means[class]
	if !ok {
		h.means[class] = float64(tokens)
		return
	}
	h.means[class] = mean + historyWeight*(float64(tokens)-mean)
}

// Mean returns the expected length in tokens of a sample of the class.
func (h *History) Mean(class string) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if mean, ok := h.means[class]; ok {
		return mean
	}
	if mean, ok := h.means[""]; ok {
		return mean
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
