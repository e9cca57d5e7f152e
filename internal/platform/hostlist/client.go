package hostlist

import (
	"context"
	"net/http"

	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
)

// Client is a Lister that calls the platform over HTTP. Base is the platform's URL without a
// trailing slash, Source names this host in the platform's records. A nil HTTP is the
// shared client of package rest.
type Client struct {
	Base   string
	Source string
	HTTP   *http.Client
}

// Hosts implements Lister.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	caller := rest.Caller{Base: c.Base, Source: c.Source, HTTP: c.HTTP}
	hosts, err := rest.Get[[]Host](ctx, caller, "/v1/hosts", nil)
	return hosts, object.ReadFailure("hosts", err)
}
