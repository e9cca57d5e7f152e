package engine

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
)

// Run implements Runner. The context covers the whole stream.
func (c *Client) Run(ctx context.Context, request Request) (Stream, error) {
	if err := request.Check(); err != nil {
		return nil, &BrokenError{ID: request.ID, Reason: ReasonMalformed, Err: err}
	}
	data, err := json.Marshal(request)
	if err != nil {
		return nil, &BrokenError{ID: request.ID, Reason: ReasonMalformed, Err: err}
	}
	ctx, cancel := context.WithCancel(ctx)
	answer, err := c.caller().Open(ctx, rest.Call{ //nolint:bodyclose // the stream or refusal closes it
		Method: http.MethodPost,
		Path:   "/v1/run",
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   data,
	})
	if err != nil {
		cancel()
		return nil, failure(request.ID, err)
	}
	if answer.StatusCode != http.StatusOK {
		defer cancel()
		return nil, refusal(request.ID, answer)
	}
	return newStream(request, answer.Body, cancel), nil
}

func refusal(id string, answer *http.Response) error {
	defer func() { _ = answer.Body.Close() }()
	body, err := rest.ReadAll(answer.Body)
	if err != nil {
		return &BrokenError{ID: id, Reason: ReasonTruncated, Sent: true, Err: err}
	}
	return failure(id, rest.NewStatusError(answer, body))
}

// target names a generation.
type target struct {
	ID string `json:"id"`
}

// Cancel implements Runner.
func (c *Client) Cancel(ctx context.Context, id string) error {
	_, err := rest.Post[rest.None](ctx, c.caller(), "/v1/cancel", target{ID: id})
	return failure(id, err)
}

// Export implements Engine.
func (c *Client) Export(ctx context.Context, id string) (Resume, error) {
	resume, err := rest.Post[Resume](ctx, c.caller(), "/v1/export", target{ID: id})
	if err != nil {
		return Resume{}, failure(id, err)
	}
	return resume, nil
}

// Apply implements Engine.
func (c *Client) Apply(ctx context.Context, command Command) error {
	_, err := rest.Post[rest.None](ctx, c.caller(), "/v1/commands", command)
	return failure(command.ID, err)
}
