// Package scorer is a stand-in for a scoring service: a plain service that
// gives each sample a number. Its calls are counted, for sites whose scorer
// must not see a sample twice.
package scorer

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopwall/hyssopwall/internal/standin/fault"
	"github.com/hyssopwall/hyssopwall/internal/standin/service"
)

// Sample is what is scored, and the body of POST /score.
type Sample struct {
	Prompt string `json:"prompt"`
	Text   string `json:"text"`
}

// Score is the answer, from 0 to 1.
type Score struct {
	Score float64 `json:"score"`
}

// steps is the number of different scores.
const steps = 1000

// Of returns the score of a text, which follows from the text alone.
func Of(text string) float64 {
	return float64(xxhash.Sum64String(text)%steps) / steps
}

// Settings configures a stand-in.
type Settings struct {
	Slots  int // calls at once; zero for no bound
	Faults *fault.Script
}

// New returns a scorer that doesn't listen yet.
func New(settings Settings) *service.Service {
	return service.New(service.Settings{Answer: Answer, Slots: settings.Slots, Faults: settings.Faults})
}

// Answer makes the answer to the body of a scoring call, for a service.
func Answer(_ string, body []byte) []byte {
	var sample Sample
	if err := json.Unmarshal(body, &sample); err != nil {
		return []byte(`{"error":"malformed"}`)
	}
	data, err := json.Marshal(Score{Of(sample.Text)})
	if err != nil {
		return nil
	}
	return data
}
