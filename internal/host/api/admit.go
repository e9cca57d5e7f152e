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

// The headers by which callers say more about a request.
const (
	identityHeader = "Idempotency-Key"
	timeoutHeader  = "X-Request-Timeout" // a duration such as 5s
	priorityHeader = "X-Request-Priority"
	requestHeader  = "X-Request-Id"
)

// maxIdentity is the longest idempotency key in bytes.
const maxIdentity = 255

// resolve finds the pool and the route of a request.
func (s *Server) resolve(name string, kind document.Kind, path string) (document.Pool, document.Route, error) {
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

// admit checks the key and returns the call. The key is checked before the
// name of the pool is, so that a caller without a key learns no names.
func (s *Server) admit(c echo.Context, name string, kind document.Kind, path string) (Call, error) {
	key := gate.KeyFromHeader(c.Request().Header)
	pool, route, missing := s.resolve(name, kind, path)
	caller, err := s.Gate.CheckRoute(route.Name, key)
	if err != nil {
		return Call{}, refusedKey(err)
	}
	if missing != nil {
		return Call{}, missing
	}
	if err := s.Gate.CheckGrace(caller, s.CutOff(), s.Now()); err != nil {
		return Call{}, refusedKey(err)
	}
	if route.Private != "" && route.Private != caller.Workspace {
		return Call{}, Refuse(NotAllowed, "the route is private to another workspace")
	}
	call := Call{ID: uuid.NewString(), Caller: caller, Key: key, Pool: pool, Route: route}
	if err := s.addHeaders(c, &call); err != nil {
		return Call{}, err
	}
	c.Response().Header().Set(requestHeader, call.ID)
	return call, nil
}

func (s *Server) addHeaders(c echo.Context, call *Call) error {
	header := c.Request().Header
	call.IdempotencyKey = header.Get(identityHeader)
	if len(call.IdempotencyKey) > maxIdentity {
		return Refuse(BadRequest, "Idempotency-Key is longer than 255 bytes")
	}
	timeout := time.Duration(call.Route.Timeout)
	if text := header.Get(timeoutHeader); text != "" {
		asked, err := time.ParseDuration(text)
		if err != nil || asked <= 0 {
			return Refuse(BadRequest, "X-Request-Timeout is not a duration such as 5s")
		}
		timeout = min(timeout, asked)
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

// caller checks the key of a request that names no pool.
func (s *Server) caller(c echo.Context) (gate.Caller, error) {
	caller, err := s.Gate.Check(gate.KeyFromHeader(c.Request().Header))
	if err != nil {
		return gate.Caller{}, refusedKey(err)
	}
	if err := s.Gate.CheckGrace(caller, s.CutOff(), s.Now()); err != nil {
		return gate.Caller{}, refusedKey(err)
	}
	return caller, nil
}

func refusedKey(err error) error {
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

func (s *Server) models(c echo.Context) error {
	if _, err := s.caller(c); err != nil {
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
