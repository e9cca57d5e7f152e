package engine

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
	"github.com/hyssopwall/hyssopwall/internal/standin/fault"
	"github.com/hyssopwall/hyssopwall/internal/standin/web"
)

// retryMillis is the retry wait in milliseconds that a refused generation, whatever its
// code, and a Refuse fault before a request ask for.
const retryMillis = 50

// maxTokens is the limit of tokens that one request may ask for or resume from.
const maxTokens = 1 << 20

// run serves POST /v1/run: it queues a generation and streams its events as lines of
// JSON.
func (e *Engine) run(w http.ResponseWriter, r *http.Request) {
	var request engine.Request
	if !web.Read(w, r, &request) {
		return
	}
	if e.injectFault(w, r, Run, request.Prompt) {
		return
	}
	b, s, code := e.enqueue(request)
	if code != "" {
		web.Refuse(w, http.StatusServiceUnavailable, rest.Problem{Code: code, RetryAfterMillis: retryMillis})
		return
	}
	e.send(w, r, b, s)
}

// injectFault injects the faults that act before a request takes effect. It reports
// whether it has answered the request; a delay alone does not. A crash or a dropped
// connection ends the handler with a panic; see web.Drop.
func (e *Engine) injectFault(w http.ResponseWriter, r *http.Request, step fault.Step, subject string) bool {
	script := e.settings.Faults
	if rule, due := script.Take(step, subject, fault.Delay); due {
		rule.Wait(r.Context())
	}
	rule, due := script.Take(step, subject, faultsBeforeEffect...)
	if !due {
		return false
	}
	switch rule.Kind {
	case fault.Crash:
		e.Crash()
		web.Drop()
	case fault.DropBefore:
		web.Drop()
	case fault.Refuse:
		web.Refuse(w, http.StatusServiceUnavailable, rest.Problem{Code: "busy", RetryAfterMillis: retryMillis})
	default:
		web.Fail(w, http.StatusServiceUnavailable, rest.Problem{Code: "down"})
	}
	return true
}

// enqueue adds a generation to the waiting ones, or returns the error code of its
// refusal.
func (e *Engine) enqueue(request engine.Request) (*boot, *sequence, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.boot
	if b == nil {
		web.Drop()
	}
	if code := e.refusalCode(b, request); code != "" {
		return nil, nil, code
	}
	s := newSequence(request, e.settings.Burst)
	b.batch.waiting = append(b.batch.waiting, s)
	select {
	case b.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
	return b, s, ""
}

// refusalCode returns the error code with which a request is refused, or "" if it is
// accepted.
func (e *Engine) refusalCode(b *boot, request engine.Request) string {
	switch {
	case e.leaving:
		return "leaving"
	case request.Model != b.model || b.version == 0:
		return "model"
	case request.Adapter != "" && !slices.Contains(b.adapters, request.Adapter):
		return "model"
	case request.ID == "" || request.MaxTokens < 0 || request.MaxTokens > maxTokens:
		return "malformed"
	case b.batch.find(request.ID) != nil:
		return "duplicate"
	case len(b.batch.waiting) >= e.settings.Waiting:
		return "busy"
	case request.Resume != nil && !e.resumable(request):
		return "cache"
	}
	return ""
}

// resumable reports whether the state of a resumed generation can be used: its token
// count is in range and its cache, if any, belongs to the request
// and isn't refused by an Import fault.
func (e *Engine) resumable(request engine.Request) bool {
	resume := request.Resume
	if resume.Tokens < 0 || resume.Tokens > maxTokens {
		return false
	}
	if len(resume.Cache) == 0 {
		return true
	}
	if _, due := e.settings.Faults.Take(Import, request.Prompt, fault.Refuse); due {
		return false
	}
	return bytes.Equal(resume.Cache, encodeCache(request, resume.Tokens, resume.Versions))
}

// send streams the events of a generation. It cancels the generation when the caller
// disconnects, and drops the connection when the process ends.
func (e *Engine) send(w http.ResponseWriter, r *http.Request, b *boot, s *sequence) {
	stream := &sender{engine: e, w: w, r: r, sequence: s}
	stream.rule, stream.faulty = e.settings.Faults.Take(Stream, s.request.Prompt, faultsStream...)
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	stream.flush() // sends the headers, which tell the caller that the generation was accepted
	for {
		select {
		case event, more := <-s.events:
			if !more {
				return
			}
			stream.sendEvent(event) //nolint:contextcheck // the sender holds the request and its context
		case <-r.Context().Done():
			e.cancelAbandoned(s)
			return
		case <-b.gone:
			web.Drop()
		}
	}
}

// cancelAbandoned cancels a generation, if it is not finished yet, whose caller has
// disconnected or whose stream was truncated by a fault.
func (e *Engine) cancelAbandoned(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot != nil && e.boot.batch.find(s.request.ID) == s {
		e.boot.batch.remove(s)
		e.counts.Canceled++
	}
}

// sender writes the events of one generation to its caller and injects the fault of
// its rule, if any.
type sender struct {
	engine   *Engine
	w        http.ResponseWriter
	r        *http.Request
	sequence *sequence
	rule     fault.Rule
	faulty   bool // rule is set
	sent     int  // events written
}

// sendEvent writes an event, as changed by the rule. A Doubled fault repeats the first
// event.
func (s *sender) sendEvent(event engine.Event) {
	if s.faulty {
		event = s.applyFault(event)
	}
	s.write(event)
	if s.rule.Kind == fault.Doubled && s.sent == 1 {
		s.write(event)
	}
}

// write writes an event as one line. A truncated stream is cut off within its second
// line, and its generation canceled.
func (s *sender) write(event engine.Event) {
	line, err := json.Marshal(event)
	if err != nil {
		web.Drop()
	}
	line = append(line, '\n')
	if s.rule.Kind == fault.Truncated && s.sent == 1 {
		s.engine.cancelAbandoned(s.sequence)
		web.Cut(s.w, line)
	}
	_, _ = s.w.Write(line)
	s.flush()
	s.sent++
}

func (s *sender) flush() {
	_ = http.NewResponseController(s.w).Flush()
}

// applyFault returns the event as changed by the rule. It may also delay the event,
// drop the connection or crash the engine.
func (s *sender) applyFault(event engine.Event) engine.Event {
	switch s.rule.Kind {
	case fault.Slow:
		s.rule.Wait(s.r.Context())
	case fault.Unlabelled:
		event.Versions = nil
	case fault.Crossed:
		event.ID += "-other"
	case fault.Corrupt:
		if s.sent == 0 {
			event.Text = "x" + event.Text
		}
	case fault.DropAfter:
		if event.Done {
			web.Drop()
		}
	case fault.Crash:
		if s.sent == 1 {
			s.engine.Crash()
			web.Drop()
		}
	}
	return event
}
