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

// Limits of an answer stream.
const (
	maxLine   = 1 << 20 // bytes of one event
	maxText   = 8 << 20 // bytes of all events
	firstLine = 4 << 10 // bytes of the first read buffer
	maxDrain  = 4 << 10 // bytes read after the last event to keep the connection
	drainTime = 100 * time.Millisecond
)

// stream reads events, one JSON value a line, and checks that they are the
// whole answer to one request.
type stream struct {
	request Request
	body    io.ReadCloser
	cancel  context.CancelFunc
	lines   *bufio.Scanner
	digest  hash.Hash
	tokens  int
	size    int  // bytes of text
	counted bool // some event before the last carried a token count
	done    bool
	failed  error
}

func newStream(request Request, body io.ReadCloser, cancel context.CancelFunc) *stream {
	s := &stream{request: request, body: body, cancel: cancel, digest: sha256.New()}
	s.lines = bufio.NewScanner(body)
	s.lines.Buffer(make([]byte, 0, firstLine), maxLine)
	if resume := request.Resume; resume != nil {
		_, _ = io.WriteString(s.digest, resume.Text)
		s.tokens = resume.Tokens
	}
	return s
}

// Next implements Stream. An error is final.
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
		return Event{}, s.broken(ReasonDigest, errTokens)
	}
	return event, nil
}

// errTokens is the cause when an engine goes on beyond the request's limit.
var errTokens = errors.New("more tokens than asked for")

func (s *stream) exceeds(tokens int) bool {
	return s.request.MaxTokens > 0 && tokens > s.request.MaxTokens
}

// finish checks the last event against all that came before.
func (s *stream) finish(event Event) error {
	if event.Digest != hex.EncodeToString(s.digest.Sum(nil)) {
		return s.broken(ReasonDigest, nil)
	}
	if s.counted && event.Tokens != s.tokens {
		return s.broken(ReasonDigest, errors.New("token count differs"))
	}
	if s.exceeds(event.Tokens) {
		return s.broken(ReasonDigest, errTokens)
	}
	s.done = true
	return nil
}

func (s *stream) broken(reason string, err error) error {
	return &BrokenError{ID: s.request.ID, Reason: reason, Sent: true, Err: err}
}

// Close implements Stream. After the last event it reads the end of the body,
// for a short time, so that the connection can serve again.
func (s *stream) Close() error {
	if s.done {
		timer := time.AfterFunc(drainTime, s.cancel)
		_, _ = io.CopyN(io.Discard, s.body, maxDrain)
		timer.Stop()
	}
	s.cancel()
	return s.body.Close()
}
