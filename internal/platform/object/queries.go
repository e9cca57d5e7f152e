package object

import (
	"context"
	"errors"
	"net/url"
	"strconv"
	"strings"
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
	return checked(batch, prefix, 0, err)
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
	return checked(batch, prefix, after, err)
}

func checked(batch Batch, prefix string, after uint64, err error) (Batch, error) {
	if err == nil {
		err = batch.Check(prefix, after)
	}
	if err != nil {
		return Batch{}, ReadFailure(prefix, err)
	}
	return batch, nil
}

// BatchError says why a batch can't be the answer to a list or watch.
type BatchError struct {
	Key    string
	Reason string
}

func (e *BatchError) Error() string { return "batch with " + e.Key + ": " + e.Reason }

// Check returns a *BatchError when an object is not under the prefix, or when
// its version is not after the given revision and up to the batch's own. A
// platform that answers from an old state is found in this way.
func (b Batch) Check(prefix string, after uint64) error {
	if b.Revision < after {
		return &BatchError{prefix, "its revision is older than the one asked for"}
	}
	for _, one := range b.Objects {
		switch {
		case !strings.HasPrefix(one.Key, prefix):
			return &BatchError{one.Key, "it is not under " + prefix}
		case one.Version <= after || one.Version > b.Revision:
			return &BatchError{one.Key, "its version is not among those asked for"}
		}
	}
	return nil
}
