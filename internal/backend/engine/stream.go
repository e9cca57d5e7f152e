package engine

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"hash"
	"io"
	"time"
)

// Limits of a response stream.
const (
	maxLine           = 1 << 20 // bytes of one event
	maxText           = 8 << 20 // bytes of text in all events
	initialBufferSize = 4 << 10 // bytes of the first read buffer
	maxDrain          = 4 << 10 // bytes read after the last event to keep the connection usable
	drainTimeout      = 100 * time.Millisecond
)

// stream implements Stream. It reads events, one JSON value per line, and checks that
// they form the complete response to one request.
type stream struct {
	request Request
	body    io.ReadCloser
	cancel  context.CancelFunc
	lines   *bufio.Scanner
	digest  hash.Hash
	tokens  int  // of the Resume and of the events so far
	size    int  // bytes of text in the events so far
	counted bool // an event before the last one had a token count
	done    bool
	failed  error // an earlier error of Next, which each later call returns
}

// newStream returns a stream that reads the body of a response to request. Close calls
// cancel.
func newStream(request Request, body io.ReadCloser, cancel context.CancelFunc) *stream {
	s := &stream{request: request, body: body, cancel: cancel, digest: sha256.New()}
	s.lines = bufio.NewScanner(body)
	s.lines.Buffer(make([]byte, 0, initialBufferSize), maxLine)
	if resume := request.Resume; resume != nil {
		_, _ = io.WriteString(s.digest, resume.Text)
		s.tokens = resume.Tokens
	}
	return s
}

// Next implements Stream. After an error it returns the same error again.
func (s *stream) Next() (Event, error) {
	if s.done {
		return Event{}, io.EOF
	}
	if s.failed != nil {
		return Event{}, s.failed
	}
	event, err := s.read()
	if err != nil {
		s.failed = err
		return Event{}, err
	}
	return event, nil
}

// read reads and checks one event.
func (s *stream) read() (Event, error) {
	if !s.lines.Scan() {
		return Event{}, s.broken(ReasonTruncated, s.lines.Err())
	}
	var event Event
	if err := json.Unmarshal(s.lines.Bytes(), &event); err != nil {
		return Event{}, s.broken(ReasonMalformed, err)
	}
	if event.ID != s.request.ID {
		return Event{}, s.broken(ReasonCrossed, nil)
	}
	if event.Tokens < 0 {
		return Event{}, s.broken(ReasonMalformed, errors.New("negative token count"))
	}
	s.size += len(event.Text)
	if s.size > maxText {
		return Event{}, s.broken(ReasonMalformed, errors.New("answer is too large"))
	}
	_, _ = io.WriteString(s.digest, event.Text)
	if event.Done {
		return event, s.finish(event)
	}
	s.tokens += event.Tokens
	s.counted = s.counted || event.Tokens > 0
	if s.exceeds(s.tokens) {
		return Event{}, s.broken(ReasonDigest, errTooManyTokens)
	}
	return event, nil
}

// errTooManyTokens is the cause when an engine exceeds the request's MaxTokens.
var errTooManyTokens = errors.New("more tokens than asked for")

// exceeds reports whether a token count is above the request's limit, if it has one.
func (s *stream) exceeds(tokens int) bool {
	return s.request.MaxTokens > 0 && tokens > s.request.MaxTokens
}

// finish checks the digest of the last event against the events before it, and its
// token count against theirs, if they had any, and against MaxTokens.
func (s *stream) finish(event Event) error {
	if event.Digest != hex.EncodeToString(s.digest.Sum(nil)) {
		return s.broken(ReasonDigest, nil)
	}
	if s.counted && event.Tokens != s.tokens {
		return s.broken(ReasonDigest, errors.New("token count differs"))
	}
	if s.exceeds(event.Tokens) {
		return s.broken(ReasonDigest, errTooManyTokens)
	}
	s.done = true
	return nil
}

// broken returns a BrokenError for the request, which has been sent.
func (s *stream) broken(reason string, err error) error {
	return &BrokenError{ID: s.request.ID, Reason: reason, Sent: true, Err: err}
}

// Close implements Stream. After the last event it reads the rest of the body, for at
// most drainTimeout, so that the connection can be reused.
func (s *stream) Close() error {
	if s.done {
		timer := time.AfterFunc(drainTimeout, s.cancel)
		_, _ = io.CopyN(io.Discard, s.body, maxDrain)
		timer.Stop()
	}
	s.cancel()
	return s.body.Close()
}
