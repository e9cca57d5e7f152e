package steps

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopwall/hyssopwall/internal/entry/gate"
	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
	"github.com/hyssopwall/hyssopwall/internal/host/api"
	"github.com/hyssopwall/hyssopwall/internal/rollout/step"
)

// Open opens a step, or finds the one that is open.
func (s *Steps) Open(ctx context.Context, call api.Call, request api.StepRequest) (api.StepOpened, error) {
	id := step.ID{Workspace: call.Caller.Workspace, Trainer: request.Trainer, Number: request.Number}
	plan := planOf(id, call, request)
	name, err := encodeID(id)
	if err != nil {
		return api.StepOpened{}, err
	}
	_, err = callOwner(ctx, s, id, &openCall{ID: id, Plan: plan, Score: request.Score, Caller: wireCaller(call.Caller)})
	if err != nil {
		return api.StepOpened{}, err
	}
	return api.StepOpened{ID: name}, nil
}

func planOf(id step.ID, call api.Call, request api.StepRequest) step.Plan {
	plan := step.Plan{ID: id, Model: request.Model, Bound: call.Pool.MaxSampleAge, Score: request.Score != ""}
	if request.Bound != nil {
		plan.Bound = *request.Bound
	}
	for _, group := range request.Groups {
		plan.Groups = append(plan.Groups, step.Group{
			Prompt: group.Prompt, Size: group.Samples, Class: request.Trainer,
			MaxTokens: request.Tokens, PrefixHash: xxhash.Sum64String(group.Prompt),
		})
	}
	return plan
}

// adopt makes this host the owner of a step. Plan is nil when the step exists
// and its plan is to be read from the copies.
func (s *Steps) adopt(ctx context.Context, caller gate.Caller, id step.ID, plan *step.Plan, score string) (*owned, error) {
	if o, ok := s.mine(id); ok {
		return o, nil
	}
	if s.Owned() >= maxOwned {
		return nil, api.RefuseFor(api.Overloaded, "this host owns too many steps", time.Second)
	}
	if score != "" {
		_ = s.copies.Save(ctx, scoreKey(id), []byte(score)) // without a copy, a new owner delivers unscored
	}
	adopted := time.Now()
	owner, err := step.Open(ctx, s.ownerConfig(id, score), id, plan)
	if err != nil {
		return nil, s.refused(id, err)
	}
	o := &owned{owner: owner, counted: make(map[uint64]bool)}
	leave, err := s.config.Gate.RegisterStream(caller, func() { go s.drop(id, o) })
	if err != nil {
		_ = owner.Close()
		return nil, api.Refuse(api.KeyWithdrawn, "the key was withdrawn")
	}
	o.leave = leave
	if !s.add(id, o) {
		leave()
		_ = owner.Close()
		return nil, api.RefuseFor(api.Draining, "the host stops", time.Second)
	}
	go s.began(context.WithoutCancel(ctx), id, o, adopted)
	go s.watch(context.WithoutCancel(ctx), id, o)
	return o, nil
}

func (s *Steps) ownerConfig(id step.ID, score string) step.Config {
	config := step.Config{
		Self: s.config.Host, CopyHosts: s.config.Fleet.Mates(id.Key()), Store: s.config.Store, Copies: s.copies,
		Generator: s.config.Generator(id.Workspace), Weights: s.config.Weights, Clock: clock{},
		History: s.history(id.Workspace), Log: s.config.Log,
	}
	if score != "" {
		config.Scorer = s.config.Scorer(id.Workspace, score)
	}
	return config
}

func (s *Steps) mine(id step.ID) (*owned, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.owned[id]
	return o, ok
}

func (s *Steps) add(id step.ID, o *owned) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.owned[id] = o
	return true
}

// drop stops owning a step. Its object stays, so that any host may go on.
func (s *Steps) drop(id step.ID, o *owned) {
	s.mu.Lock()
	if s.owned[id] == o {
		delete(s.owned, id)
	}
	s.mu.Unlock()
	o.leave()
	_ = o.owner.Close()
}

// watch forgets a step that was taken over, or that has been whole for long.
func (s *Steps) watch(ctx context.Context, id step.ID, o *owned) {
	timer := time.NewTicker(wholeFor)
	defer timer.Stop()
	for {
		select {
		case <-o.owner.Done():
			s.drop(id, o)
			return
		case <-timer.C:
			status, err := o.owner.Snapshot(ctx)
			if err == nil && (status.AllDelivered || status.Canceled) {
				s.drop(id, o)
				return
			}
		}
	}
}

// refused turns an error of a step into the caller's.
func (s *Steps) refused(id step.ID, err error) error {
	var plan *step.PlanError
	var fenced *step.FencedError
	var canceled *step.CanceledError
	var field *wire.FieldError
	switch {
	case errors.As(err, &plan):
		return &api.Error{Code: api.Conflict, Message: plan.Error(), Ran: api.RanNo}
	case errors.As(err, &fenced):
		s.learn(id, fenced.Owner)
		return api.RefuseFor(api.Unreachable, "the step has just moved to another host", time.Second)
	case errors.As(err, &canceled):
		return &api.Error{Code: api.Conflict, Message: "the step was canceled", Ran: api.RanNo}
	case errors.As(err, &field):
		return api.Refuse(api.BadRequest, field.Error())
	default: // a write of unknown outcome is read back as not found, and tried again
		return api.RefuseFor(api.Unreachable, "the platform can't be reached to decide who owns the step", time.Second)
	}
}

func (s *Steps) learn(id step.ID, owner string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.owners) >= maxKnown {
		clear(s.owners)
	}
	s.owners[id] = owner
}

// maxKnown bounds the owners that this host remembers.
const maxKnown = 4096

// clock is the real time of an owner.
type clock struct{}

func (clock) Now() time.Time                         { return time.Now() }
func (clock) After(d time.Duration) <-chan time.Time { return time.After(d) }
