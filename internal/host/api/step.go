package api

import (
	"context"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/hyssopwall/hyssopwall/internal/site/document"
	"github.com/hyssopwall/hyssopwall/internal/site/form"
)

// StepRequest opens a step: the samples that a trainer wants for one update.
// Bound is the largest age of a sample in weight versions.
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

// StepGroup is a prompt and how many samples of it the trainer wants.
type StepGroup struct {
	Prompt  string `json:"prompt"`
	Samples int    `json:"samples"`
	Seed    int64  `json:"seed"`
}

// MaxSamples is the largest number of samples in a step.
const MaxSamples = 16384

// Check returns an *Error with code BadRequest for the first wrong field.
func (r StepRequest) Check() error {
	switch {
	case r.Trainer == "" || len(r.Trainer) > maxIdentity:
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

// PullRequest asks for samples. Cursor acknowledges every sample up to it.
// Newest is the newest weight version that the trainer knows; no sample that
// is too old by it is handed out.
type PullRequest struct {
	Cursor uint64        `json:"cursor"`
	Newest uint64        `json:"newest,omitempty"`
	Max    int           `json:"max"`
	Wait   form.Duration `json:"wait"`
}

// defaultPull is the number of samples of a pull that names none.
const defaultPull = 256

// Check returns an *Error with code BadRequest for the first wrong field.
func (r PullRequest) Check() error {
	if r.Max < 0 || r.Max > MaxSamples {
		return Refuse(BadRequest, `field "max" is out of range`)
	}
	return nil
}

// PullResponse is the answer to a PullRequest. A trainer takes the samples only if
// Previous is the cursor that it holds, and then holds Cursor. Done says that the step is whole and
// that every sample has been handed out.
type PullResponse struct {
	Cursor   uint64         `json:"cursor"`
	Previous uint64         `json:"previous"`
	Samples  []PulledSample `json:"samples"`
	Done     bool           `json:"done"`
}

// PulledSample is a sample as the trainer gets it.
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

// StepState is what a look at a step shows.
type StepState struct {
	ID        string `json:"id"`
	Samples   int    `json:"samples"`
	Finished  int    `json:"finished"`
	Delivered int    `json:"delivered"`
	Done      bool   `json:"done"`
	Canceled  bool   `json:"canceled"`
	Owner     string `json:"owner"`
}

// Steps runs the steps of trainers. Errors are *Error.
type Steps interface {
	Open(ctx context.Context, call Call, request StepRequest) (StepOpened, error)
	Pull(ctx context.Context, call Call, id string, request PullRequest) (PullResponse, error)
	State(ctx context.Context, call Call, id string) (StepState, error)
	Cancel(ctx context.Context, call Call, id string) (StepState, error)
}

// none is the body of a request that has none.
type none struct{}

// Check accepts every body.
func (none) Check() error { return nil }

func (s *Server) openStep(c echo.Context, call Call, q StepRequest) (StepOpened, error) {
	pool, route, err := s.resolve(q.Model, document.Engine, "")
	if err != nil {
		return StepOpened{}, err
	}
	if route.Private != "" && route.Private != call.Caller.Workspace {
		return StepOpened{}, Refuse(NotAllowed, "the model is private to another workspace")
	}
	call.Pool, call.Route = pool, route
	return s.Steps.Open(c.Request().Context(), call, q)
}

func (s *Server) pullStep(c echo.Context, call Call, q PullRequest) (PullResponse, error) {
	if q.Max == 0 {
		q.Max = defaultPull
	}
	wait := min(time.Duration(q.Wait), callTimeout/2)
	q.Wait.Set(wait)
	return s.Steps.Pull(c.Request().Context(), call, c.Param("id"), q)
}

func (s *Server) lookStep(c echo.Context, call Call, _ none) (StepState, error) {
	return s.Steps.State(c.Request().Context(), call, c.Param("id"))
}

func (s *Server) cancelStep(c echo.Context, call Call, _ none) (StepState, error) {
	return s.Steps.Cancel(c.Request().Context(), call, c.Param("id"))
}
