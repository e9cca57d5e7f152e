package api

import (
	"context"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/hyssopwall/hyssopwall/internal/site/document"
	"github.com/hyssopwall/hyssopwall/internal/site/form"
)

// StepRequest is a request to open a step: the samples that a trainer needs for one weights
// update. Number is the trainer's number of the step. Bound is the largest age of a sample
// in weights versions; without it, the bound of the model's pool applies. MaxTokens limits
// each sample. ScoringService names the plain service that scores the samples, empty for
// none. Deadline is accepted but not used.
type StepRequest struct {
	Trainer        string        `json:"trainer"`
	Number         uint64        `json:"number"`
	Model          string        `json:"model"`
	Bound          *uint64       `json:"bound,omitempty"`
	Deadline       form.Duration `json:"deadline,omitempty"`
	MaxTokens      int           `json:"max_tokens"`
	Groups         []StepGroup   `json:"groups"`
	ScoringService string        `json:"score,omitempty"`
}

// StepGroup is a prompt and the number of samples to generate from it. Seed is accepted but
// not used.
type StepGroup struct {
	Prompt  string `json:"prompt"`
	Samples int    `json:"samples"`
	Seed    int64  `json:"seed"`
}

// MaxSamples is the maximum number of samples of a step.
const MaxSamples = 16384

// Check returns an *Error with code BadRequest for the first wrong field.
func (r StepRequest) Check() error {
	switch {
	case r.Trainer == "" || len(r.Trainer) > maxKeyLength:
		return Refuse(BadRequest, `field "trainer" is missing or too long`)
	case r.Model == "":
		return Refuse(BadRequest, `field "model" is missing`)
	case r.MaxTokens < 1 || r.MaxTokens > maxTokens:
		return Refuse(BadRequest, `field "max_tokens" is out of range`)
	case len(r.Groups) == 0:
		return Refuse(BadRequest, `field "groups" is empty`)
	}
	return r.checkGroups()
}

// checkGroups checks the number of samples of each group and of all groups.
func (r StepRequest) checkGroups() error {
	total := 0
	for _, group := range r.Groups {
		if group.Samples < 1 || group.Samples > MaxSamples {
			return Refuse(BadRequest, `field "groups.samples" is out of range`)
		}
		total += group.Samples
	}
	if total > MaxSamples {
		return Refuse(BadRequest, "the step has too many samples")
	}
	return nil
}

// StepOpened is the answer to a StepRequest.
type StepOpened struct {
	ID string `json:"id"`
}

// PullRequest is a request for samples of a step. Cursor acknowledges every sample up to
// it. Newest is the newest weights version that the trainer knows; samples older than the
// bound relative to it are not delivered. Max is the maximum number of samples, zero for
// the default, and Wait the time to wait for the first.
type PullRequest struct {
	Cursor uint64        `json:"cursor"`
	Newest uint64        `json:"newest,omitempty"`
	Max    int           `json:"max"`
	Wait   form.Duration `json:"wait"`
}

// defaultPullMax is the maximum number of samples of a pull that sets none.
const defaultPullMax = 256

// Check returns an *Error with code BadRequest if Max is out of range.
func (r PullRequest) Check() error {
	if r.Max < 0 || r.Max > MaxSamples {
		return Refuse(BadRequest, `field "max" is out of range`)
	}
	return nil
}

// PullResponse is the answer to a PullRequest. A trainer uses the samples only if Previous
// is its current cursor, and then advances its cursor to Cursor. Done reports whether the
// step is complete and every sample has been delivered.
type PullResponse struct {
	Cursor   uint64         `json:"cursor"`
	Previous uint64         `json:"previous"`
	Samples  []PulledSample `json:"samples"`
	Done     bool           `json:"done"`
}

// PulledSample is a sample in a PullResponse. Group and Index are its place in the step.
// Versions holds the weights versions that generated it, sorted, and Digest the SHA-256 of
// Text in hexadecimal. Score is nil for a sample without a score. Unscored reports whether
// the sample is delivered without one although its step has a scoring service.
type PulledSample struct {
	Group    int      `json:"group"`
	Index    int      `json:"index"`
	Text     string   `json:"text"`
	Tokens   int      `json:"tokens"`
	Versions []uint64 `json:"versions"`
	Digest   string   `json:"digest"`
	Score    *float64 `json:"score,omitempty"`
	Unscored bool     `json:"unscored,omitempty"`
}

// StepState is the state of a step: the number of its samples, how many are finished and
// delivered, and the host that owns it. A sample counts as delivered once a pull has
// acknowledged it. Done reports whether all are, which is later than in a PullResponse.
type StepState struct {
	ID        string `json:"id"`
	Samples   int    `json:"samples"`
	Finished  int    `json:"finished"`
	Delivered int    `json:"delivered"`
	Done      bool   `json:"done"`
	Canceled  bool   `json:"canceled"`
	Owner     string `json:"owner"`
}

// Steps runs the steps of trainers. The string argument is the ID from StepOpened. Errors
// for the caller are *Error, with code NotFound for an ID that the caller's workspace
// doesn't have; any other error is internal (see AsError).
type Steps interface {
	// Open opens a step, or returns the ID of the one that the trainer already has open
	// under the number.
	Open(ctx context.Context, call Call, request StepRequest) (StepOpened, error)
	// Pull returns the next samples, or none if the wait of the request ends first.
	Pull(ctx context.Context, call Call, id string, request PullRequest) (PullResponse, error)
	// State returns the state of a step.
	State(ctx context.Context, call Call, id string) (StepState, error)
	// Cancel cancels a step and returns its state.
	Cancel(ctx context.Context, call Call, id string) (StepState, error)
}

// none is the type of the body of a request that needs no body.
type none struct{}

// Check accepts every body.
func (none) Check() error { return nil }

// openStep opens a step, unless its model is private to another workspace.
func (s *Server) openStep(c echo.Context, call Call, q StepRequest) (StepOpened, error) {
	pool, route, err := s.findRoute(q.Model, document.Engine, "")
	if err != nil {
		return StepOpened{}, err
	}
	if route.Private != "" && route.Private != call.Caller.Workspace {
		return StepOpened{}, Refuse(NotAllowed, "the model is private to another workspace")
	}
	call.Pool, call.Route = pool, route
	return s.Steps.Open(c.Request().Context(), call, q)
}

// pullStep returns samples of a step. The wait is at most half of callTimeout.
func (s *Server) pullStep(c echo.Context, call Call, q PullRequest) (PullResponse, error) {
	if q.Max == 0 {
		q.Max = defaultPullMax
	}
	wait := min(time.Duration(q.Wait), callTimeout/2)
	q.Wait.Set(wait)
	return s.Steps.Pull(c.Request().Context(), call, c.Param("id"), q)
}

// stepState returns the state of a step.
func (s *Server) stepState(c echo.Context, call Call, _ none) (StepState, error) {
	return s.Steps.State(c.Request().Context(), call, c.Param("id"))
}

// cancelStep cancels a step and returns its state.
func (s *Server) cancelStep(c echo.Context, call Call, _ none) (StepState, error) {
	return s.Steps.Cancel(c.Request().Context(), call, c.Param("id"))
}
