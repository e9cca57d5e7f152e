// Package caller is a client of the public API of hyssopwall. It authenticates with
// a workspace key, balances calls over the entry hosts, and decodes the documented
// errors.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
)

// Error is a refusal or failure of a call. Ran reports whether the call was executed:
// "no", "unknown" or "yes". Repeat reports whether the response says that sending the call
// again is safe; it is false if there was no documented response. RetryAfter is the delay
// of the Retry-After header, at most rest.MaxRetryAfter, and zero without one. An error
// body that isn't documented has the code "undocumented"; for other errors see CodeLost.
type Error struct {
	Status     int           // HTTP status; zero with CodeLost
	RetryAfter time.Duration `json:"After"` // taken from the header, never from the body
	Code       string        `json:"code"`
	Message    string        `json:"message"`
	Ran        string        `json:"ran"`
	Repeat     bool          `json:"repeat"`
	Err        error         `json:"-"`
}

func (e *Error) Error() string {
	return fmt.Sprintf("status %d %s (ran: %s): %s", e.Status, e.Code, e.Ran, e.Message)
}

// Unwrap returns the cause, which may be nil.
func (e *Error) Unwrap() error { return e.Err }

// CodeLost is the code of a call that got no complete response, or whose value can't be
// encoded or response decoded.
const CodeLost = "lost"

// DefaultTimeout is the default of Client.Timeout.
const DefaultTimeout = 30 * time.Second

// Client calls the entry hosts round-robin. Hosts holds their base URLs; without any,
// each call fails with CodeLost. Key is the workspace key. A nil HTTP means the client that
// all rest.Callers share. Timeout limits each call of Do, until its response is complete;
// zero means DefaultTimeout. Open is limited by its context only. A Client is safe for
// concurrent use.
type Client struct {
	Hosts   []string
	Key     string
	HTTP    *http.Client
	Timeout time.Duration
	next    atomic.Uint64
}

// Open makes a call and returns a response with a 2xx status; the caller closes its
// body. Any error is an *Error. If a host can't be reached and the call wasn't sent,
// Open goes on to the next host, as a load balancer does.
func (c *Client) Open(ctx context.Context, call rest.Call) (*http.Response, error) {
	call.Header = c.header(call.Header)
	err := errors.New("no host")
	for range c.Hosts {
		index := int(c.next.Add(1) % uint64(len(c.Hosts)))
		var response *http.Response
		response, err = rest.Caller{Base: c.Hosts[index], HTTP: c.HTTP}.Open(ctx, call)
		if err == nil {
			return checkStatus(response)
		}
		lost, ok := errors.AsType[*rest.LostError](err)
		if !ok || lost.Sent || ctx.Err() != nil {
			return nil, NewLostError(err, "unknown")
		}
	}
	return nil, NewLostError(err, "no")
}

// header returns a copy of given with the key, and with JSON as the default content
// type.
func (c *Client) header(given http.Header) http.Header {
	header := given.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set("Authorization", "Bearer "+c.Key)
	if header.Get("Content-Type") == "" {
		header.Set("Content-Type", "application/json")
	}
	return header
}

// NewLostError returns an error with the code CodeLost. Its Repeat is false, even if ran
// is "no".
func NewLostError(err error, ran string) *Error {
	return &Error{Code: CodeLost, Message: err.Error(), Ran: ran, Err: err}
}

// checkStatus returns a 2xx response. It reads and closes any other and returns its
// error.
func checkStatus(response *http.Response) (*http.Response, error) {
	if response.StatusCode/100 == 2 {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	body, err := rest.ReadAll(response.Body)
	if err != nil {
		return nil, NewLostError(err, "unknown")
	}
	var envelope struct {
		Error *Error `json:"error"`
	}
	if json.Unmarshal(body, &envelope) != nil || envelope.Error == nil {
		envelope.Error = &Error{Code: "undocumented", Message: string(body[:min(len(body), 200)]), Ran: "unknown"}
	}
	envelope.Error.Status = response.StatusCode
	envelope.Error.RetryAfter = rest.NewStatusError(response, nil).RetryAfter
	return nil, envelope.Error
}

// Do makes a call and returns the complete body of its response.
func (c *Client) Do(ctx context.Context, call rest.Call) ([]byte, error) {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := c.Open(ctx, call)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := rest.ReadAll(response.Body)
	if err != nil {
		return nil, NewLostError(err, "unknown")
	}
	return body, nil
}

// Exchange sends value as JSON, or no body if it is nil, and decodes the JSON
// response. An empty response gives the zero value of T. Any error is an *Error; a value
// that can't be encoded or a response that can't be decoded has the code CodeLost.
func Exchange[T any](ctx context.Context, client *Client, method, path string, value any) (T, error) {
	var result T
	var data []byte
	if value != nil {
		var err error
		if data, err = json.Marshal(value); err != nil {
			return result, NewLostError(err, "no")
		}
	}
	body, err := client.Do(ctx, rest.Call{Method: method, Path: path, Body: data})
	if err != nil {
		return result, err
	}
	if len(bytes.TrimSpace(body)) == 0 {
		return result, nil
	}
	if err := json.Unmarshal(body, &result); err != nil {
		return result, NewLostError(err, "unknown")
	}
	return result, nil
}
