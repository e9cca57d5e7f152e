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

var errShort = errors.New("stream ended early")

// readStream reads a streamed answer to its end mark.
func readStream(ctx context.Context, client *caller.Client, asked completion) (string, error) {
	body, err := json.Marshal(asked)
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
		case errorOf(data):
			return "", streamError(data)
		}
		var part completed
		if err := json.Unmarshal([]byte(data), &part); err != nil {
			return "", caller.NewLostError(err, "unknown")
		}
		text += part.Choices[0].Text
	}
	return "", caller.NewLostError(errShort, "unknown")
}

func streamError(data string) error {
	var wrapped struct {
		Error *caller.Error `json:"error"`
	}
	if err := json.Unmarshal([]byte(data), &wrapped); err != nil || wrapped.Error == nil {
		return caller.NewLostError(errShort, "unknown")
	}
	return wrapped.Error
}
