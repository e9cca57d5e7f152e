package api

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"
	"golang.org/x/sync/errgroup"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/entry/gate"
	"github.com/hyssopwall/hyssopwall/internal/rollout/sample"
	"github.com/hyssopwall/hyssopwall/internal/site/document"
)

// shape says how an answer is written: as a completion or as a chat.
type shape struct {
	whole, part string
	chat        bool
}

var (
	plainShape = shape{whole: "text_completion", part: "text_completion"}
	chatShape  = shape{whole: "chat.completion", part: "chat.completion.chunk", chat: true}
)

func (s *Server) complete(c echo.Context) error {
	request, err := s.checkedBody(c, decode[completionRequest])
	if err != nil {
		return err
	}
	return s.generate(c, request, plainShape)
}

func (s *Server) chat(c echo.Context) error {
	request, err := s.checkedBody(c, func(c echo.Context) (completionRequest, error) {
		chat, err := decode[chatRequest](c)
		return chat.plain(), err
	})
	if err != nil {
		return err
	}
	return s.generate(c, request, chatShape)
}

// checkedBody reads the body of a request whose key is known, so that a caller
// without one costs no parsing.
func (s *Server) checkedBody(c echo.Context, read func(echo.Context) (completionRequest, error)) (completionRequest, error) {
	if gate.KeyFromHeader(c.Request().Header) != "" {
		if _, err := s.caller(c); err != nil {
			return completionRequest{}, err
		}
	}
	return read(c)
}

func (s *Server) generate(c echo.Context, request completionRequest, form shape) error {
	call, err := s.admit(c, request.Model, document.Engine, "")
	if err != nil {
		return err
	}
	if gate.BodyContains([]byte(request.Prompt), call.Key) {
		return Refuse(BadRequest, "the prompt holds the caller's key")
	}
	ctx, stop := context.WithDeadline(c.Request().Context(), call.Deadline)
	defer stop()
	if request.Stream {
		return s.stream(ctx, c, call, request, form)
	}
	return s.whole(ctx, c, call, request, form)
}

func engineRequest(call Call, request completionRequest, seed int64) engine.Request {
	tokens := request.MaxTokens
	if tokens == 0 {
		tokens = defaultTokens
	}
	return engine.Request{
		ID: call.ID, Model: request.Model, Prompt: request.Prompt,
		MaxTokens: tokens, Seed: seed, Priority: call.Priority,
	}
}

// generated is one finished generation.
type generated struct {
	text     strings.Builder
	tokens   int
	reason   string
	versions []uint64
}

func (g *generated) add(e engine.Event) {
	g.text.WriteString(e.Text)
	g.versions = sample.Union(g.versions, e.Versions)
	if e.Done {
		g.tokens, g.reason = e.Tokens, e.Reason
	}
}

// sink collects the events of a generation, and can start again.
func (g *generated) sink() Sink {
	return Sink{
		Event: func(e engine.Event) error {
			g.add(e)
			return nil
		},
		Restart: func() bool {
			*g = generated{}
			return true
		},
	}
}

func (s *Server) whole(ctx context.Context, c echo.Context, call Call, request completionRequest, form shape) error {
	results := make([]generated, max(1, request.N))
	group, ctx := errgroup.WithContext(ctx)
	for i := range results {
		one := call
		if i > 0 {
			one.ID = fmt.Sprintf("%s-%d", call.ID, i)
		}
		group.Go(func() error {
			return s.Dispatcher.Generate(ctx, one, engineRequest(one, request, request.Seed+int64(i)), results[i].sink())
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, s.answerOf(call, request, form, results))
}

func (s *Server) answerOf(call Call, request completionRequest, form shape, results []generated) answer {
	a := answer{ID: call.ID, Object: form.whole, Created: s.Now().Unix(), Model: request.Model, Usage: &usage{}}
	for i := range results {
		result := &results[i]
		text := result.text.String()
		one := choice{Index: i, Finish: &result.reason}
		if form.chat {
			one.Message = &message{Role: "assistant", Content: text}
		} else {
			one.Text = &text
		}
		a.Choices = append(a.Choices, one)
		a.Usage.Completion += result.tokens
		a.Versions = sample.Union(a.Versions, result.versions)
	}
	a.Usage.Total = a.Usage.Completion
	return a
}

// stream answers with server-sent events. Headers go out with the first event,
// so that a failure before it still has its own status.
func (s *Server) stream(ctx context.Context, c echo.Context, call Call, request completionRequest, form shape) error {
	w := eventWriter{response: c.Response()}
	sink := Sink{Event: func(e engine.Event) error { return w.write(s.partOf(call, request, form, e)) }}
	err := s.Dispatcher.Generate(ctx, call, engineRequest(call, request, request.Seed), sink)
	if err == nil {
		return w.end()
	}
	if !w.started {
		return err
	}
	return errors.Join(w.write(bodyOf(AsError(err))), err)
}

func (s *Server) partOf(call Call, request completionRequest, form shape, e engine.Event) answer {
	a := answer{ID: call.ID, Object: form.part, Created: s.Now().Unix(), Model: request.Model, Versions: e.Versions}
	one := choice{}
	if form.chat {
		one.Delta = &message{Role: "assistant", Content: e.Text}
	} else {
		one.Text = &e.Text
	}
	if e.Done {
		one.Finish = &e.Reason
		a.Usage = &usage{Completion: e.Tokens, Total: e.Tokens}
	}
	a.Choices = []choice{one}
	return a
}

// eventWriter writes server-sent events.
type eventWriter struct {
	response *echo.Response
	started  bool
}

func (w *eventWriter) write(value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return w.line(data)
}

func (w *eventWriter) end() error { return w.line([]byte("[DONE]")) }

func (w *eventWriter) line(data []byte) error {
	if !w.started {
		w.response.Header().Set(echo.HeaderContentType, "text/event-stream")
		w.response.Header().Set("Cache-Control", "no-store")
		w.response.WriteHeader(http.StatusOK)
		w.started = true
	}
	if _, err := fmt.Fprintf(w.response, "data: %s\n\n", data); err != nil {
		return err
	}
	w.response.Flush()
	return nil
}
