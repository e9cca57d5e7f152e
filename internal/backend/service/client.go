package service

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"net/http"
	"strings"

	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
)

// Headers of the protocol.
const (
	HeaderRequest = "X-Request-Id"
	HeaderDigest  = "Content-Digest" // SHA-256, formatted according to RFC 9530
)

// The reasons of a BrokenError.
const (
	ReasonConnect   = "connect"   // no response arrived, or the request had no ID and was not sent
	ReasonTruncated = "truncated" // the response ended early or can't be shown to be complete
	ReasonCrossed   = "crossed"   // the response belongs to another request
	ReasonDigest    = "digest"    // the digest doesn't match the body
)

// Client implements Caller over HTTP. Base is the service's URL. A nil HTTP uses
// connections that all clients share.
type Client struct {
	Base string
	HTTP *http.Client
}

// Call implements Caller. It sends the request at most once.
func (c *Client) Call(ctx context.Context, request Request) (Response, error) {
	if request.ID == "" {
		// A response to any other request without an ID would match this one.
		return Response{}, &BrokenError{Reason: ReasonConnect, Err: errors.New("request has no ID")}
	}
	caller := rest.Caller{Base: c.Base, HTTP: c.HTTP}
	response, err := caller.Open(ctx, rest.Call{
		Method: request.Method,
		Path:   request.Path,
		Header: header(request),
		Body:   request.Body,
	})
	if err != nil {
		lost, ok := errors.AsType[*rest.LostError](err)
		return Response{}, &BrokenError{ID: request.ID, Reason: ReasonConnect, Sent: !ok || lost.Sent, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	return read(request.ID, response)
}

// header returns a copy of the request's header with canonical names and the request ID.
func header(request Request) http.Header {
	result := make(http.Header, len(request.Header)+1)
	for name, values := range request.Header {
		result[http.CanonicalHeaderKey(name)] = values
	}
	result.Set(HeaderRequest, request.ID)
	return result
}

// read reads a response and checks that it is complete and belongs to the request. It
// checks the ID first, because the rest of another request's response is meaningless.
func read(id string, response *http.Response) (Response, error) {
	if echo := response.Header.Get(HeaderRequest); echo != id {
		return Response{}, &BrokenError{ID: id, Reason: ReasonCrossed, Sent: true}
	}
	body, err := rest.ReadAll(response.Body)
	if err != nil {
		return Response{}, &BrokenError{ID: id, Reason: ReasonTruncated, Sent: true, Err: err}
	}
	if !delimited(response) {
		return Response{}, &BrokenError{ID: id, Reason: ReasonTruncated, Sent: true, Err: errors.New("answer has neither length nor digest")}
	}
	// The digest of a response to HEAD is that of the body that GET returns.
	head := response.Request != nil && response.Request.Method == http.MethodHead
	if !head && !digestMatches(response.Header.Get(HeaderDigest), body) {
		return Response{}, &BrokenError{ID: id, Reason: ReasonDigest, Sent: true}
	}
	if refused(response) {
		return Response{}, &RefusedError{Status: response.StatusCode, RetryAfter: rest.NewStatusError(response, body).RetryAfter}
	}
	return Response{ID: id, Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// delimited reports whether truncation of the response would be detected. The end of a
// body that has neither a length nor chunks is the end of the connection, so that only
// a digest shows whether it is complete. Any digest counts, also one of an algorithm that
// digestMatches doesn't check.
func delimited(response *http.Response) bool {
	chunked := len(response.TransferEncoding) > 0
	return response.ContentLength >= 0 || chunked || response.Header.Get(HeaderDigest) != ""
}

// refused reports whether the service refused the request before doing any work.
func refused(response *http.Response) bool {
	limited := response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable
	return limited && response.Header.Get(rest.HeaderRan) == "no"
}

// Digest returns the value of the Content-Digest header for a body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}

// digestMatches reports whether the SHA-256 digest in a Content-Digest header is that of
// the body. It returns true if the header has no SHA-256 digest.
func digestMatches(value string, body []byte) bool {
	for member := range strings.SplitSeq(value, ",") {
		member = strings.TrimSpace(member)
		if strings.HasPrefix(member, "sha-256=") {
			return member == Digest(body)
		}
	}
	return true
}
