package steps

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/service"
	"github.com/hyssopwall/hyssopwall/internal/entry/gate"
	"github.com/hyssopwall/hyssopwall/internal/host/api"
	"github.com/hyssopwall/hyssopwall/internal/rollout/sample"
	"github.com/hyssopwall/hyssopwall/internal/rollout/step"
	"github.com/hyssopwall/hyssopwall/internal/site/document"
)

// reasonScore is the Reason of the *service.BrokenError for a failed scoring call or an
// unreadable score.
const reasonScore = "score"

// scorePath is the URL path of scoring calls.
const scorePath = "/score"

// Invoker calls plain services on behalf of a workspace.
type Invoker interface {
	Invoke(ctx context.Context, call api.Call, request service.Request) (service.Response, error)
}

// Scorer scores the samples of a workspace by calls to a plain service. Index returns the
// document in force, nil before the first.
type Scorer struct {
	Workspace string
	Service   string
	Index     func() *document.Index
	Invoker   Invoker
	Now       func() time.Time
}

// scoreRequest is the request body of a scoring call.
type scoreRequest struct {
	Group int    `json:"group"`
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// scoreAnswer is the response body of a scoring call.
type scoreAnswer struct {
	Score float64 `json:"score"`
}

// route returns the pool and the route of the scoring service. It returns false if there is
// no document yet or the document lists no such service.
func (s *Scorer) route() (document.Pool, document.Route, bool) {
	index := s.Index()
	if index == nil {
		return document.Pool{}, document.Route{}, false
	}
	pool, ok := index.Pool(s.Service, document.Service)
	return pool, index.Route(pool, scorePath), ok
}

// Retryable reports whether the route of the scoring service is idempotent.
func (s *Scorer) Retryable() bool {
	_, route, ok := s.route()
	return ok && route.Idempotent
}

// Score returns the score of a sample from the scoring service. The idempotency key of the
// call is the attempt, and the one that the service receives names the step, the sample and
// the attempt, so that the service does not score the sample again when another owner of
// the step repeats the call.
func (s *Scorer) Score(ctx context.Context, id step.ID, one sample.Sample) (float64, error) {
	pool, route, ok := s.route()
	if !ok {
		return 0, &service.RefusedError{Status: http.StatusServiceUnavailable, RetryAfter: time.Second}
	}
	body, err := json.Marshal(scoreRequest{Group: one.Group, Index: one.Index, Text: one.Text})
	if err != nil {
		return 0, err
	}
	call := api.Call{
		ID: "score." + one.Attempt, Caller: gate.Caller{Workspace: s.Workspace}, Pool: pool, Route: route,
		IdempotencyKey: one.Attempt, Deadline: s.Now().Add(time.Duration(route.Timeout)), Internal: true,
	}
	answer, err := s.Invoker.Invoke(ctx, call, service.Request{
		ID: call.ID, Method: http.MethodPost, Path: scorePath, Body: body,
		Header: map[string][]string{
			"Content-Type":    {"application/json"},
			"Idempotency-Key": {id.Key() + "/" + strconv.Itoa(one.Group) + "." + strconv.Itoa(one.Index) + "/" + one.Attempt},
		},
	})
	if err != nil {
		return 0, scoreError(err)
	}
	return decodeScore(answer)
}

// scoreError returns a *service.RefusedError for a call that certainly did not run, and a
// *service.BrokenError otherwise.
func scoreError(err error) error {
	var failure *api.Error
	if errors.As(err, &failure) && failure.Ran == api.RanNo {
		return &service.RefusedError{Status: http.StatusServiceUnavailable, RetryAfter: max(failure.RetryAfter, time.Second)}
	}
	return &service.BrokenError{Reason: reasonScore, Sent: true, Err: err}
}

// decodeScore returns the score in a response of the scoring service.
func decodeScore(response service.Response) (float64, error) {
	var out scoreAnswer
	if response.Status != http.StatusOK {
		return 0, &service.BrokenError{ID: response.ID, Reason: reasonScore, Sent: true}
	}
	if err := json.Unmarshal(response.Body, &out); err != nil {
		return 0, &service.BrokenError{ID: response.ID, Reason: reasonScore, Sent: true, Err: err}
	}
	return out.Score, nil
}
