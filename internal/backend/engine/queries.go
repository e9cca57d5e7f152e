package engine

import (
	"context"
	"net/url"
	"strconv"

	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
)

// State implements Engine.
func (c *Client) State(ctx context.Context) (State, error) {
	state, err := rest.Get[State](ctx, c.caller(), "/v1/state", nil)
	if err != nil {
		return State{}, failure("state", err)
	}
	return state, nil
}

// CacheEvents implements Engine.
func (c *Client) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error) {
	query := url.Values{"after": {strconv.FormatUint(after, 10)}}
	events, err := rest.Get[cacheEvents](ctx, c.caller(), "/v1/cache", query)
	if err != nil {
		return nil, failure("cache", err)
	}
	if err := events.check(after); err != nil {
		return nil, &BrokenError{ID: "cache", Reason: ReasonMalformed, Sent: true, Err: err}
	}
	return events, nil
}
