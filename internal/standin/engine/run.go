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

// busyWait is the wait in milliseconds that a full engine asks for.
const busyWait = 50

// maxTokens bounds the tokens of one request.
const maxTokens = 1 << 20

// run answers with a stream of events, one JSON value a line.
func (e *Engine) run(w http.ResponseWriter, r *http.Request) {
	var request engine.Request
	if !web.Read(w, r, &request) {
		return
	}
	if e.disturb(w, r, Run, request.Prompt) {
		return
	}
	b, s, code := e.enqueue(request)
	if code != "" {
		web.Refuse(w, http.StatusServiceUnavailable, rest.Problem{Code: code, RetryAfterMillis: busyWait})
		return
	}
	e.send(w, r, b, s)
}

// disturb brings about the faults that keep a call from taking effect.
func (e *Engine) disturb(w http.ResponseWriter, r *http.Request, step fault.Step, subject string) bool {
	script := e.settings.Faults
	if rule, due := script.Take(step, subject, fault.Delay); due {
		rule.Wait(r.Context())
	}
	rule, due := script.Take(step, subject, faultsBefore...)
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
		web.Refuse(w, http.StatusServiceUnavailable, rest.Problem{Code: "busy", RetryAfterMillis: busyWait})
	default:
		web.Fail(w, http.StatusServiceUnavailable, rest.Problem{Code: "down"})
	}
	return true
}

// enqueue takes a generation in, or returns the code of a refusal.
func (e *Engine) enqueue(request engine.Request) (*boot, *sequence, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.boot
	if b == nil {
		web.Drop()
	}
	if code := e.refusal(b, request); code != "" {
		return nil, nil, code
	}
	s := newSequence(request, e.settings.Burst)
	b.batch.waiting = append(b.batch.waiting, s)
	select {
	case b.wake <- struct{}{}:
	default: // a wake-up is already due
	}
	return b, s, ""
}

func (e *Engine) refusal(b *boot, request engine.Request) string {
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

// resumable checks what a resumed generation brings with it.
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
	return bytes.Equal(resume.Cache, exported(request, resume.Tokens, resume.Versions))
}

// send streams the events of a generation. A caller that goes away cancels it.
func (e *Engine) send(w http.ResponseWriter, r *http.Request, b *boot, s *sequence) {
	stream := &sender{engine: e, w: w, r: r, sequence: s}
	stream.rule, stream.faulty = e.settings.Faults.Take(Stream, s.request.Prompt, faultsStream...)
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	stream.flush() // the caller learns that the generation was taken in
	for {
		select {
		case event, more := <-s.events:
			if !more {
				return
			}
			stream.event(event) //nolint:contextcheck // the sender holds the request and its context
		case <-r.Context().Done():
			e.drop(s)
			return
		case <-b.gone:
			web.Drop()
		}
	}
}

// drop cancels a generation whose caller is gone.
func (e *Engine) drop(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot != nil && e.boot.batch.find(s.request.ID) == s {
		e.boot.batch.remove(s)
		e.counts.Canceled++
	}
}

// sender writes events and damages them as its rule says.
type sender struct {
	engine   *Engine
	w        http.ResponseWriter
	r        *http.Request
	sequence *sequence
	rule     fault.Rule
	faulty   bool
	sent     int
}

func (s *sender) event(event engine.Event) {
	if s.faulty {
		event = s.damage(event)
	}
	s.write(event)
	if s.rule.Kind == fault.Doubled && s.sent == 1 {
		s.write(event)
	}
}

func (s *sender) write(event engine.Event) {
	line, err := json.Marshal(event)
	if err != nil {
		web.Drop()
	}
	line = append(line, '\n')
	if s.rule.Kind == fault.Truncated && s.sent == 1 {
		s.engine.drop(s.sequence)
		web.Cut(s.w, line)
	}
	_, _ = s.w.Write(line)
	s.flush()
	s.sent++
}

func (s *sender) flush() {
	_ = http.NewResponseController(s.w).Flush()
}

func (s *sender) damage(event engine.Event) engine.Event {
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
