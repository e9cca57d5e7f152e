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

// errorBody is the one shape of errors towards callers.
type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Code      Code   `json:"code"`
	Type      string `json:"type"` // the same as Code, for OpenAI client libraries
	Message   string `json:"message"`
	Ran       Ran    `json:"ran"`
	RetrySafe bool   `json:"repeat"`
}

func bodyOf(e *Error) errorBody {
	return errorBody{Error: errorFields{Code: e.Code, Type: string(e.Code), Message: e.Message, Ran: e.Ran, RetrySafe: e.RetrySafe}}
}

// writeError is echo's error handler: it answers with the one error shape.
func writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	e := fromEcho(err)
	if e.RetryAfter > 0 {
		seconds := int(math.Ceil(e.RetryAfter.Seconds()))
		c.Response().Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	_ = c.JSON(e.Code.Status(), bodyOf(e)) // the caller is gone when this fails
}

func fromEcho(err error) *Error {
	var http4 *echo.HTTPError
	if !errors.As(err, &http4) {
		return AsError(err)
	}
	switch http4.Code {
	case http.StatusNotFound, http.StatusMethodNotAllowed:
		return Refuse(NotFound, "no such path or method")
	case http.StatusRequestEntityTooLarge:
		return Refuse(TooLarge, "the body is too large")
	default:
		return Refuse(BadRequest, "malformed request")
	}
}

// readBody reads a bounded request body.
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

// checked is a request body that checks its own fields.
type checked interface {
	Check() error
}

// decode reads a JSON body into a Q and checks it. Unknown fields are allowed,
// since client libraries send fields that hyssopwall does not use.
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
		return q, Refuse(BadRequest, describe(err))
	}
	if err := q.Check(); err != nil {
		return q, err
	}
	return q, nil
}

// describe names the place of a JSON error without repeating the body.
func describe(err error) string {
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

// handle makes an echo handler of a typed command or query of a caller.
func handle[Q checked, A any](s *Server, status int, run func(echo.Context, Call, Q) (A, error)) echo.HandlerFunc {
	return func(c echo.Context) error {
		caller, err := s.caller(c)
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

// callTimeout bounds a request about a step.
const callTimeout = 30 * time.Second
