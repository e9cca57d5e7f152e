// Package api is the interface for callers: OpenAI-style generation, steps,
// plain services, health and counters. docs/API.md describes it.
package api

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/backend/service"
	"github.com/hyssopwall/hyssopwall/internal/entry/gate"
	"github.com/hyssopwall/hyssopwall/internal/site/document"
)

// maxBody is the largest request body in bytes.
const maxBody = 2 << 20

// Call is an admitted request, before it is sent anywhere. Identity is the
// caller's idempotency key, empty for none. Key is the caller's secret, used
// only to keep it from backend servers.
type Call struct {
	ID             string
	Caller         gate.Caller
	Key            string
	Pool           document.Pool
	Route          document.Route
	IdempotencyKey string
	Deadline       time.Time
	Priority       int
	Internal       bool // part of another request, which is counted and judged instead
}

// Dispatcher runs admitted requests. Errors are *Error.
type Dispatcher interface {
	// Generate runs a generation and hands its events to the sink in order.
	// It returns nil only after the whole answer.
	Generate(ctx context.Context, call Call, request engine.Request, sink Sink) error
	// Invoke calls a plain service.
	Invoke(ctx context.Context, call Call, request service.Request) (service.Answer, error)
}

// Sink takes the events of a generation. An error of Event ends it. Restart
// takes back everything so far, because it could not be trusted; it is nil, or
// returns false, when what was passed on can't be taken back.
type Sink struct {
	Event   func(engine.Event) error
	Restart func() bool
}

// Server serves callers. Index returns the document in force, nil before the
// first. CutOff returns since when the host has had no news, zero for never.
type Server struct {
	Gate       *gate.Gate
	Index      func() *document.Index
	CutOff     func() time.Time
	Now        func() time.Time
	Dispatcher Dispatcher
	Steps      Steps
	Ready      func() error
	Vars       *expvar.Map
	Status     func() any             // what operators see of the host
	Burn       func() ([]byte, error) // its burn snapshot, encoded
}

// Handler returns the HTTP handler of the whole interface.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = writeError
	e.POST("/v1/completions", s.complete)
	e.POST("/v1/chat/completions", s.chat)
	e.GET("/v1/models", s.models)
	e.POST("/v1/steps", handle(s, http.StatusCreated, s.openStep))
	e.POST("/v1/steps/:id/pull", handle(s, http.StatusOK, s.pullStep))
	e.GET("/v1/steps/:id", handle(s, http.StatusOK, s.lookStep))
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

type health struct {
	Status string `json:"status"`
}

func (s *Server) ready(c echo.Context) error {
	if err := s.Ready(); err != nil {
		return RefuseFor(NotReady, err.Error(), time.Second)
	}
	return c.JSON(http.StatusOK, health{Status: "ready"})
}

func (s *Server) vars(c echo.Context) error {
	return c.JSONBlob(http.StatusOK, []byte(s.Vars.String()))
}

func (s *Server) burn(c echo.Context) error {
	body, err := s.Burn()
	if err != nil {
		return err
	}
	return c.Blob(http.StatusOK, "application/cbor", body)
}
