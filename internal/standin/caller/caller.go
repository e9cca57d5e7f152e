// Package caller is the side of a caller of hyssopwall: it holds a key, knows
// the entry hosts behind the balancer, and reads the documented errors.
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

// Error is a documented refusal or failure of a call. Ran is "no", "unknown" or
// "yes"; Repeat says that sending the call again is safe. A call that was lost
// on the way has the code "lost".
type Error struct {
	Status  int
	After   time.Duration
	Code    string `json:"code"`
	Message string `json:"message"`
	Ran     string `json:"ran"`
	Repeat  bool   `json:"repeat"`
	Err     error  `json:"-"`
}

func (e *Error) Error() string {
	return fmt.Sprintf("status %d %s (ran: %s): %s", e.Status, e.Code, e.Ran, e.Message)
}

// Unwrap returns the cause, which may be nil.
func (e *Error) Unwrap() error { return e.Err }

// CodeLost is the code of a call without a whole answer.
const CodeLost = "lost"

// DefaultTimeout is the time that Do waits for a whole answer.
const DefaultTimeout = 30 * time.Second

// Client calls the entry hosts in turn. Hosts holds their base URLs. A zero
// Timeout means the default.
type Client struct {
	Hosts   []string
	Key     string
	HTTP    *http.Client
	Timeout time.Duration
	next    atomic.Uint64
}

// Open makes a call and returns the answer of status 200, whose body the caller
// closes. Otherwise the error is an *Error. A host that can't be reached is
// passed over, as a balancer does.
func (c *Client) Open(ctx context.Context, call rest.Call) (*http.Response, error) {
	call.Header = c.header(call.Header)
	err := errors.New("no host")
	for range c.Hosts {
		at := int(c.next.Add(1) % uint64(len(c.Hosts)))
		var answer *http.Response
		answer, err = rest.Caller{Base: c.Hosts[at], HTTP: c.HTTP}.Open(ctx, call)
		if err == nil {
			return check(answer)
		}
		lost, known := errors.AsType[*rest.LostError](err)
		if !known || lost.Sent || ctx.Err() != nil {
			return nil, Lost(err, "unknown")
		}
	}
	return nil, Lost(err, "no")
}

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

// Lost returns the error of a call without a whole answer.
func Lost(err error, ran string) *Error {
	return &Error{Code: CodeLost, Message: err.Error(), Ran: ran, Err: err}
}

func check(answer *http.Response) (*http.Response, error) {
	if answer.StatusCode/100 == 2 {
		return answer, nil
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := rest.ReadAll(answer.Body)
	if err != nil {
		return nil, Lost(err, "unknown")
	}
	var wrapped struct {
		Error *Error `json:"error"`
	}
	if json.Unmarshal(body, &wrapped) != nil || wrapped.Error == nil {
		wrapped.Error = &Error{Code: "undocumented", Message: string(body[:min(len(body), 200)]), Ran: "unknown"}
	}
	wrapped.Error.Status = answer.StatusCode
	wrapped.Error.After = rest.NewStatusError(answer, nil).RetryAfter
	return nil, wrapped.Error
}

// Do makes a call and returns the whole body of its answer.
func (c *Client) Do(ctx context.Context, call rest.Call) ([]byte, error) {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := c.Open(ctx, call)
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := rest.ReadAll(answer.Body)
	if err != nil {
		return nil, Lost(err, "unknown")
	}
	return body, nil
}

// Exchange sends a JSON value, or nothing for nil, and decodes the JSON answer.
func Exchange[T any](ctx context.Context, client *Client, method, path string, value any) (T, error) {
	var result T
	var data []byte
	if value != nil {
		var err error
		if data, err = json.Marshal(value); err != nil {
			return result, Lost(err, "no")
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
		return result, Lost(err, "unknown")
	}
	return result, nil
}
