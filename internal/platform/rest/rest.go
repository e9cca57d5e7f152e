// Package rest makes single HTTP calls to systems outside of hyssopwall. A call
// is sent at most once: no redirect is followed, and nothing is sent again once
// a byte may have been sent. Each error says whether a byte of the request may
// have been sent, so that callers can tell a call without effect from one whose
// outcome is unknown.
package rest

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// Limits of a call.
const (
	DefaultTimeout   = 10 * time.Second // of Caller.Do if its context has no deadline
	MaxResponseBytes = 16 << 20         // limit of a response body without a MemoryBudget.PerResponse
	maxAttempts      = idlePerHost + 1  // connections tried, since all idle ones may be closed
)

// HeaderRan is set to "no" by a server that refuses a call before any work.
const HeaderRan = "X-Ran"

// HeaderSource names the host that makes a call.
const HeaderSource = "X-Source"

// Caller makes calls to one system.
type Caller struct {
	Base   string // URL without a trailing slash
	Source string // value of HeaderSource; not sent if empty
	// HTTP is a client of this package, nil for one that all callers share. With a client
	// from elsewhere BeforeSend is never called, and a call that fails after it was given a
	// connection counts as sent.
	HTTP *http.Client
	// CloseIdle, if set, closes the idle connections. It is called when the deadline of a
	// call on a reused connection passed before the response header arrived: the cause may
	// have cut off the idle connections as well.
	CloseIdle func()
	// MaxIdle, if set, returns the time after which an idle connection is closed. A call that
	// gets one that has been idle for longer is sent over another connection.
	MaxIdle func() time.Duration
	// OnIdleEnd, if set, is called when a connection of a call ends while it is idle: by the server,
	// or because it was idle for MaxIdle, which it needs.
	OnIdleEnd func(byServer bool)
	// OnResponse, if set, is called with the status and header of each response.
	OnResponse func(status int, header http.Header)
	// Memory limits the response bodies that are read. If nil, each body alone is limited
	// to DefaultPerResponse.
	Memory *MemoryBudget
}

// Call is one request.
type Call struct {
	Method string
	Host   string // replaces the host name of Caller.Base in the Host header, if set
	Path   string
	Query  url.Values
	Header http.Header
	Body   []byte
	// BodyParts are sent one after the other in place of Body, if set. They are not changed.
	BodyParts net.Buffers
	// BeforeSend, if set, is called just before the first byte is written. By then the
	// process may have been suspended or have waited for a connection. An error ends the
	// call unsent; Open and Do then return it in a *NotPermittedError in a *LostError.
	BeforeSend func() error
}

// Do makes the call and returns the body of a 2xx response. Otherwise the error
// is a *StatusError or a *LostError.
func (c Caller) Do(ctx context.Context, call Call) ([]byte, error) {
	if _, ok := ctx.Deadline(); !ok {
		limited, cancel := context.WithTimeout(ctx, DefaultTimeout)
		defer cancel()
		ctx = limited
	}
	response, err := c.Open(ctx, call)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := c.Read(response)
	if err != nil {
		return nil, &LostError{Sent: true, Err: err}
	}
	if response.StatusCode/100 != 2 {
		return nil, NewStatusError(response, body)
	}
	return body, nil
}

// Read reads the body of a response within the limits of Memory. The error is a
// *ResponseTooLargeError or an error of the body.
func (c Caller) Read(response *http.Response) ([]byte, error) {
	return cmp.Or(c.Memory, &MemoryBudget{}).ReadAll(response.Body, response.ContentLength)
}

// Open makes the call and returns the response once its header has arrived, whatever
// its status. The caller closes the body. The error is a *LostError, which holds a
// *MalformedError if the response is none in the protocol.
//
// A connection that its server closed while it was idle fails before anything
// is written; Open then retries on another connection.
func (c Caller) Open(ctx context.Context, call Call) (*http.Response, error) {
	client := withoutRedirects(c.HTTP)
	for attempt := 1; ; attempt++ {
		track := tracker{check: sendCheck{beforeSend: call.BeforeSend}, maxIdle: c.MaxIdle, onIdleEnd: c.OnIdleEnd}
		request, err := c.request(track.trace(ctx), call)
		if err != nil {
			return nil, &LostError{Err: err}
		}
		response, err := client.Do(request)
		if err == nil {
			if err := checkResponse(response); err != nil {
				_ = response.Body.Close() // not read
				return nil, &LostError{Sent: true, Err: err}
			}
			if c.OnResponse != nil {
				c.OnResponse(response.StatusCode, response.Header)
			}
			return response, nil
		}
		if c.CloseIdle != nil && track.usedBefore() && errors.Is(err, context.DeadlineExceeded) {
			c.CloseIdle()
		}
		sent := track.sent()
		if denied := track.check.failure(); denied != nil && !sent {
			return nil, &LostError{Err: denied}
		}
		retry := !sent && track.hasConn() && attempt < maxAttempts && ctx.Err() == nil
		if !retry {
			return nil, &LostError{Sent: sent, Err: err}
		}
	}
}

func (c Caller) request(ctx context.Context, call Call) (*http.Request, error) {
	if !strings.HasPrefix(call.Path, "/") {
		// Appended to the base URL, this path would change the host name.
		return nil, fmt.Errorf("path %q doesn't start with a slash", call.Path)
	}
	target := c.Base + call.Path
	if len(call.Query) > 0 {
		target += "?" + call.Query.Encode()
	}
	body, size := newBody(call.Body), len(call.Body)
	if call.BodyParts != nil {
		body, size = newBodyOfParts(call.BodyParts), partsSize(call.BodyParts)
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, target, body)
	if err != nil {
		return nil, err
	}
	request.Host = call.Host
	request.ContentLength = int64(size)
	for name, values := range call.Header {
		request.Header[name] = values
	}
	if request.Header.Get("User-Agent") == "" {
		request.Header.Set("User-Agent", "hyssopwall")
	}
	if c.Source != "" {
		request.Header.Set(HeaderSource, c.Source)
	}
	return request, nil
}

// NotPermittedError says that a call's BeforeSend failed. Nothing was sent.
type NotPermittedError struct {
	Err error
}

func (e *NotPermittedError) Error() string { return "not permitted any more: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotPermittedError) Unwrap() error { return e.Err }

// LostError says that no complete and valid response arrived. Sent reports whether a byte
// of the request may have been sent; if false, the call had no effect.
type LostError struct {
	Sent bool
	Err  error
}

func (e *LostError) Error() string { return fmt.Sprintf("no answer (sent: %t): %v", e.Sent, e.Err) }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }
