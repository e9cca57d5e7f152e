package api

// The wire types of the part of the OpenAI API that hyssopwall supports. The field
// versions is an extension: the weights versions that generated the text.

// completionRequest is the body of /v1/completions.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Seed      int64  `json:"seed"`
	Stream    bool   `json:"stream"`
	N         int    `json:"n"`
}

// defaultMaxTokens is the maximum number of tokens of an answer whose request sets none,
// maxTokens the largest that a request may set, and maxChoices the largest number of
// choices.
const (
	defaultMaxTokens = 256
	maxTokens        = 1 << 20
	maxChoices       = 128
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
	return r.completion().Check()
}

// completion returns the same request as a completion. Its prompt has one line for each
// message, with the role and the content. The larger of the two token limits applies.
func (r chatRequest) completion() completionRequest {
	prompt := ""
	for _, m := range r.Messages {
		prompt += m.Role + ": " + m.Content + "\n"
	}
	return completionRequest{
		Model: r.Model, Prompt: prompt, MaxTokens: max(r.MaxTokens, r.MaxCompletionTokens),
		Seed: r.Seed, Stream: r.Stream, N: r.N,
	}
}

// message is a message of a chat.
type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// answer is a complete answer or one element of a stream. Versions lists the weights versions
// of all choices, sorted; in an element of a stream, only those of that element.
type answer struct {
	ID       string   `json:"id"`
	Object   string   `json:"object"`
	Created  int64    `json:"created"` // seconds since 1970
	Model    string   `json:"model"`
	Choices  []choice `json:"choices"`
	Usage    *usage   `json:"usage,omitempty"`
	Versions []uint64 `json:"versions,omitempty"`
}

// choice is the result of one generation. Text is set in completions, Message in chat
// completions and Delta in streams of the latter.
type choice struct {
	Index    int      `json:"index"`
	Text     *string  `json:"text,omitempty"`
	Message  *message `json:"message,omitempty"`
	Delta    *message `json:"delta,omitempty"`
	Finish   *string  `json:"finish_reason"`
	LogProbs *int     `json:"logprobs"` // always null: not supported
}

// usage holds the numbers of tokens of an answer. Prompt is always 0, since the tokens of
// prompts are not counted; Total equals Completion.
type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

// modelList is the body of the answer of /v1/models.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

// model is an element of a modelList.
type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}
