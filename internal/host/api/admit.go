package api

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/hyssopwall/hyssopwall/internal/entry/gate"
	"github.com/hyssopwall/hyssopwall/internal/site/document"
)

// The headers of requests, and the header of the request ID in answers.
const (
	idempotencyKeyHeader = "Idempotency-Key"
	timeoutHeader        = "X-Request-Timeout" // a duration such as 5s
	priorityHeader       = "X-Request-Priority"
	requestIDHeader      = "X-Request-Id"
)

// maxKeyLength is the maximum length of an idempotency key, or of a trainer's name, in
// bytes.
const maxKeyLength = 255

// findRoute returns the pool with the given name and kind, and its route for a path. The
// error is an *Error with code NotReady before the first document, and NotFound if there is
// no such pool.
func (s *Server) findRoute(name string, kind document.Kind, path string) (document.Pool, document.Route, error) {
	index := s.Index()
	if index == nil {
		return document.Pool{}, document.Route{}, RefuseFor(NotReady, "no configuration yet", time.Second)
	}
	pool, ok := index.Pool(name, kind)
	if !ok {
		return document.Pool{}, document.Route{}, Refuse(NotFound, "no "+string(kind)+" "+strconv.Quote(name))
	}
	return pool, index.Route(pool, path), nil
}

// admit checks the caller's key and returns the call. An unknown pool is reported only
// after the key has been checked, so that a caller without a key can't find out which
// names exist.
func (s *Server) admit(c echo.Context, name string, kind document.Kind, path string) (Call, error) {
	key := gate.KeyFromHeader(c.Request().Header)
	pool, route, missing := s.findRoute(name, kind, path)
	caller, err := s.Gate.CheckRoute(route.Name, key)
	if err != nil {
		return Call{}, keyError(err)
	}
	if missing != nil {
		return Call{}, missing
	}
	if err := s.Gate.CheckGrace(caller, s.CutOff(), s.Now()); err != nil {
		return Call{}, keyError(err)
	}
	if route.Private != "" && route.Private != caller.Workspace {
		return Call{}, Refuse(NotAllowed, "the route is private to another workspace")
	}
	call := Call{ID: uuid.NewString(), Caller: caller, Key: key, Pool: pool, Route: route}
	if err := s.parseHeaders(c, &call); err != nil {
		return Call{}, err
	}
	c.Response().Header().Set(requestIDHeader, call.ID)
	return call, nil
}

// parseHeaders sets the idempotency key, deadline and priority of a call from the headers
// of its request. A caller can shorten the timeout of the route but not extend it.
func (s *Server) parseHeaders(c echo.Context, call *Call) error {
	header := c.Request().Header
	call.IdempotencyKey = header.Get(idempotencyKeyHeader)
	if len(call.IdempotencyKey) > maxKeyLength {
		return Refuse(BadRequest, "Idempotency-Key is longer than 255 bytes")
	}
	timeout := time.Duration(call.Route.Timeout)
	if text := header.Get(timeoutHeader); text != "" {
		requested, err := time.ParseDuration(text)
		if err != nil || requested <= 0 {
			return Refuse(BadRequest, "X-Request-Timeout is not a duration such as 5s")
		}
		timeout = min(timeout, requested)
	}
	call.Deadline = s.Now().Add(timeout)
	if text := header.Get(priorityHeader); text != "" {
		priority, err := strconv.Atoi(text)
		if err != nil {
			return Refuse(BadRequest, "X-Request-Priority is not a whole number")
		}
		call.Priority = priority
	}
	return nil
}

// authenticate checks the key of a request that names no pool and returns its caller.
func (s *Server) authenticate(c echo.Context) (gate.Caller, error) {
	caller, err := s.Gate.Check(gate.KeyFromHeader(c.Request().Header))
	if err != nil {
		return gate.Caller{}, keyError(err)
	}
	if err := s.Gate.CheckGrace(caller, s.CutOff(), s.Now()); err != nil {
		return gate.Caller{}, keyError(err)
	}
	return caller, nil
}

// keyError returns the caller's error for a key that the gate refuses.
func keyError(err error) error {
	var refused *gate.RefusedError
	if !errors.As(err, &refused) {
		return err
	}
	switch refused.Reason {
	case gate.ReasonMissing:
		return Refuse(KeyMissing, "the request came without a key")
	case gate.ReasonCutOff:
		return RefuseFor(NotReady, "this zone has been without news for longer than the workspace allows", time.Minute)
	case gate.ReasonNotReady:
		return RefuseFor(NotReady, "no configuration yet", time.Second)
	default:
		return Refuse(KeyUnknown, "the key is not known")
	}
}

// models lists the engine pools as OpenAI models.
func (s *Server) models(c echo.Context) error {
	if _, err := s.authenticate(c); err != nil {
		return err
	}
	list := modelList{Object: "list", Data: []model{}}
	for _, pool := range s.Index().Document.Pools {
		if pool.Kind == document.Engine {
			list.Data = append(list.Data, model{ID: pool.Name, Object: "model", OwnedBy: "hyssopwall"})
		}
	}
	return c.JSON(http.StatusOK, list)
}
