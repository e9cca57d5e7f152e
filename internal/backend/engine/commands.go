package engine

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
)

// Run implements Runner. The context applies to the complete stream.
func (c *Client) Run(ctx context.Context, request Request) (Stream, error) {
	if err := request.Check(); err != nil {
		return nil, &BrokenError{ID: request.ID, Reason: ReasonMalformed, Err: err}
	}
	data, err := json.Marshal(request)
	if err != nil {
		return nil, &BrokenError{ID: request.ID, Reason: ReasonMalformed, Err: err}
	}
	ctx, cancel := context.WithCancel(ctx)
	response, err := c.caller().Open(ctx, rest.Call{ //nolint:bodyclose // the stream or statusError closes it
		Method: http.MethodPost,
		Path:   "/v1/run",
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   data,
	})
	if err != nil {
		cancel()
		return nil, failure(request.ID, err)
	}
	if response.StatusCode != http.StatusOK {
		defer cancel()
		return nil, statusError(request.ID, response)
	}
	return newStream(request, response.Body, cancel), nil
}

// statusError returns the *RefusedError or *BrokenError of a response that is not a
// stream, and closes its body.
func statusError(id string, response *http.Response) error {
	defer func() { _ = response.Body.Close() }()
	body, err := rest.ReadAll(response.Body)
	if err != nil {
		return &BrokenError{ID: id, Reason: ReasonTruncated, Sent: true, Err: err}
	}
	return failure(id, rest.NewStatusError(response, body))
}

// generationRef identifies a generation.
type generationRef struct {
	ID string `json:"id"`
}

// Cancel implements Runner. It relies on the engine to report success for an unknown ID.
func (c *Client) Cancel(ctx context.Context, id string) error {
	_, err := rest.Post[rest.None](ctx, c.caller(), "/v1/cancel", generationRef{ID: id})
	return failure(id, err)
}

// Export implements Engine.
func (c *Client) Export(ctx context.Context, id string) (Resume, error) {
	resume, err := rest.Post[Resume](ctx, c.caller(), "/v1/export", generationRef{ID: id})
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
