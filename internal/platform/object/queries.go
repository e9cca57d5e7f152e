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

// WatchWait is how long a watch asks the platform to wait for a change.
const WatchWait = 20 * time.Second

// watchMargin is added to WatchWait for the timeout of a watch.
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
	return checkedBatch(batch, prefix, 0, err)
}

// Watch implements Reader, but never returns a *CompactedError. The platform may omit
// values that were replaced before it made the response.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, WatchWait+watchMargin)
	defer cancel()
	query := url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatUint(after, 10)},
		"wait":   {WatchWait.String()},
	}
	batch, err := rest.Get[Batch](ctx, c.caller(), "/v1/watch", query)
	return checkedBatch(batch, prefix, after, err)
}

// checkedBatch returns the batch of a call whose error is err, or an error of this package
// if the call failed or its batch is invalid.
func checkedBatch(batch Batch, prefix string, after uint64, err error) (Batch, error) {
	if err == nil {
		err = batch.Check(prefix, after)
	}
	if err != nil {
		return Batch{}, ReadFailure(prefix, err)
	}
	return batch, nil
}

// BatchError says why a batch can't be the response to a list or watch. Client returns it
// in an *OutageError.
type BatchError struct {
	Key    string // the invalid object's key, or the prefix if the batch itself is invalid
	Reason string
}

func (e *BatchError) Error() string { return "batch with " + e.Key + ": " + e.Reason }

// Check validates the response to a list or watch of a prefix after a revision. It returns
// a *BatchError if the batch's revision is older, if an object is not under the prefix, or
// if an object's version is not after the given revision and up to the batch's own. It
// thereby detects a platform that responds from an old state.
func (b Batch) Check(prefix string, after uint64) error {
	if b.Revision < after {
		return &BatchError{prefix, "its revision is older than the one asked for"}
	}
	for _, o := range b.Objects {
		switch {
		case !strings.HasPrefix(o.Key, prefix):
			return &BatchError{o.Key, "it is not under " + prefix}
		case o.Version <= after || o.Version > b.Revision:
			return &BatchError{o.Key, "its version is not among those asked for"}
		}
	}
	return nil
}
