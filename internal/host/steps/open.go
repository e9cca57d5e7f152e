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

// Open opens a step, unless it is already open, and returns its name. While the owner of an
// open step runs, the request is accepted without a check against the step's plan. If the
// request makes this host the owner of an open step, a plan that differs from that of the
// step is refused as a conflict.
func (s *Steps) Open(ctx context.Context, call api.Call, request api.StepRequest) (api.StepOpened, error) {
	id := step.ID{Workspace: call.Caller.Workspace, Trainer: request.Trainer, Number: request.Number}
	plan := planOf(id, call, request)
	name, err := encodeID(id)
	if err != nil {
		return api.StepOpened{}, err
	}
	_, err = callOwner(ctx, s, id, &openCall{ID: id, Plan: plan, Score: request.ScoringService, Caller: wireCaller(call.Caller)})
	if err != nil {
		return api.StepOpened{}, err
	}
	return api.StepOpened{ID: name}, nil
}

// planOf returns the plan of a step for a caller's request. Without a maximum age of its
// samples, the request gets that of the pool.
func planOf(id step.ID, call api.Call, request api.StepRequest) step.Plan {
	plan := step.Plan{ID: id, Model: request.Model, MaxSampleAge: call.Pool.MaxSampleAge, Score: request.ScoringService != ""}
	if request.Bound != nil {
		plan.MaxSampleAge = *request.Bound
	}
	for _, group := range request.Groups {
		plan.Groups = append(plan.Groups, step.Group{
			Prompt: group.Prompt, Size: group.Samples, Class: request.Trainer,
			MaxTokens: request.MaxTokens, PrefixHash: xxhash.Sum64String(group.Prompt),
		})
	}
	return plan
}

// adopt makes this host the owner of a step. plan is nil for an existing step, whose plan
// is loaded from the copies. scorer names the scoring service, empty for none.
func (s *Steps) adopt(ctx context.Context, caller gate.Caller, id step.ID, plan *step.Plan, scorer string) (*owned, error) {
	if o, ok := s.ownedStep(id); ok {
		return o, nil
	}
	if s.OwnedCount() >= maxOwned {
		return nil, api.RefuseFor(api.Overloaded, "this host owns too many steps", time.Second)
	}
	if scorer != "" {
		_ = s.copies.Save(ctx, scoreKey(id), []byte(scorer)) // without a copy, the next owner delivers samples unscored
	}
	takenAt := time.Now()
	owner, err := step.Open(ctx, s.ownerConfig(id, scorer), id, plan)
	if err != nil {
		return nil, s.apiError(id, err)
	}
	o := &owned{owner: owner, counted: make(map[uint64]bool)}
	unregister, err := s.config.Gate.RegisterStream(caller, func() { go s.release(id, o) })
	if err != nil {
		_ = owner.Close()
		return nil, api.Refuse(api.KeyWithdrawn, "the key was withdrawn")
	}
	o.unregister = unregister
	if !s.register(id, o) {
		unregister()
		_ = owner.Close()
		return nil, api.RefuseFor(api.Draining, "the host stops", time.Second)
	}
	go s.setOpened(context.WithoutCancel(ctx), id, o, takenAt)
	go s.watchOwned(context.WithoutCancel(ctx), id, o)
	return o, nil
}

// ownerConfig returns the configuration of a step's owner on this host.
func (s *Steps) ownerConfig(id step.ID, scorer string) step.Config {
	config := step.Config{
		Self: s.config.Host, CopyHosts: s.config.Fleet.CopyHosts(id.Key()), Store: s.config.Store, Copies: s.copies,
		Generator: s.config.Generator(id.Workspace), Weights: s.config.Weights, Clock: clock{},
		History: s.history(id.Workspace), Log: s.config.Log,
	}
	if scorer != "" {
		config.Scorer = s.config.Scorer(id.Workspace, scorer)
	}
	return config
}

// ownedStep returns a step that this host owns.
func (s *Steps) ownedStep(id step.ID) (*owned, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.owned[id]
	return o, ok
}

// register records that this host owns a step, in place of an earlier record of the same
// step. After Close, it records nothing and returns false.
func (s *Steps) register(id step.ID, o *owned) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.owned[id] = o
	return true
}

// release stops owning a step. Its object stays in the store, so that any host can take
// the step over.
func (s *Steps) release(id step.ID, o *owned) {
	s.mu.Lock()
	if s.owned[id] == o {
		delete(s.owned, id)
	}
	s.mu.Unlock()
	o.unregister()
	_ = o.owner.Close()
}

// watchOwned releases a step once its owner has stopped, for example after a takeover. It
// also checks every deliveredRetention whether the step has been delivered or canceled, and
// then releases it.
func (s *Steps) watchOwned(ctx context.Context, id step.ID, o *owned) {
	timer := time.NewTicker(deliveredRetention)
	defer timer.Stop()
	for {
		select {
		case <-o.owner.Done():
			s.release(id, o)
			return
		case <-timer.C:
			status, err := o.owner.Snapshot(ctx)
			if err == nil && (status.AllDelivered || status.Canceled) {
				s.release(id, o)
				return
			}
		}
	}
}

// apiError returns the caller's error for an error of a step or its store.
func (s *Steps) apiError(id step.ID, err error) error {
	var plan *step.PlanError
	var fenced *step.FencedError
	var canceled *step.CanceledError
	var field *wire.FieldError
	switch {
	case errors.As(err, &plan):
		return &api.Error{Code: api.Conflict, Message: plan.Error(), Ran: api.RanNo}
	case errors.As(err, &fenced):
		s.cacheOwner(id, fenced.Owner)
		return api.RefuseFor(api.Unreachable, "the step has just moved to another host", time.Second)
	case errors.As(err, &canceled):
		return &api.Error{Code: api.Conflict, Message: "the step was canceled", Ran: api.RanNo}
	case errors.As(err, &field):
		return api.Refuse(api.BadRequest, field.Error())
	default: // includes NotFoundError: a new step's object was written with an unknown outcome and is not there
		return api.RefuseFor(api.Unreachable, "the platform can't be reached to decide who owns the step", time.Second)
	}
}

// cacheOwner caches the owner of a step. With an empty owner the next call looks it up
// again. A full cache is cleared.
func (s *Steps) cacheOwner(id step.ID, owner string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.owners) >= maxCachedOwners {
		clear(s.owners)
	}
	s.owners[id] = owner
}

// maxCachedOwners is the number of step owners that this host caches.
const maxCachedOwners = 4096

// clock is the wall clock of a step's owner.
type clock struct{}

func (clock) Now() time.Time                         { return time.Now() }
func (clock) After(d time.Duration) <-chan time.Time { return time.After(d) }
