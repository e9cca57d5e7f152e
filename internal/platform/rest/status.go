package rest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// MaxRetryAfter limits the wait that a server may ask for.
const MaxRetryAfter = 10 * time.Minute

// Problem is the JSON body of a response that reports an error.
type Problem struct {
	Code             string `json:"code"`
	Message          string `json:"message,omitempty"`
	Have             uint64 `json:"have,omitempty"` // the value that the server has: a version, epoch or size
	RetryAfterMillis int64  `json:"after,omitempty"`
}

// StatusError is a complete response whose status is not 2xx. MayHaveRun is false if the
// server stated, by HeaderRan, that it refused the call before any work. RetryAfter is
// the wait that the server asks for, zero if none.
type StatusError struct {
	Status     int
	MayHaveRun bool
	RetryAfter time.Duration
	Problem    Problem
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d %s", e.Status, e.Problem.Code)
}

// NewStatusError returns the error for a response and its body. A body that is not a JSON
// Problem is ignored.
func NewStatusError(response *http.Response, body []byte) *StatusError {
	result := &StatusError{Status: response.StatusCode, MayHaveRun: response.Header.Get(HeaderRan) != "no"}
	var problem Problem
	if json.Unmarshal(body, &problem) == nil {
		result.Problem = problem
	}
	result.RetryAfter = retryAfter(response.Header.Get("Retry-After"), result.Problem.RetryAfterMillis)
	return result
}

// retryAfter returns the wait that a response asks for, at most MaxRetryAfter. The
// milliseconds of the body are preferred to the Retry-After header, as they are more
// precise. A header that holds a date is ignored.
func retryAfter(header string, milliseconds int64) time.Duration {
	limit := int64(MaxRetryAfter / time.Millisecond)
	if milliseconds > 0 {
		return time.Duration(min(milliseconds, limit)) * time.Millisecond
	}
	seconds, err := strconv.ParseInt(header, 10, 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(min(seconds, limit/1000)) * time.Second
}
