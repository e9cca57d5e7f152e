package load

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
	"github.com/hyssopwall/hyssopwall/internal/standin/caller"
	"github.com/hyssopwall/hyssopwall/internal/standin/engine"
)

// result is what became of one request. Wrong says that the answer belongs to
// another request or is not whole.
type result struct {
	code   string // empty for a whole answer
	wrong  bool
	tokens int
	first  time.Duration // time to the first token of a stream
}

// completion is the body of POST /v1/completions.
type completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Seed      int64  `json:"seed"`
	Stream    bool   `json:"stream,omitempty"`
}

// answer is its answer, or one event of its stream.
type answer struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

func (a answer) text() string {
	if len(a.Choices) == 0 {
		return ""
	}
	return a.Choices[0].Text
}

func (s *source) completion(prompt string, seed int64, stream bool) completion {
	tokens := s.workspace.Tokens
	if tokens == 0 {
		tokens = DefaultTokens
	}
	return completion{Model: s.workspace.Model, Prompt: prompt, MaxTokens: tokens, Seed: seed, Stream: stream}
}

func (s *source) complete(ctx context.Context, prompt string, seed int64) result {
	asked := s.completion(prompt, seed, false)
	got, err := caller.Exchange[answer](ctx, s.client, http.MethodPost, "/v1/completions", asked)
	if err != nil {
		return failed(err)
	}
	return s.judge(asked, got.text(), got.Usage.CompletionTokens)
}

// judge compares a text with the one that the engine stand-in gives.
func (s *source) judge(asked completion, text string, tokens int) result {
	want, count := engine.Text(asked.Prompt, asked.Seed, asked.MaxTokens)
	if tokens == 0 {
		tokens = count
	}
	return result{tokens: tokens, wrong: !s.settings.Trust && text != want}
}

func failed(err error) result {
	known, ok := errors.AsType[*caller.Error](err)
	if !ok {
		return result{code: caller.CodeLost}
	}
	return result{code: known.Code}
}

func (s *source) stream(ctx context.Context, prompt string, seed int64) result {
	asked := s.completion(prompt, seed, true)
	data, err := json.Marshal(asked)
	if err != nil {
		return failed(err)
	}
	begun := time.Now()
	opened, err := s.client.Open(ctx, rest.Call{Method: http.MethodPost, Path: "/v1/completions", Body: data})
	if err != nil {
		return failed(err)
	}
	defer func() { _ = opened.Body.Close() }()
	text, first, err := readEvents(opened, begun)
	if err != nil {
		return failed(err)
	}
	judged := s.judge(asked, text, 0)
	judged.first = first
	return judged
}

const maxEvent = 1 << 20 // bytes of one line of a stream

// readEvents reads server-sent events up to the one that says [DONE].
func readEvents(opened *http.Response, begun time.Time) (text string, first time.Duration, err error) {
	lines := bufio.NewScanner(opened.Body)
	lines.Buffer(nil, maxEvent)
	var whole strings.Builder
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data:")
		if !found {
			continue
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			return whole.String(), first, nil
		}
		part, err := decodeEvent([]byte(data))
		if err != nil {
			return "", 0, err
		}
		if first == 0 && part.text() != "" {
			first = time.Since(begun)
		}
		whole.WriteString(part.text())
	}
	if err := lines.Err(); err != nil {
		return "", 0, caller.Lost(err, "unknown")
	}
	return "", 0, caller.Lost(errors.New("stream ended without [DONE]"), "unknown")
}

// decodeEvent returns an *caller.Error for an event that carries an error.
func decodeEvent(data []byte) (answer, error) {
	var event struct {
		answer
		Error *caller.Error `json:"error"`
	}
	if err := json.Unmarshal(data, &event); err != nil {
		return answer{}, caller.Lost(err, "unknown")
	}
	if event.Error != nil {
		return answer{}, event.Error
	}
	return event.answer, nil
}

func (s *source) call(ctx context.Context, body string) result {
	header := http.Header{"Content-Type": {"text/plain"}}
	if s.workspace.Keyed {
		header.Set("Idempotency-Key", fmt.Sprintf("%d %s", s.settings.Seed, body))
	}
	echoed, err := s.client.Do(ctx, rest.Call{
		Method: http.MethodPost,
		Path:   "/v1/services/" + s.workspace.Service,
		Header: header,
		Body:   []byte(body),
	})
	if err != nil {
		return failed(err)
	}
	return result{wrong: !s.settings.Trust && string(echoed) != body}
}
