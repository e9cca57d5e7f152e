package api

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/backend/service"
)

// scripted is a Dispatcher whose generations send events and then return an error.
type scripted struct {
	events []engine.Event
	err    error
}

func (s scripted) Generate(_ context.Context, _ Call, _ engine.Request, sink Sink) error {
	for _, event := range s.events {
		if err := sink.Event(event); err != nil {
			return err
		}
	}
	return s.err
}

func (scripted) Invoke(context.Context, Call, service.Request) (service.Response, error) {
	return service.Response{}, errors.ErrUnsupported
}

// readStream streams a generation and returns the status, the body and the error of its end.
func readStream(t *testing.T, dispatcher Dispatcher) (status int, body string, end error) {
	t.Helper()
	s := &Server{Dispatcher: dispatcher, Now: time.Now}
	e := echo.New()
	e.HTTPErrorHandler = writeError
	e.POST("/", func(c echo.Context) error {
		return s.stream(c.Request().Context(), c, Call{ID: "x"}, completionRequest{Model: "m", Stream: true}, completionFormat)
	})
	server := httptest.NewServer(e)
	defer server.Close()
	response, err := http.Post(server.URL+"/", "application/json", strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	raw, end := io.ReadAll(response.Body)
	return response.StatusCode, string(raw), end
}

// An engine breaks off in mid-stream, and the next one answers with an error. Guards against a
// stream that ends like a complete one, and against an error that looks like a part of the text.
func TestStreamThatFails(t *testing.T) {
	started := []engine.Event{{Text: "first"}}
	for _, test := range []struct {
		name       string
		dispatcher scripted
		status     int
		complete   bool // whether the response ends as one that is complete
		contains   []string
		lacks      string
	}{
		{"complete", scripted{events: append(started, engine.Event{Done: true, Reason: "stop"})}, http.StatusOK, true, []string{`"first"`, "data: [DONE]\n\n"}, "error"},
		{
			"fails in the middle",
			scripted{started, &Error{Code: BackendFailed, Message: "boom", Ran: RanYes}},
			http.StatusOK, false,
			[]string{`"first"`, "event: error\ndata: {\"error\":"},
			"[DONE]",
		},
		{"fails before its start", scripted{err: &Error{Code: NoBackend, Message: "none", Ran: RanNo}}, NoBackend.Status(), true, []string{`"code":"no_backend"`}, "event:"},
	} {
		status, body, end := readStream(t, test.dispatcher)
		if status != test.status || (end == nil) != test.complete || strings.Contains(body, test.lacks) {
			t.Errorf("%s: got status %d, end %v, body %q", test.name, status, end, body)
		}
		for _, part := range test.contains {
			if !strings.Contains(body, part) {
				t.Errorf("%s: body %q lacks %q", test.name, body, part)
			}
		}
	}
}
