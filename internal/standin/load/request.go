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

// result is the outcome of one request. wrong reports that a complete response has another
// text than expected.
type result struct {
	code   string // error code; empty for a complete response
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

// answer is the response to a completion, or one event of its stream.
type answer struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

// text returns the text of the first choice.
func (a answer) text() string {
	if len(a.Choices) == 0 {
		return ""
	}
	return a.Choices[0].Text
}

// completion returns the body of a completion request.
func (s *source) completion(prompt string, seed int64, stream bool) completion {
	tokens := s.workspace.Tokens
	if tokens == 0 {
		tokens = DefaultTokens
	}
	return completion{Model: s.workspace.Model, Prompt: prompt, MaxTokens: tokens, Seed: seed, Stream: stream}
}

// complete makes a completion request without streaming.
func (s *source) complete(ctx context.Context, prompt string, seed int64) result {
	request := s.completion(prompt, seed, false)
	got, err := caller.Exchange[answer](ctx, s.client, http.MethodPost, "/v1/completions", request)
	if err != nil {
		return errorResult(err)
	}
	return s.checkText(request, got.text(), got.Usage.CompletionTokens)
}

// checkText compares a text with the one that the engine stand-in generates for the
// request. If the response reports no token count, the expected count is used.
func (s *source) checkText(request completion, text string, tokens int) result {
	want, count := engine.Text(request.Prompt, request.Seed, request.MaxTokens)
	if tokens == 0 {
		tokens = count
	}
	return result{tokens: tokens, wrong: !s.settings.SkipTextCheck && text != want}
}

// errorResult returns the result of a request that failed with err.
func errorResult(err error) result {
	callError, ok := errors.AsType[*caller.Error](err)
	if !ok {
		return result{code: caller.CodeLost}
	}
	return result{code: callError.Code}
}

// stream makes a completion request and reads its response as server-sent events.
func (s *source) stream(ctx context.Context, prompt string, seed int64) result {
	request := s.completion(prompt, seed, true)
	data, err := json.Marshal(request)
	if err != nil {
		return errorResult(err)
	}
	begun := time.Now()
	response, err := s.client.Open(ctx, rest.Call{Method: http.MethodPost, Path: "/v1/completions", Body: data})
	if err != nil {
		return errorResult(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, first, err := readEvents(response, begun)
	if err != nil {
		return errorResult(err)
	}
	checked := s.checkText(request, text, 0)
	checked.first = first
	return checked
}

const maxLine = 1 << 20 // maximum length of a line of a stream, in bytes

// readEvents reads server-sent events until [DONE] and returns their combined text
// and the time from begun to the first non-empty text.
func readEvents(response *http.Response, begun time.Time) (_ string, first time.Duration, err error) {
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxLine)
	var text strings.Builder
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data:")
		if !found {
			continue
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			return text.String(), first, nil
		}
		part, err := decodeEvent([]byte(data))
		if err != nil {
			return "", 0, err
		}
		if first == 0 && part.text() != "" {
			first = time.Since(begun)
		}
		text.WriteString(part.text())
	}
	if err := lines.Err(); err != nil {
		return "", 0, caller.NewLostError(err, "unknown")
	}
	return "", 0, caller.NewLostError(errors.New("stream ended without [DONE]"), "unknown")
}

// decodeEvent decodes one event. Any error is a *caller.Error: the error in the event, or
// caller.CodeLost for an event that can't be decoded.
func decodeEvent(data []byte) (answer, error) {
	var event struct {
		answer
		Error *caller.Error `json:"error"`
	}
	if err := json.Unmarshal(data, &event); err != nil {
		return answer{}, caller.NewLostError(err, "unknown")
	}
	if event.Error != nil {
		return answer{}, event.Error
	}
	return event.answer, nil
}

// call makes a request to a plain service and checks that it echoes the body.
func (s *source) call(ctx context.Context, body string) result {
	header := http.Header{"Content-Type": {"text/plain"}}
	if s.workspace.SendIdempotencyKey {
		header.Set("Idempotency-Key", fmt.Sprintf("%d %s", s.settings.Seed, body))
	}
	echoed, err := s.client.Do(ctx, rest.Call{
		Method: http.MethodPost,
		Path:   "/v1/services/" + s.workspace.Service,
		Header: header,
		Body:   []byte(body),
	})
	if err != nil {
		return errorResult(err)
	}
	return result{wrong: !s.settings.SkipTextCheck && string(echoed) != body}
}
