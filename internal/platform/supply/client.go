package supply

import (
	"context"
	"net/http"
	"net/url"
	"slices"

	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
)

// Client is a Supply that calls the platform over HTTP. Base is the platform's URL without a
// trailing slash, Source names this host in the platform's records. A nil HTTP is the
// shared client of package rest.
type Client struct {
	Base   string
	Source string
	HTTP   *http.Client
}

func (c *Client) caller() rest.Caller {
	return rest.Caller{Base: c.Base, Source: c.Source, HTTP: c.HTTP}
}

// Place implements Supply. A stale epoch gives an *object.ConflictError whose Have is the
// highest epoch that the platform has seen.
func (c *Client) Place(ctx context.Context, order Order) error {
	_, err := rest.Post[rest.None](ctx, c.caller(), "/v1/orders", order)
	return object.WriteFailure(order.ID, order.Epoch, err)
}

// Servers implements Supply. It drops entries that are invalid instead of failing, so that
// they don't hide that another server is leaving.
func (c *Client) Servers(ctx context.Context, zone string) ([]Server, error) {
	servers, err := rest.Get[[]Server](ctx, c.caller(), "/v1/servers", url.Values{"zone": {zone}})
	if err != nil {
		return nil, object.ReadFailure(zone, err)
	}
	return slices.DeleteFunc(servers, func(s Server) bool { return s.Check() != nil }), nil
}
