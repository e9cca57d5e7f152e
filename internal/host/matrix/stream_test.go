package matrix_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"

	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
	"github.com/hyssopwall/hyssopwall/internal/standin/caller"
)

// errTruncated is the cause of the error for a stream without an end mark, or with an
// error event that can't be decoded.
var errTruncated = errors.New("stream ended early")

// readStream sends a streamed completion and returns its text. A stream without the end
// mark [DONE] is an error with an unknown outcome.
func readStream(ctx context.Context, client *caller.Client, request completionRequest) (string, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return "", err
	}
	answer, err := client.Open(ctx, rest.Call{Method: http.MethodPost, Path: "/v1/completions", Body: body})
	if err != nil {
		return "", err
	}
	defer func() { _ = answer.Body.Close() }()
	text := ""
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok:
			continue
		case data == "[DONE]":
			return text, nil
		case isErrorEvent(data):
			return "", streamError(data)
		}
		var part completionResponse
		if err := json.Unmarshal([]byte(data), &part); err != nil {
			return "", caller.NewLostError(err, "unknown")
		}
		text += part.Choices[0].Text
	}
	return "", caller.NewLostError(errTruncated, "unknown")
}

// streamError returns the error that an error event of a stream carries, or one with an
// unknown outcome if the event can't be decoded.
func streamError(data string) error {
	var wrapped struct {
		Error *caller.Error `json:"error"`
	}
	if err := json.Unmarshal([]byte(data), &wrapped); err != nil || wrapped.Error == nil {
		return caller.NewLostError(errTruncated, "unknown")
	}
	return wrapped.Error
}
