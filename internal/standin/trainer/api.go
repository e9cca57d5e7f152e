package trainer

// Group is a prompt and the number of samples to draw from it. Hosts accept Seed, but don't
// use it.
type Group struct {
	Prompt  string `json:"prompt"`
	Samples int    `json:"samples"`
	Seed    int64  `json:"seed"`
}

// OpenStepRequest is the body of POST /v1/steps. Deadline is a duration in the format of
// time.ParseDuration; hosts accept it, but don't use it. Bound is the maximum age of a
// sample in weights versions, and MaxTokens limits each sample. Score names the scoring
// service, if any.
type OpenStepRequest struct {
	Trainer   string  `json:"trainer"`
	Number    int     `json:"number"`
	Model     string  `json:"model"`
	Bound     uint64  `json:"bound"`
	Deadline  string  `json:"deadline"`
	MaxTokens int     `json:"max_tokens"`
	Groups    []Group `json:"groups"`
	Score     string  `json:"score,omitempty"`
}

// OpenStepResponse is the response to an OpenStepRequest.
type OpenStepResponse struct {
	ID string `json:"id"`
}

// PullRequest is the body of POST /v1/steps/ID/pull. It acknowledges all chunks up to
// Cursor. Newest is the newest weights version known to the trainer, Max the maximum number
// of samples, and Wait the time to wait for samples, in the format of time.ParseDuration.
type PullRequest struct {
	Cursor uint64 `json:"cursor"`
	Newest uint64 `json:"newest,omitempty"`
	Max    int    `json:"max"`
	Wait   string `json:"wait"`
}

// Chunk is the response to a PullRequest. A trainer may use its samples only if its own
// cursor equals Previous.
type Chunk struct {
	Previous uint64   `json:"previous"`
	Cursor   uint64   `json:"cursor"`
	Samples  []Sample `json:"samples"`
	Done     bool     `json:"done"`
}

// Sample is one delivered sample. Versions holds the weights versions that computed it,
// sorted and without repeats. Digest is the SHA-256 of Text in hexadecimal.
type Sample struct {
	Group    int      `json:"group"`
	Index    int      `json:"index"`
	Text     string   `json:"text"`
	Tokens   int      `json:"tokens"`
	Versions []uint64 `json:"versions"`
	Digest   string   `json:"digest"`
	Score    *float64 `json:"score,omitempty"`
}
