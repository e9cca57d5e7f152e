package rest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// MaxRetryAfter bounds the wait that a system may ask for.
const MaxRetryAfter = 10 * time.Minute

// Problem is the body of a refusal. After is in milliseconds.
type Problem struct {
	Code             string `json:"code"`
	Message          string `json:"message,omitempty"`
	Have             uint64 `json:"have,omitempty"`
	RetryAfterMillis int64  `json:"after,omitempty"`
}

// StatusError is a whole answer whose status is not 2xx. Ran is false when the
// system said that it did no work.
type StatusError struct {
	Status     int
	MayHaveRun bool
	RetryAfter time.Duration
	Problem    Problem
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d %s", e.Status, e.Problem.Code)
}

// NewStatusError reads a refusal from an answer. A body that is no Problem is
// left out.
func NewStatusError(answer *http.Response, body []byte) *StatusError {
	refusal := &StatusError{Status: answer.StatusCode, MayHaveRun: answer.Header.Get(HeaderRan) != "no"}
	var problem Problem
	if json.Unmarshal(body, &problem) == nil {
		refusal.Problem = problem
	}
	refusal.RetryAfter = after(answer.Header.Get("Retry-After"), refusal.Problem.RetryAfterMillis)
	return refusal
}

// after prefers the finer milliseconds of the body to the header's seconds.
func after(header string, milliseconds int64) time.Duration {
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
