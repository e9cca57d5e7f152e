// Package api serves the HTTP API for callers: OpenAI-style generation, steps, plain
// services, health and counters. docs/API.md describes it.
package api

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/backend/service"
	"github.com/hyssopwall/hyssopwall/internal/entry/callers"
	"github.com/hyssopwall/hyssopwall/internal/entry/gate"
	"github.com/hyssopwall/hyssopwall/internal/site/document"
)

// MaxBody is the maximum size of a request body in bytes.
const MaxBody = 2 << 20

// Call is an admitted request that has not been sent to a backend server yet. Key is the
// caller's secret API key, used only to keep it out of the requests to backend servers.
// IdempotencyKey is empty for none.
type Call struct {
	ID             string
	Caller         gate.Caller
	Key            string
	Pool           document.Pool
	Route          document.Route
	IdempotencyKey string
	Deadline       time.Time
	Priority       int  // calls with a higher one run first
	Internal       bool // part of another request, which is metered and observed instead
}

// Dispatcher runs admitted requests. Errors are *Error, except those of Sink.Event, which
// may be returned unchanged.
type Dispatcher interface {
	// Generate runs a generation and passes its events to the sink in order.
	// It returns nil only after the complete answer.
	Generate(ctx context.Context, call Call, request engine.Request, sink Sink) error
	// Invoke calls a plain service and returns its answer.
	Invoke(ctx context.Context, call Call, request service.Request) (service.Response, error)
}

// Sink receives the events of a generation. An error of Event ends the generation. Restart
// discards all events so far, because they can't be trusted, and reports whether it could.
// It is nil if events can't be discarded.
type Sink struct {
	Event   func(engine.Event) error
	Restart func() bool
}

// Server serves the HTTP API. Index returns the document in force, nil before the first.
// CutOff returns the time since which the host has received no updates, zero while it is
// not cut off. Ready returns an error, sent to the caller, while the host is not ready.
type Server struct {
	Callers    *callers.Server // bounds the memory of bodies and answers
	Gate       *gate.Gate
	Index      func() *document.Index
	CutOff     func() time.Time
	Now        func() time.Time
	Dispatcher Dispatcher
	Steps      Steps
	Ready      func() error
	Vars       *expvar.Map
	Status     func() any             // the host's status for operators, encoded as JSON
	Burn       func() ([]byte, error) // the host's encoded burn snapshot
}

// Handler returns the HTTP handler of the API.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = writeError
	e.Use(s.releaseBody)
	e.POST("/v1/completions", s.complete)
	e.POST("/v1/chat/completions", s.chat)
	e.GET("/v1/models", s.models)
	e.POST("/v1/steps", handle(s, http.StatusCreated, s.openStep))
	e.POST("/v1/steps/:id/pull", handle(s, http.StatusOK, s.pullStep))
	e.GET("/v1/steps/:id", handle(s, http.StatusOK, s.stepState))
	e.DELETE("/v1/steps/:id", handle(s, http.StatusOK, s.cancelStep))
	e.Any("/v1/services/:name", s.invoke)
	e.Any("/v1/services/:name/*", s.invoke)
	e.GET("/healthz", func(c echo.Context) error { return c.JSON(http.StatusOK, health{Status: "ok"}) })
	e.GET("/readyz", s.ready)
	e.GET("/debug/vars", s.vars)
	e.GET("/debug/status", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Status()) })
	e.GET("/debug/burn", s.burn)
	return e
}

// health is the answer of the health and readiness checks.
type health struct {
	Status string `json:"status"`
}

// ready answers the readiness check.
func (s *Server) ready(c echo.Context) error {
	if err := s.Ready(); err != nil {
		return RefuseFor(NotReady, err.Error(), time.Second)
	}
	return c.JSON(http.StatusOK, health{Status: "ready"})
}

// vars answers with the counters of the host.
func (s *Server) vars(c echo.Context) error {
	return c.JSONBlob(http.StatusOK, []byte(s.Vars.String()))
}

// burn answers with the burn snapshot of the host.
func (s *Server) burn(c echo.Context) error {
	body, err := s.Burn()
	if err != nil {
		return err
	}
	return c.Blob(http.StatusOK, "application/cbor", body)
}
