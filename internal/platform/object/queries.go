package object

import (
	"context"
	"errors"
	"net/url"
	"strconv"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
)

// WatchWait is the time that a watch asks the platform to wait for a change.
const WatchWait = 20 * time.Second

// watchMargin is the time beyond WatchWait after which a watch is given up.
const watchMargin = 5 * time.Second

// Get implements Reader.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	found, err := rest.Get[Object](ctx, c.caller(), "/v1/object", url.Values{"key": {key}})
	if err == nil && found.Key != key {
		err = errors.New("answer is about another key")
	}
	if err != nil {
		return Object{}, ReadFailure(key, err)
	}
	return found, nil
}

// List implements Reader.
func (c *Client) List(ctx context.Context, prefix string) (Batch, error) {
	batch, err := rest.Get[Batch](ctx, c.caller(), "/v1/objects", url.Values{"prefix": {prefix}})
	return batch, ReadFailure(prefix, err)
}

// Watch implements Reader. The platform may leave out values that were
// replaced before the answer was made.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, WatchWait+watchMargin)
	defer cancel()
	query := url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatUint(after, 10)},
		"wait":   {WatchWait.String()},
	}
	batch, err := rest.Get[Batch](ctx, c.caller(), "/v1/watch", query)
	return batch, ReadFailure(prefix, err)
}
