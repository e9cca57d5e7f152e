package weightstore

import (
	"context"
	"errors"
	"net/http"
	"net/url"

	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
)

// Client is a Store that calls the platform over HTTP. Base is the platform's URL without a
// trailing slash, Source names this host in the platform's records. A nil HTTP is the
// shared client of package rest.
type Client struct {
	Base   string
	Source string
	HTTP   *http.Client
}

// Newest implements Store. A model without a release gives an *object.NotFoundError.
func (c *Client) Newest(ctx context.Context, model string) (Release, error) {
	caller := rest.Caller{Base: c.Base, Source: c.Source, HTTP: c.HTTP}
	release, err := rest.Get[Release](ctx, caller, "/v1/weights", url.Values{"model": {model}})
	if err == nil && (release.Model != model || release.Version == 0) {
		err = errors.New("answer is about another model or no version")
	}
	if err != nil {
		return Release{}, object.ReadFailure(model, err)
	}
	return release, nil
}
