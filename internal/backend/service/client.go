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
	HeaderDigest  = "Content-Digest" // sha-256 as in RFC 9530
)

// The reasons of a BrokenError.
const (
	ReasonConnect   = "connect"
	ReasonTruncated = "truncated"
	ReasonCrossed   = "crossed"
	ReasonDigest    = "digest"
)

// Client is a Caller over HTTP. Base is the service's URL. The zero HTTP client
// works.
type Client struct {
	Base string
	HTTP *http.Client
}

// Call implements Caller. It sends the request at most once.
func (c *Client) Call(ctx context.Context, request Request) (Answer, error) {
	if request.ID == "" {
		// Any answer would be taken as the answer to this request.
		return Answer{}, &BrokenError{Reason: ReasonConnect, Err: errors.New("request has no ID")}
	}
	caller := rest.Caller{Base: c.Base, HTTP: c.HTTP}
	answer, err := caller.Open(ctx, rest.Call{
		Method: request.Method,
		Path:   request.Path,
		Header: header(request),
		Body:   request.Body,
	})
	if err != nil {
		lost, ok := errors.AsType[*rest.LostError](err)
		return Answer{}, &BrokenError{ID: request.ID, Reason: ReasonConnect, Sent: !ok || lost.Sent, Err: err}
	}
	defer func() { _ = answer.Body.Close() }()
	return read(request.ID, answer)
}

func header(request Request) http.Header {
	own := make(http.Header, len(request.Header)+1)
	for name, values := range request.Header {
		own[http.CanonicalHeaderKey(name)] = values
	}
	own.Set(HeaderRequest, request.ID)
	return own
}

// read checks that the answer is whole and the answer to this request. The
// identity is checked first, because nothing else of a crossed answer counts.
func read(id string, answer *http.Response) (Answer, error) {
	if echo := answer.Header.Get(HeaderRequest); echo != id {
		return Answer{}, &BrokenError{ID: id, Reason: ReasonCrossed, Sent: true}
	}
	body, err := rest.ReadAll(answer.Body)
	if err != nil {
		return Answer{}, &BrokenError{ID: id, Reason: ReasonTruncated, Sent: true, Err: err}
	}
	if !framed(answer) {
		return Answer{}, &BrokenError{ID: id, Reason: ReasonTruncated, Sent: true, Err: errors.New("answer has neither length nor digest")}
	}
	// The digest of an answer to HEAD is that of the body which GET gives.
	head := answer.Request != nil && answer.Request.Method == http.MethodHead
	if !head && !digestMatches(answer.Header.Get(HeaderDigest), body) {
		return Answer{}, &BrokenError{ID: id, Reason: ReasonDigest, Sent: true}
	}
	if refused(answer) {
		return Answer{}, &RefusedError{Status: answer.StatusCode, RetryAfter: rest.NewStatusError(answer, body).After}
	}
	return Answer{ID: id, Status: answer.StatusCode, Header: answer.Header, Body: body}, nil
}

// framed says whether a cut answer would have been noticed. A body that ends
// with its connection is whole only if a digest says so.
func framed(answer *http.Response) bool {
	chunked := len(answer.TransferEncoding) > 0
	return answer.ContentLength >= 0 || chunked || answer.Header.Get(HeaderDigest) != ""
}

func refused(answer *http.Response) bool {
	limited := answer.StatusCode == http.StatusTooManyRequests || answer.StatusCode == http.StatusServiceUnavailable
	return limited && answer.Header.Get(rest.HeaderRan) == "no"
}

// Digest returns the Content-Digest of a body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}

// digestMatches checks the SHA-256 member of the header. Other algorithms and
// a missing header are not checked.
func digestMatches(value string, body []byte) bool {
	for member := range strings.SplitSeq(value, ",") {
		member = strings.TrimSpace(member)
		if strings.HasPrefix(member, "sha-256=") {
			return member == Digest(body)
		}
	}
	return true
}
