package report

import (
	"context"
	"net/http"

	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
)

// Client is a Sink that calls the platform over HTTP. Base is the platform's URL without a
// trailing slash, Source names this host in the platform's records. A nil HTTP is the
// shared client of package rest.
type Client struct {
	Base   string
	Source string
	HTTP   *http.Client
}

// Send implements Sink. If the platform has a report with the same ID and other values, or
// one with another ID whose window overlaps, the error is an *object.ConflictError.
func (c *Client) Send(ctx context.Context, report Report) error {
	caller := rest.Caller{Base: c.Base, Source: c.Source, HTTP: c.HTTP}
	_, err := rest.Post[rest.None](ctx, caller, "/v1/reports", report)
	return object.WriteFailure(report.ID, report.Epoch, err)
}
