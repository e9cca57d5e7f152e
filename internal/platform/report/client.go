package report

import (
	"context"
	"net/http"

	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
)

// Client is a Sink over HTTP. The zero HTTP client works.
type Client struct {
	Base   string
	Source string
	HTTP   *http.Client
}

// Send implements Sink. A window or an ID that the platform holds with other
// figures gives an *object.ConflictError.
func (c *Client) Send(ctx context.Context, report Report) error {
	caller := rest.Caller{Base: c.Base, Source: c.Source, HTTP: c.HTTP}
	_, err := rest.Post[rest.None](ctx, caller, "/v1/reports", report)
	return object.WriteFailure(report.ID, report.Epoch, err)
}
