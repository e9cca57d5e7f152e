package steps

import (
	"context"
	"errors"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/entry/gate"
	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
	"github.com/hyssopwall/hyssopwall/internal/host/api"
	"github.com/hyssopwall/hyssopwall/internal/host/reach"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/rollout/sample"
	"github.com/hyssopwall/hyssopwall/internal/rollout/step"
)

// caller identifies the API key of a call about a step; Key is the key's ID. The owner
// stops a step when the key under which it took the step is withdrawn.
type caller struct {
	Workspace string `cbor:"1,keyasint"`
	Key       string `cbor:"2,keyasint"`
}

// wireCaller returns the message form of a caller.
func wireCaller(c gate.Caller) caller { return caller{Workspace: c.Workspace, Key: c.KeyID} }

// isNotFound reports whether the store has no object under a key.
func isNotFound(err error) bool {
	var missing *object.NotFoundError
	return errors.As(err, &missing)
}

// openCall is the call to open a step at its owner. Score names the scoring service, if
// any.
type openCall struct {
	ID     step.ID   `cbor:"1,keyasint"`
	Plan   step.Plan `cbor:"2,keyasint"`
	Score  string    `cbor:"3,keyasint,omitempty"`
	Caller caller    `cbor:"4,keyasint"`
}

// Check returns the error of the plan's Check.
func (c *openCall) Check() error { return c.Plan.Check() }

func (c *openCall) kind() string { return "step.open" }

func (c *openCall) serve(ctx context.Context, s *Steps) (reach.None, error) {
	caller, err := s.config.Gate.FindKey(c.Caller.Workspace, c.Caller.Key)
	if err != nil {
		return reach.None{}, api.Refuse(api.KeyWithdrawn, "the key was withdrawn")
	}
	_, err = s.adopt(ctx, caller, c.ID, &c.Plan, c.Score)
	return reach.None{}, err
}

// pullCall is the call to pull samples from the owner of a step. Cursor, Max and Newest are
// those of step.Request. Wait is how long to wait for samples, and at least minPullWait.
type pullCall struct {
	ID     step.ID       `cbor:"1,keyasint"`
	Cursor uint64        `cbor:"2,keyasint"`
	Max    int           `cbor:"3,keyasint"`
	Wait   time.Duration `cbor:"4,keyasint"`
	Caller caller        `cbor:"5,keyasint"`
	Newest uint64        `cbor:"6,keyasint,omitempty"`
}

// Check returns a *wire.FieldError for a wrong field.
func (c *pullCall) Check() error {
	if c.Max < 0 || c.Wait < 0 {
		return &wire.FieldError{Type: "pullCall", Field: "Max or Wait", Reason: "is negative"}
	}
	return c.ID.Check()
}

func (c *pullCall) kind() string { return "step.pull" }

func (c *pullCall) serve(ctx context.Context, s *Steps) (step.Chunk, error) {
	o, err := s.find(ctx, c.ID, c.Caller)
	if err != nil {
		return step.Chunk{}, err
	}
	ctx, stop := context.WithTimeout(ctx, max(c.Wait, minPullWait))
	defer stop()
	chunk, err := o.owner.Pull(ctx, step.Request{Cursor: c.Cursor, Max: c.Max, Newest: c.Newest})
	if errors.Is(err, context.DeadlineExceeded) {
		return step.Chunk{ID: c.ID, Cursor: c.Cursor, Previous: c.Cursor}, nil
	}
	if err != nil {
		return step.Chunk{}, s.ownerError(c.ID, err)
	}
	s.countDelivery(ctx, c.ID, o, chunk)
	return chunk, nil
}

// minPullWait is the minimum wait of a pull. It leaves time to commit the samples.
const minPullWait = 100 * time.Millisecond

// ownerError returns the caller's error for an error of a step's owner.
func (s *Steps) ownerError(id step.ID, err error) error {
	var cursor *step.UnknownCursorError
	var superseded *step.SupersededError
	var closed *step.ClosedError
	switch {
	case errors.As(err, &cursor):
		return &api.Error{Code: api.Conflict, Message: cursor.Error(), Ran: api.RanNo}
	case errors.As(err, &superseded):
		return &api.Error{Code: api.Conflict, Message: superseded.Error(), Ran: api.RanNo}
	case errors.As(err, &closed):
		return api.RefuseFor(api.Unreachable, "the step moves to another host", time.Second)
	default:
		return s.apiError(id, err)
	}
}

// find returns a step that this host owns. If it does not own the step yet, it takes the
// step over from its object in the store and the copies of its plan and chunks.
func (s *Steps) find(ctx context.Context, id step.ID, c caller) (*owned, error) {
	if o, ok := s.ownedStep(id); ok {
		return o, nil
	}
	caller, err := s.config.Gate.FindKey(c.Workspace, c.Key)
	if err != nil {
		return nil, api.Refuse(api.KeyWithdrawn, "the key was withdrawn")
	}
	_, err = s.config.Store.Get(ctx, id.Key())
	if isNotFound(err) {
		return nil, api.Refuse(api.NotFound, "no such step")
	}
	if err != nil {
		return nil, s.apiError(id, err)
	}
	return s.adopt(ctx, caller, id, nil, s.copies.scoringService(ctx, id))
}

// countDelivery meters and reports the samples of a chunk the first time that this owner
// delivers it.
func (s *Steps) countDelivery(ctx context.Context, id step.ID, o *owned, chunk step.Chunk) {
	s.mu.Lock()
	counted := o.counted[chunk.Cursor] || len(chunk.Samples) == 0
	o.counted[chunk.Cursor] = true
	s.mu.Unlock()
	if counted {
		return
	}
	s.observeDelivery(ctx, id, o, chunk)
	if s.config.Meter == nil {
		return
	}
	tokens := 0
	for _, one := range chunk.Samples {
		tokens += one.Tokens
	}
	_ = s.config.Meter.Delivered(context.WithoutCancel(ctx), id.Workspace, uint64(len(chunk.Samples)), uint64(tokens))
}

// Pull returns samples of a step from its owner. The answer has no samples when none was
// ready within the wait of the request.
func (s *Steps) Pull(ctx context.Context, call api.Call, name string, request api.PullRequest) (api.PullResponse, error) {
	id, err := decodeID(name, call.Caller.Workspace)
	if err != nil {
		return api.PullResponse{}, err
	}
	chunk, err := callOwner(ctx, s, id, &pullCall{
		ID: id, Cursor: request.Cursor, Max: request.Max, Wait: time.Duration(request.Wait),
		Caller: wireCaller(call.Caller), Newest: request.Newest,
	})
	if err != nil {
		return api.PullResponse{}, err
	}
	return pullResponse(chunk), nil
}

// pullResponse returns the answer for a caller with the samples of a chunk.
func pullResponse(chunk step.Chunk) api.PullResponse {
	answer := api.PullResponse{Cursor: chunk.Cursor, Previous: chunk.Previous, Samples: []api.PulledSample{}, Done: chunk.AllDelivered}
	for _, one := range chunk.Samples {
		out := api.PulledSample{
			Group: one.Group, Index: one.Index, Text: one.Text, Tokens: one.Tokens,
			Versions: one.Versions, Digest: one.Digest, Unscored: one.Scoring == sample.Unscored,
		}
		if one.Scoring == sample.Scored {
			out.Score = &one.Score
		}
		answer.Samples = append(answer.Samples, out)
	}
	return answer
}

// statusCall is the call to read the status of a step at its owner. If Cancel is set, the
// step is canceled before.
type statusCall struct {
	ID     step.ID `cbor:"1,keyasint"`
	Cancel bool    `cbor:"2,keyasint,omitempty"`
	Caller caller  `cbor:"3,keyasint"`
}

// Check returns the error of the step ID's Check.
func (c *statusCall) Check() error { return c.ID.Check() }

func (c *statusCall) kind() string { return "step.look" }

// status wraps a step.Status as a message.
type status struct {
	Status step.Status `cbor:"1,keyasint"`
}

// Check accepts every status.
func (status) Check() error { return nil }

func (c *statusCall) serve(ctx context.Context, s *Steps) (status, error) {
	o, err := s.find(ctx, c.ID, c.Caller)
	if err != nil {
		return status{}, err
	}
	if c.Cancel {
		if err := o.owner.Cancel(ctx); err != nil {
			return status{}, s.ownerError(c.ID, err)
		}
	}
	found, err := o.owner.Snapshot(ctx)
	if err != nil {
		return status{}, s.ownerError(c.ID, err)
	}
	return status{Status: found}, nil
}

// State returns the state of a step.
func (s *Steps) State(ctx context.Context, call api.Call, name string) (api.StepState, error) {
	return s.stateOf(ctx, call, name, false)
}

// Cancel cancels a step and returns its state.
func (s *Steps) Cancel(ctx context.Context, call api.Call, name string) (api.StepState, error) {
	return s.stateOf(ctx, call, name, true)
}

// stateOf returns the state of a step from its owner. If cancel is set, the step is canceled
// before.
func (s *Steps) stateOf(ctx context.Context, call api.Call, name string, cancel bool) (api.StepState, error) {
	id, err := decodeID(name, call.Caller.Workspace)
	if err != nil {
		return api.StepState{}, err
	}
	found, err := callOwner(ctx, s, id, &statusCall{ID: id, Cancel: cancel, Caller: wireCaller(call.Caller)})
	if err != nil {
		return api.StepState{}, err
	}
	st := found.Status
	return api.StepState{
		ID: name, Samples: st.Wanted, Finished: st.Ready + st.Delivered, Delivered: st.Delivered,
		Done: st.AllDelivered, Canceled: st.Canceled, Owner: st.Owner,
	}, nil
}
