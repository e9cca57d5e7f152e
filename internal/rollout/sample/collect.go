package sample

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
)

// UnlabeledError is returned when an engine generated tokens, or reused cached ones,
// without naming their weights versions. The text can't be delivered.
type UnlabeledError struct {
	ID string
}

func (e *UnlabeledError) Error() string {
	return fmt.Sprintf("answer to %s has tokens without weight versions", e.ID)
}

// Digest returns the SHA-256 of text in hexadecimal.
func Digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// reasonCanceled is the reason of the last event after the engine was told to stop.
const reasonCanceled = "canceled"

// Collector collects the events of one attempt into a sample. Request is the request
// that was sent; its Resume names the versions of the text and the imported cache that
// the engine starts from. The zero value with a Request is ready to use.
type Collector struct {
	Request  engine.Request
	text     strings.Builder
	versions []uint64
	last     engine.Event
	missing  bool // some tokens have no version
}

// Add adds the next event. It returns an *engine.BrokenError for an event of another
// request, or one after the last event.
func (c *Collector) Add(e engine.Event) error {
	if e.ID != c.Request.ID {
		return c.broken("crossed", fmt.Errorf("event of %s", e.ID))
	}
	if c.last.Done {
		return c.broken("truncated", errors.New("event after the last"))
	}
	c.text.WriteString(e.Text)
	c.addVersions(e)
	c.last = e
	return nil
}

// addVersions adds the versions of an event. An event without text, as the last one usually
// is, adds no tokens and needs no versions.
func (c *Collector) addVersions(e engine.Event) {
	if len(e.Versions) == 0 {
		c.missing = c.missing || e.Text != ""
		return
	}
	if !labeled(e.Versions) {
		c.missing = true
	}
	for _, version := range e.Versions {
		if !slices.Contains(c.versions, version) {
			c.versions = Union(c.versions, e.Versions)
		}
	}
}

// Versions returns the union of the versions so far, including those of the resumed
// text and cache.
func (c *Collector) Versions() []uint64 {
	if c.Request.Resume == nil {
		return slices.Clone(c.versions)
	}
	return Union(c.versions, c.Request.Resume.Versions)
}

// Sample returns the finished sample without its place in the step. It returns an
// *engine.BrokenError if the stream has not ended, was canceled, does not match its digest
// or counts no tokens for its text, and an *UnlabeledError if some tokens have no version.
func (c *Collector) Sample() (Sample, error) {
	if !c.last.Done || c.last.Reason == reasonCanceled {
		return Sample{}, c.broken("truncated", nil)
	}
	text, tokens, err := c.complete()
	if err != nil {
		return Sample{}, err
	}
	versions := c.Versions()
	if c.missing || c.resumedUnlabeled() || !labeled(versions) {
		return Sample{}, &UnlabeledError{ID: c.Request.ID}
	}
	return Sample{Attempt: c.Request.ID, Text: text, Tokens: tokens, Digest: Digest(text), Versions: versions, Reason: c.last.Reason}, nil
}

// complete verifies the digest, and that text has tokens. It returns the complete text and
// its token count. The digest and the token count of an engine cover either the complete
// text or only the text added to a resumed one; the streams of engine.Client fail in the
// second case.
func (c *Collector) complete() (string, int, error) {
	added, tokens := c.text.String(), c.last.Tokens
	if tokens < 0 || (tokens == 0 && added != "") {
		return "", 0, c.broken("digest", fmt.Errorf("%d tokens", tokens))
	}
	resume := c.Request.Resume
	if resume == nil {
		if Digest(added) != c.last.Digest {
			return "", 0, c.broken("digest", nil)
		}
		return added, tokens, nil
	}
	complete := resume.Text + added
	switch c.last.Digest {
	case Digest(complete):
		return complete, tokens, nil
	case Digest(added):
		return complete, resume.Tokens + tokens, nil
	}
	return "", 0, c.broken("digest", nil)
}

// resumedUnlabeled reports whether the text or cache that the engine started from has no
// versions.
func (c *Collector) resumedUnlabeled() bool {
	resume := c.Request.Resume
	if resume == nil || (resume.Text == "" && len(resume.Cache) == 0) {
		return false
	}
	return !labeled(resume.Versions)
}

// broken returns the error for a stream that can't be used.
func (c *Collector) broken(reason string, err error) error {
	return &engine.BrokenError{ID: c.Request.ID, Reason: reason, Sent: true, Err: err}
}

// Collect reads stream to its end and returns its sample. Each, if not nil, is called
// after each event with the event and the versions so far. An error of the stream is
// returned unchanged; the others are those of Add and Sample. The caller closes the stream.
func Collect(request engine.Request, stream engine.Stream, each func(engine.Event, []uint64)) (Sample, error) {
	collector := Collector{Request: request}
	for {
		e, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return collector.Sample()
		}
		if err != nil {
			return Sample{}, err
		}
		if err := collector.Add(e); err != nil {
			return Sample{}, err
		}
		if each != nil {
			each(e, collector.Versions())
		}
	}
}

// Union returns the sorted versions of a and b without repeats.
func Union(a, b []uint64) []uint64 {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}
