package object

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"

	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
)

// Put implements Writer.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect uint64) (Object, error) {
	if len(value) > MaxValue {
		return Object{}, &SizeError{Key: key, Size: len(value)}
	}
	raw, err := c.write(ctx, http.MethodPut, key, value, expect)
	if err != nil {
		return Object{}, err
	}
	var stored Object
	if err := json.Unmarshal(raw, &stored); err != nil {
		return Object{}, &UnknownError{Key: key, Err: err}
	}
	if stored.Key != key || stored.Version <= expect {
		return Object{}, &UnknownError{Key: key, Err: errors.New("answer is about another write")}
	}
	stored.Value = value
	return stored, nil
}

// Delete implements Writer. For AnyVersion it reads the object first.
func (c *Client) Delete(ctx context.Context, key string, expect uint64) error {
	if expect == AnyVersion {
		found, err := c.Get(ctx, key)
		if err != nil {
			return err
		}
		expect = found.Version
	}
	_, err := c.write(ctx, http.MethodDelete, key, nil, expect)
	return err
}

func (c *Client) write(ctx context.Context, method, key string, value []byte, expect uint64) ([]byte, error) {
	query := url.Values{"key": {key}, "expect": {strconv.FormatUint(expect, 10)}}
	raw, err := c.caller().Do(ctx, rest.Call{Method: method, Path: "/v1/object", Query: query, Body: value})
	return raw, WriteFailure(key, expect, err)
}
