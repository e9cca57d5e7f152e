// Package scorer is a stand-in for a scoring service: a plain service that assigns a
// score to each sample. It counts its calls, so that tests of sites whose scorer must
// not receive a sample twice can check this.
package scorer

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopwall/hyssopwall/internal/standin/fault"
	"github.com/hyssopwall/hyssopwall/internal/standin/service"
)

// Sample is the sample to score, and the body of POST /score.
type Sample struct {
	Prompt string `json:"prompt"`
	Text   string `json:"text"`
}

// Score is the response to a scoring call. Its value is at least 0 and less than 1.
type Score struct {
	Score float64 `json:"score"`
}

// levels is the number of distinct scores.
const levels = 1000

// Of returns the score of a text. Equal texts have equal scores.
func Of(text string) float64 {
	return float64(xxhash.Sum64String(text)%levels) / levels
}

// Settings configures a scorer.
type Settings struct {
	Slots  int // maximum number of concurrent calls; zero for no limit
	Faults *fault.Script
}

// New returns a scorer that isn't listening yet.
func New(settings Settings) *service.Service {
	return service.New(service.Settings{Answer: Answer, Slots: settings.Slots, Faults: settings.Faults})
}

// Answer returns the response body for the body of a scoring call. It is the Answer
// function of a service, so a malformed body gets an error object, but the status 200.
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
