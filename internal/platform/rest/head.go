package rest

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// MalformedError says that a response is none in HTTP/1, or that its head has more than one
// meaning. Nothing of it is used.
type MalformedError struct {
	Reason string
}

func (e *MalformedError) Error() string { return "malformed answer: " + e.Reason }

// Range of the status of a final response (RFC 9110, section 15).
const (
	minFinalStatus = 200
	maxStatus      = 599
)

// checkResponse returns a *MalformedError for a response that net/http accepts although its
// status is not that of a final response, or the name of a field is no token: with "Name :"
// it would read the body without the length or the encoding that the server meant.
func checkResponse(response *http.Response) error {
	if status := response.StatusCode; status < minFinalStatus || status > maxStatus {
		return &MalformedError{Reason: fmt.Sprintf("status %03d", status)}
	}
	for name := range response.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &MalformedError{Reason: fmt.Sprintf("field name %.80q", name)}
		}
	}
	return nil
}

// headCheck finds in the head of a response what net/http hides from its callers: another
// major version, a folded line, which becomes a part of the field before it, and a
// Transfer-Encoding that net/http ignores or prefers to a length (RFC 9112, sections 5.2 and
// 6.1). The zero value checks nothing until expect is called.
type headCheck struct {
	pending bool   // a head is to come, or has not ended
	partial []byte // the beginning of a line whose end has not arrived

	// Of the current head.
	begun    bool // the status line has been read
	interim  bool // another head follows
	chunks   bool // the version knows Transfer-Encoding
	length   bool
	encoding bool
}

// maxKeptLine is the capacity of headCheck.partial that is kept for further heads, in bytes.
const maxKeptLine = 1 << 10

// expect prepares the check for the response to a new request.
func (h *headCheck) expect() { *h = headCheck{pending: true, partial: h.partial[:0]} }

// check examines bytes that have arrived. The error is a *MalformedError.
func (h *headCheck) check(data []byte) error {
	for h.pending {
		line, rest, ended := bytes.Cut(data, []byte{'\n'})
		if !ended {
			h.partial = append(h.partial, line...)
			return nil
		}
		if len(h.partial) > 0 {
			line = append(h.partial, line...)
			h.partial = nil
			if cap(line) <= maxKeptLine {
				h.partial = line[:0]
			}
		}
		if err := h.checkLine(bytes.TrimSuffix(line, []byte{'\r'})); err != nil {
			return err
		}
		data = rest
	}
	return nil
}

// checkLine examines one line of a head.
func (h *headCheck) checkLine(line []byte) error {
	switch {
	case !h.begun:
		return h.checkStatusLine(line)
	case len(line) == 0:
		if h.encoding && (h.length || !h.chunks) {
			return &MalformedError{Reason: "Transfer-Encoding beside Content-Length or in HTTP/1.0"}
		}
		interim := h.interim
		*h = headCheck{pending: interim, partial: h.partial}
	case line[0] == ' ' || line[0] == '\t':
		return &MalformedError{Reason: fmt.Sprintf("folded line %.80q", line)}
	default:
		name, _, _ := bytes.Cut(line, []byte{':'})
		h.length = h.length || strings.EqualFold(string(name), "Content-Length")
		h.encoding = h.encoding || strings.EqualFold(string(name), "Transfer-Encoding")
	}
	return nil
}

// checkStatusLine examines the first line of a head. net/http checks the status.
func (h *headCheck) checkStatusLine(line []byte) error {
	version, status, _ := bytes.Cut(line, []byte{' '})
	major, minor, known := http.ParseHTTPVersion(string(version))
	if !known || major != 1 {
		return &MalformedError{Reason: fmt.Sprintf("status line %.80q", line)}
	}
	h.begun, h.chunks = true, minor >= 1
	h.interim = bytes.HasPrefix(bytes.TrimLeft(status, " "), []byte{'1'})
	return nil
}
