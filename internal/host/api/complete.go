package api

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"
	"golang.org/x/sync/errgroup"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/entry/gate"
	"github.com/hyssopwall/hyssopwall/internal/rollout/sample"
	"github.com/hyssopwall/hyssopwall/internal/site/document"
)

// answerFormat is the format of an answer: a completion or a chat completion. object and
// chunkObject are the names of the object types of a complete answer and of one element of
// a stream.
type answerFormat struct {
	object, chunkObject string
	chat                bool
}

var (
	completionFormat = answerFormat{object: "text_completion", chunkObject: "text_completion"}
	chatFormat       = answerFormat{object: "chat.completion", chunkObject: "chat.completion.chunk", chat: true}
)

// complete handles requests for completions.
func (s *Server) complete(c echo.Context) error {
	request, err := s.authenticatedBody(c, decode[completionRequest])
	if err != nil {
		return err
	}
	return s.generate(c, request, completionFormat)
}

// chat handles requests for chat completions.
func (s *Server) chat(c echo.Context) error {
	request, err := s.authenticatedBody(c, func(c echo.Context) (completionRequest, error) {
		chat, err := decode[chatRequest](c)
		return chat.completion(), err
	})
	if err != nil {
		return err
	}
	return s.generate(c, request, chatFormat)
}

// authenticatedBody checks the key of a request, if it has one, before reading the body, so
// that no body is parsed for an invalid key. A request without a key may be for an open
// route.
func (s *Server) authenticatedBody(c echo.Context, read func(echo.Context) (completionRequest, error)) (completionRequest, error) {
	if gate.KeyFromHeader(c.Request().Header) != "" {
		if _, err := s.authenticate(c); err != nil {
			return completionRequest{}, err
		}
	}
	return read(c)
}

// generate admits a request and answers it, with a stream if requested.
func (s *Server) generate(c echo.Context, request completionRequest, format answerFormat) error {
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
		return s.stream(ctx, c, call, request, format)
	}
	return s.respond(ctx, c, call, request, format)
}

// engineRequest returns the engine's form of a request.
func engineRequest(call Call, request completionRequest, seed int64) engine.Request {
	tokens := request.MaxTokens
	if tokens == 0 {
		tokens = defaultMaxTokens
	}
	return engine.Request{
		ID: call.ID, Model: request.Model, Prompt: request.Prompt,
		MaxTokens: tokens, Seed: seed, Priority: call.Priority,
	}
}

// generated collects the events of one generation.
type generated struct {
	text     strings.Builder
	tokens   int
	reason   string
	versions []uint64
}

// add adds an event.
func (g *generated) add(e engine.Event) {
	g.text.WriteString(e.Text)
	g.versions = sample.Union(g.versions, e.Versions)
	if e.Done {
		g.tokens, g.reason = e.Tokens, e.Reason
	}
}

// sink returns a Sink that collects events and can discard them.
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

// respond runs the requested number of generations in parallel and answers with all of
// them at once.
func (s *Server) respond(ctx context.Context, c echo.Context, call Call, request completionRequest, format answerFormat) error {
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
	return c.JSON(http.StatusOK, s.completeAnswer(call, request, format, results))
}

// completeAnswer returns the answer with the results of all generations.
func (s *Server) completeAnswer(call Call, request completionRequest, format answerFormat, results []generated) answer {
	a := answer{ID: call.ID, Object: format.object, Created: s.Now().Unix(), Model: request.Model, Usage: &usage{}}
	for i := range results {
		result := &results[i]
		text := result.text.String()
		one := choice{Index: i, Finish: &result.reason}
		if format.chat {
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

// stream answers with server-sent events. The headers are sent with the first event, so
// that a failure before it still has its own status. A later failure is sent as an event of
// the type error, and the response is then cut off, so that it doesn't look complete.
func (s *Server) stream(ctx context.Context, c echo.Context, call Call, request completionRequest, format answerFormat) error {
	w := eventWriter{response: c.Response()}
	sink := Sink{Event: func(e engine.Event) error { return w.write(s.chunkAnswer(call, request, format, e)) }}
	err := s.Dispatcher.Generate(ctx, call, engineRequest(call, request, request.Seed), sink)
	if err == nil {
		return w.end()
	}
	if !w.started {
		return err
	}
	_ = w.writeError(newErrorBody(AsError(err))) // fails only if the caller is gone
	panic(http.ErrAbortHandler)                  // net/http closes the connection without the end of the response
}

// chunkAnswer returns the element of a stream for one event.
func (s *Server) chunkAnswer(call Call, request completionRequest, format answerFormat, e engine.Event) answer {
	a := answer{ID: call.ID, Object: format.chunkObject, Created: s.Now().Unix(), Model: request.Model, Versions: e.Versions}
	one := choice{}
	if format.chat {
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

// eventWriter writes server-sent events and sends the headers before the first.
type eventWriter struct {
	response *echo.Response
	started  bool
}

// write writes an event with a value as JSON.
func (w *eventWriter) write(value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return w.writeData(data)
}

// writeError writes an event of the type error.
func (w *eventWriter) writeError(body errorBody) error {
	if _, err := io.WriteString(w.response, "event: error\n"); err != nil {
		return err
	}
	return w.write(body)
}

// end writes the event that ends a stream.
func (w *eventWriter) end() error { return w.writeData([]byte("[DONE]")) }

// writeData writes an event with the given data and flushes it.
func (w *eventWriter) writeData(data []byte) error {
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
