package api

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
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
	if e.RetryAfter > 0 {
		seconds := int(math.Ceil(e.RetryAfter.Seconds()))
		c.Response().Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	_ = c.JSON(e.Code.Status(), newErrorBody(e)) // fails only when the caller has disconnected
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

// readBody reads a request body of at most maxBody bytes.
func readBody(c echo.Context) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBody))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, Refuse(TooLarge, "the body is larger than 2 MiB")
	}
	if err != nil {
		return nil, Refuse(BadRequest, "the body could not be read")
	}
	return body, nil
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
