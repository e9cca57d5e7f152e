package api

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/hyssopwall/hyssopwall/internal/entry/callers"
	"github.com/hyssopwall/hyssopwall/internal/entry/gate"
	"github.com/hyssopwall/hyssopwall/internal/entry/intake"
)

// errorBody is the body of every error response.
type errorBody struct {
	Error errorFields `json:"error"`
}

// errorFields holds the fields of an error response.
type errorFields struct {
	Code      Code   `json:"code"`
	Type      string `json:"type"` // the same as Code, for OpenAI client libraries
	Message   string `json:"message"`
	Ran       Ran    `json:"ran"`
	RetrySafe bool   `json:"repeat"`
}

// newErrorBody returns the body of the response for an error.
func newErrorBody(e *Error) errorBody {
	return errorBody{Error: errorFields{Code: e.Code, Type: string(e.Code), Message: e.Message, Ran: e.Ran, RetrySafe: e.RetrySafe}}
}

// writeError is the error handler of echo. It answers with an errorBody, unless the response
// has already been sent.
func writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	e := toAPIError(err)
	setRetryAfter(c.Response().Header(), e)
	_ = c.JSON(e.Code.Status(), newErrorBody(e)) // fails only when the caller has disconnected
}

// WriteRefusal answers a request that package callers refuses before it has run. It is the
// callers.Server.WriteRefusal of a host.
func WriteRefusal(w http.ResponseWriter, refused *intake.RefusedError) {
	e := RefuseFor(Overloaded, "the host has no memory for the request: "+refused.Reason, refused.RetryAfter)
	body, err := json.Marshal(newErrorBody(e))
	if err != nil {
		body = nil // impossible for strings and booleans
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	setRetryAfter(w.Header(), e)
	w.WriteHeader(e.Code.Status())
	_, _ = w.Write(body) // fails only when the caller has disconnected
}

// setRetryAfter sets the Retry-After of an error, in full seconds.
func setRetryAfter(header http.Header, e *Error) {
	if e.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
}

// toAPIError returns the *Error for an error of a handler or of echo itself.
func toAPIError(err error) *Error {
	var httpError *echo.HTTPError
	if !errors.As(err, &httpError) {
		return AsError(err)
	}
	switch httpError.Code {
	case http.StatusNotFound, http.StatusMethodNotAllowed:
		return Refuse(NotFound, "no such path or method")
	case http.StatusRequestEntityTooLarge:
		return Refuse(TooLarge, "the body is too large")
	default:
		return Refuse(BadRequest, "malformed request")
	}
}

// heldBody is the key of the body in the context of a request.
const heldBody = "body"

// bodyHolder holds the memory of a request's body until the request ends.
type bodyHolder struct {
	callers *callers.Server
	release func() // nil before the body is read
}

// releaseBody is middleware for requests that read their body with readBody.
func (s *Server) releaseBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		held := &bodyHolder{callers: s.Callers}
		c.Set(heldBody, held)
		defer func() {
			if held.release != nil {
				held.release()
			}
		}()
		return next(c)
	}
}

// callerOf returns the sender of a request.
func callerOf(c echo.Context) intake.Caller {
	return callers.CallerOf(c.Request(), gate.KeyFromHeader(c.Request().Header))
}

// readBody reads a request body of at most MaxBody bytes, whose memory is held until the request
// ends.
func readBody(c echo.Context) ([]byte, error) {
	held, _ := c.Get(heldBody).(*bodyHolder)
	parts, release, err := held.callers.ReadBody(c.Response(), c.Request(), callerOf(c), MaxBody)
	held.release = release
	if err == nil {
		return slices.Concat(parts...), nil
	}
	if refused, ok := errors.AsType[*intake.RefusedError](err); ok {
		release() // before the rest of the body is discarded
		held.callers.Refuse(c.Response(), c.Request(), err)
		return nil, RefuseFor(Overloaded, refused.Reason, refused.RetryAfter) // the response is sent
	}
	c.Response().Header().Set("Connection", "close") // the rest of the body may still be under way
	if _, large := errors.AsType[*intake.TooLargeError](err); large {
		return nil, Refuse(TooLarge, "the body is larger than 2 MiB")
	}
	return nil, Refuse(BadRequest, "the body could not be read")
}

// checked is a request body that can check its fields.
type checked interface {
	Check() error
}

// decode decodes a JSON body and checks its fields. An empty body is decoded as an empty
// object. Unknown fields are allowed, because client libraries send fields that hyssopwall
// does not use.
func decode[Q checked](c echo.Context) (Q, error) {
	var q Q
	body, err := readBody(c)
	if err != nil {
		return q, err
	}
	if len(body) == 0 {
		body = []byte("{}")
	}
	if err := json.Unmarshal(body, &q); err != nil {
		return q, Refuse(BadRequest, describeJSONError(err))
	}
	if err := q.Check(); err != nil {
		return q, err
	}
	return q, nil
}

// describeJSONError describes a JSON error by its location, without quoting the body.
func describeJSONError(err error) string {
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) {
		return "field " + strconv.Quote(kind.Field) + " is not a " + kind.Type.String()
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return "malformed JSON at byte " + strconv.FormatInt(syntax.Offset, 10)
	}
	return "malformed JSON: " + strings.TrimPrefix(err.Error(), "json: ")
}

// handle returns an echo handler that checks the caller's key, decodes the body, calls run
// and answers with its result as JSON with the given status.
func handle[Q checked, A any](s *Server, status int, run func(echo.Context, Call, Q) (A, error)) echo.HandlerFunc {
	return func(c echo.Context) error {
		caller, err := s.authenticate(c)
		if err != nil {
			return err
		}
		q, err := decode[Q](c)
		if err != nil {
			return err
		}
		answer, err := run(c, Call{Caller: caller, Deadline: s.Now().Add(callTimeout)}, q)
		if err != nil {
			return err
		}
		return c.JSON(status, answer)
	}
}

// callTimeout is the time from the arrival of a request about a step to Call.Deadline, which
// package steps does not enforce.
const callTimeout = 30 * time.Second
