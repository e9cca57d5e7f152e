package api

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/entry/callers"
	"github.com/hyssopwall/hyssopwall/internal/entry/intake"
)

// Pattern: a host has no memory for a request. Guards against a refusal without the shape of all
// errors, and without the promise that the request has not run.
func TestRefusalHasTheShapeOfAnError(t *testing.T) {
	var reasons []string
	server := callers.Server{WriteRefusal: WriteRefusal, OnRefusal: func(reason string) { reasons = append(reasons, reason) }}
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "/v1/steps", strings.NewReader("rest"))
	server.Refuse(recorder, request, &intake.RefusedError{Reason: intake.ReasonWait, RetryAfter: 1500 * time.Millisecond})
	var body errorBody
	if err := json.Unmarshal(recorder.Body.Bytes(), &body); err != nil {
		t.Fatal(err)
	}
	if e := body.Error; recorder.Code != http.StatusServiceUnavailable || e.Code != Overloaded || e.Ran != RanNo || !e.RetrySafe {
		t.Errorf("status %d, error %+v", recorder.Code, e)
	}
	if header := recorder.Header(); header.Get("Retry-After") != "2" || header.Get("Connection") != "close" {
		t.Errorf("header %v", header)
	}
	if len(reasons) != 1 || reasons[0] != intake.ReasonWait {
		t.Errorf("reasons %q", reasons)
	}
}
