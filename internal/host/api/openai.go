package api

// The wire types of the OpenAI interface, as far as hyssopwall uses them. The
// field versions is an addition: the weight versions that produced the text.

// completionRequest is the body of /v1/completions.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Seed      int64  `json:"seed"`
	Stream    bool   `json:"stream"`
	N         int    `json:"n"`
}

// defaultTokens is the length of an answer whose request names none, and
// maxTokens the longest that may be asked for.
const (
	defaultTokens = 256
	maxTokens     = 1 << 20
	maxChoices    = 128
)

// Check returns an *Error with code BadRequest for the first wrong field.
func (r completionRequest) Check() error {
	switch {
	case r.Model == "":
		return Refuse(BadRequest, `field "model" is missing`)
	case r.MaxTokens < 0 || r.MaxTokens > maxTokens:
		return Refuse(BadRequest, `field "max_tokens" is out of range`)
	case r.N < 0 || r.N > maxChoices:
		return Refuse(BadRequest, `field "n" is out of range`)
	case r.Stream && r.N > 1:
		return Refuse(BadRequest, `field "n" must be 1 with "stream"`)
	}
	return nil
}

// chatRequest is the body of /v1/chat/completions.
type chatRequest struct {
	Model               string    `json:"model"`
	Messages            []message `json:"messages"`
	MaxTokens           int       `json:"max_tokens"`
	MaxCompletionTokens int       `json:"max_completion_tokens"`
	Seed                int64     `json:"seed"`
	Stream              bool      `json:"stream"`
	N                   int       `json:"n"`
}

// Check returns an *Error with code BadRequest for the first wrong field.
func (r chatRequest) Check() error {
	if len(r.Messages) == 0 {
		return Refuse(BadRequest, `field "messages" is empty`)
	}
	return r.plain().Check()
}

// plain returns the same request as a completion. The roles stand in the
// prompt, one message a line.
func (r chatRequest) plain() completionRequest {
	prompt := ""
	for _, m := range r.Messages {
		prompt += m.Role + ": " + m.Content + "\n"
	}
	return completionRequest{
		Model: r.Model, Prompt: prompt, MaxTokens: max(r.MaxTokens, r.MaxCompletionTokens),
		Seed: r.Seed, Stream: r.Stream, N: r.N,
	}
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// answer is a whole answer or one element of a stream.
type answer struct {
	ID       string   `json:"id"`
	Object   string   `json:"object"`
	Created  int64    `json:"created"` // seconds since 1970
	Model    string   `json:"model"`
	Choices  []choice `json:"choices"`
	Usage    *usage   `json:"usage,omitempty"`
	Versions []uint64 `json:"versions,omitempty"`
}

type choice struct {
	Index    int      `json:"index"`
	Text     *string  `json:"text,omitempty"`
	Message  *message `json:"message,omitempty"`
	Delta    *message `json:"delta,omitempty"`
	Finish   *string  `json:"finish_reason"`
	LogProbs *int     `json:"logprobs"`
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}
