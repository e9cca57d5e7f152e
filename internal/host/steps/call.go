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

// caller names the key under which a step was opened, so that the owner ends
// the step's work when the key is withdrawn.
type caller struct {
	Workspace string `cbor:"1,keyasint"`
	Key       string `cbor:"2,keyasint"`
}

func wireCaller(c gate.Caller) caller { return caller{Workspace: c.Workspace, Key: c.KeyID} }

func isMissing(err error) bool {
	var missing *object.NotFoundError
	return errors.As(err, &missing)
}

// openCall opens a step at its owner.
type openCall struct {
	ID     step.ID   `cbor:"1,keyasint"`
	Plan   step.Plan `cbor:"2,keyasint"`
	Score  string    `cbor:"3,keyasint,omitempty"`
	Caller caller    `cbor:"4,keyasint"`
}

// Check checks the plan.
func (c *openCall) Check() error { return c.Plan.Check() }

func (c *openCall) kind() string { return "step.open" }

func (c *openCall) serve(ctx context.Context, s *Steps) (reach.None, error) {
	who, err := s.config.Gate.FindKey(c.Caller.Workspace, c.Caller.Key)
	if err != nil {
		return reach.None{}, api.Refuse(api.KeyWithdrawn, "the key was withdrawn")
	}
	_, err = s.adopt(ctx, who, c.ID, &c.Plan, c.Score)
	return reach.None{}, err
}

// pullCall pulls samples at the owner.
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
	ctx, stop := context.WithTimeout(ctx, max(c.Wait, leastWait))
	defer stop()
	chunk, err := o.owner.Pull(ctx, step.Request{Cursor: c.Cursor, Max: c.Max, Newest: c.Newest})
	if errors.Is(err, context.DeadlineExceeded) {
		return step.Chunk{ID: c.ID, Cursor: c.Cursor, Previous: c.Cursor}, nil
	}
	if err != nil {
		return step.Chunk{}, s.pullError(c.ID, err)
	}
	s.count(ctx, c.ID, o, chunk)
	return chunk, nil
}

// leastWait is the shortest wait of a pull, which covers a commit.
const leastWait = 100 * time.Millisecond

func (s *Steps) pullError(id step.ID, err error) error {
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
		return s.refused(id, err)
	}
}

// find returns a step that this host owns, or takes it over from its object
// and its copies.
func (s *Steps) find(ctx context.Context, id step.ID, c caller) (*owned, error) {
	if o, ok := s.mine(id); ok {
		return o, nil
	}
	who, err := s.config.Gate.FindKey(c.Workspace, c.Key)
	if err != nil {
		return nil, api.Refuse(api.KeyWithdrawn, "the key was withdrawn")
	}
	_, err = s.config.Store.Get(ctx, id.Key())
	if isMissing(err) {
		return nil, api.Refuse(api.NotFound, "no such step")
	}
	if err != nil {
		return nil, s.refused(id, err)
	}
	return s.adopt(ctx, who, id, nil, s.copies.score(ctx, id))
}

// count counts the samples of a chunk the first time that it is handed over.
func (s *Steps) count(ctx context.Context, id step.ID, o *owned, chunk step.Chunk) {
	s.mu.Lock()
	known := o.counted[chunk.Cursor] || len(chunk.Samples) == 0
	o.counted[chunk.Cursor] = true
	s.mu.Unlock()
	if known {
		return
	}
	s.observe(ctx, id, o, chunk)
	if s.config.Meter == nil {
		return
	}
	tokens := 0
	for _, one := range chunk.Samples {
		tokens += one.Tokens
	}
	_ = s.config.Meter.Delivered(context.WithoutCancel(ctx), id.Workspace, uint64(len(chunk.Samples)), uint64(tokens))
}

// Pull hands out samples.
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
	return pulled(chunk), nil
}

func pulled(chunk step.Chunk) api.PullResponse {
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

// lookCall looks at a step, or cancels it, at its owner.
type lookCall struct {
	ID     step.ID `cbor:"1,keyasint"`
	Cancel bool    `cbor:"2,keyasint,omitempty"`
	Caller caller  `cbor:"3,keyasint"`
}

// Check checks the step's identity.
func (c *lookCall) Check() error { return c.ID.Check() }

func (c *lookCall) kind() string { return "step.look" }

// status is step.Status as a message.
type status struct {
	Status step.Status `cbor:"1,keyasint"`
}

// Check accepts every status.
func (status) Check() error { return nil }

func (c *lookCall) serve(ctx context.Context, s *Steps) (status, error) {
	o, err := s.find(ctx, c.ID, c.Caller)
	if err != nil {
		return status{}, err
	}
	if c.Cancel {
		if err := o.owner.Cancel(ctx); err != nil {
			return status{}, s.pullError(c.ID, err)
		}
	}
	found, err := o.owner.Snapshot(ctx)
	if err != nil {
		return status{}, s.pullError(c.ID, err)
	}
	return status{Status: found}, nil
}

// State returns the state of a step.
func (s *Steps) State(ctx context.Context, call api.Call, name string) (api.StepState, error) {
	return s.look(ctx, call, name, false)
}

// Cancel ends a step.
func (s *Steps) Cancel(ctx context.Context, call api.Call, name string) (api.StepState, error) {
	return s.look(ctx, call, name, true)
}

func (s *Steps) look(ctx context.Context, call api.Call, name string, cancel bool) (api.StepState, error) {
	id, err := decodeID(name, call.Caller.Workspace)
	if err != nil {
		return api.StepState{}, err
	}
	found, err := callOwner(ctx, s, id, &lookCall{ID: id, Cancel: cancel, Caller: wireCaller(call.Caller)})
	if err != nil {
		return api.StepState{}, err
	}
	st := found.Status
	return api.StepState{
		ID: name, Samples: st.Wanted, Finished: st.Ready + st.Delivered, Delivered: st.Delivered,
		Done: st.AllDelivered, Canceled: st.Canceled, Owner: st.Owner,
	}, nil
}
