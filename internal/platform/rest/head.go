package rest

import (
	"fmt"
	"net/http"
)

// MalformedError says that a response is none in HTTP/1. Nothing of it is used.
type MalformedError struct {
	Reason string
}

func (e *MalformedError) Error() string { return "malformed answer: " + e.Reason }

// Range of the status of a final response (RFC 9110, section 15).
const (
	minFinalStatus = 200
	maxStatus      = 599
)

// checkResponse returns a *MalformedError for a response that net/http accepts although its
// status is not that of a final response.
func checkResponse(response *http.Response) error {
	if status := response.StatusCode; status < minFinalStatus || status > maxStatus {
		return &MalformedError{Reason: fmt.Sprintf("status %03d", status)}
	}
	return nil
}
