// Package rest makes single HTTP calls to systems outside of hyssopwall. A call
// is sent at most once: no redirect is followed, and nothing is sent again once
// a byte may have left. Each error says whether a byte of the request may have
// left, so that callers can tell a call without effect from one whose outcome
// is unknown.
package rest

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// Limits of a call.
const (
	DefaultTimeout   = 10 * time.Second // for a call whose context has no deadline
	MaxResponseBytes = 16 << 20         // bytes of an answer's body
	mostAttempts     = idlePerHost + 1  // connections tried before a byte is written
)

// HeaderRan is set to "no" by a system that refuses a call before any work.
const HeaderRan = "X-Ran"

// HeaderSource names the host that makes a call.
const HeaderSource = "X-Source"

// Caller makes calls to one system. Base is its URL without a trailing slash.
// A nil HTTP uses connections that all callers share. Renew, when set, is called
// after a call on a used connection ran out of time, and drops the idle ones:
// whatever silenced that one may have silenced them all. Answered, when set, is
// shown the header of each answer. Allowance bounds the answers, by its defaults
// when nil.
type Caller struct {
	Base       string
	Source     string
	HTTP       *http.Client
	CloseIdle  func()
	OnResponse func(status int, header http.Header)
	Memory     *MemoryBudget
}

// Call is one request. Host replaces the host name of the caller's base in the
// request's header, for a server that tells its tenants apart by it. Permit, when
// set, is asked just before the first byte is written, by when the process may
// have stood still or waited for a connection; an error ends the call unsent.
type Call struct {
	Method     string
	Host       string
	Path       string
	Query      url.Values
	Header     http.Header
	Body       []byte
	BeforeSend func() error
}

// Do makes the call and returns the body of a 2xx answer. Otherwise the error
// is a *StatusError or a *LostError.
func (c Caller) Do(ctx context.Context, call Call) ([]byte, error) {
	if _, ok := ctx.Deadline(); !ok {
		limited, cancel := context.WithTimeout(ctx, DefaultTimeout)
		defer cancel()
		ctx = limited
	}
	answer, err := c.Open(ctx, call)
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := c.Read(answer)
	if err != nil {
		return nil, &LostError{Sent: true, Err: err}
	}
	if answer.StatusCode/100 != 2 {
		return nil, NewStatusError(answer, body)
	}
	return body, nil
}

// Read reads the body of an answer.
func (c Caller) Read(answer *http.Response) ([]byte, error) {
	return cmp.Or(c.Memory, &MemoryBudget{}).ReadAll(answer.Body, answer.ContentLength)
}

// Open makes the call and returns the answer as soon as its header is there,
// whatever its status. The caller closes the body. The error is a *LostError.
//
// A connection that its server closed while it was idle fails before anything
// is written; the call is then made on another one.
func (c Caller) Open(ctx context.Context, call Call) (*http.Response, error) {
	client := single(c.HTTP)
	for attempt := 1; ; attempt++ {
		track := tracker{permission: permission{permit: call.BeforeSend}}
		request, err := c.request(track.trace(ctx), call)
		if err != nil {
			return nil, &LostError{Err: err}
		}
		answer, err := client.Do(request)
		if err == nil {
			if c.OnResponse != nil {
				c.OnResponse(answer.StatusCode, answer.Header)
			}
			return answer, nil
		}
		if c.CloseIdle != nil && track.usedBefore() && errors.Is(err, context.DeadlineExceeded) {
			c.CloseIdle()
		}
		sent := track.sent()
		if denied := track.permission.denial(); denied != nil && !sent {
			return nil, &LostError{Err: denied}
		}
		again := !sent && track.closedIdle() && attempt < mostAttempts && ctx.Err() == nil
		if !again {
			return nil, &LostError{Sent: sent, Err: err}
		}
	}
}

func (c Caller) request(ctx context.Context, call Call) (*http.Request, error) {
	if !strings.HasPrefix(call.Path, "/") {
		// Such a path would become a part of the host's name.
		return nil, fmt.Errorf("path %q doesn't start with a slash", call.Path)
	}
	target := c.Base + call.Path
	if len(call.Query) > 0 {
		target += "?" + call.Query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, target, newBody(call.Body))
	if err != nil {
		return nil, err
	}
	request.Host = call.Host
	request.ContentLength = int64(len(call.Body))
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

// NotPermittedError says that a call's Permit failed; nothing was sent.
type NotPermittedError struct {
	Err error
}

func (e *NotPermittedError) Error() string { return "not permitted any more: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotPermittedError) Unwrap() error { return e.Err }

// LostError says that no whole answer arrived. Sent says whether a byte of the
// request may have left; when it is false, the call had no effect.
type LostError struct {
	Sent bool
	Err  error
}

func (e *LostError) Error() string { return fmt.Sprintf("no answer (sent: %t): %v", e.Sent, e.Err) }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }
