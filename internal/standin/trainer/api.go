package trainer

// Group is a prompt and the number of samples to draw from it.
type Group struct {
	Prompt  string `json:"prompt"`
	Samples int    `json:"samples"`
	Seed    int64  `json:"seed"`
}

// Opening is the body of POST /v1/steps. Deadline is a duration as Go writes
// it; Bound is the greatest age in versions.
type Opening struct {
	Trainer   string  `json:"trainer"`
	Number    int     `json:"number"`
	Model     string  `json:"model"`
	Bound     uint64  `json:"bound"`
	Deadline  string  `json:"deadline"`
	MaxTokens int     `json:"max_tokens"`
	Groups    []Group `json:"groups"`
	Score     string  `json:"score,omitempty"`
}

// Opened is its answer.
type Opened struct {
	ID string `json:"id"`
}

// Pull is the body of POST /v1/steps/ID/pull. Cursor acknowledges all chunks up
// to it.
type Pull struct {
	Cursor uint64 `json:"cursor"`
	Newest uint64 `json:"newest,omitempty"`
	Max    int    `json:"max"`
	Wait   string `json:"wait"`
}

// Chunk is its answer. Its samples may be taken only by a trainer that holds
// the cursor Previous.
type Chunk struct {
	Previous uint64   `json:"previous"`
	Cursor   uint64   `json:"cursor"`
	Samples  []Sample `json:"samples"`
	Done     bool     `json:"done"`
}

// Sample is one delivered sample.
type Sample struct {
	Group    int      `json:"group"`
	Index    int      `json:"index"`
	Text     string   `json:"text"`
	Tokens   int      `json:"tokens"`
	Versions []uint64 `json:"versions"`
	Digest   string   `json:"digest"`
	Score    *float64 `json:"score,omitempty"`
}
