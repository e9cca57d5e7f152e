package step

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"

	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// Open makes this host the owner of the step and starts the owner. It creates a step
// that doesn't exist. An existing step is taken over with a higher epoch (rule 6), from
// its object and its copies; plan may then be nil and is loaded from the copies.
//
// Open returns a *PlanError if the plan is unknown, is of another step or differs from the
// existing one, a *wire.FieldError if the plan of a new step is invalid, a *FencedError if
// another host became the owner at the same time, a *CanceledError if the step was
// canceled, and the errors of package object.
func Open(ctx context.Context, config Config, id ID, plan *Plan) (*Owner, error) {
	stored, err := config.Store.Get(ctx, id.Key())
	var missing *object.NotFoundError
	if errors.As(err, &missing) {
		return create(ctx, config, id, plan)
	}
	if err != nil {
		return nil, err
	}
	return takeOver(ctx, config, id, plan, stored)
}

// create writes the object of a new step and starts its owner.
func create(ctx context.Context, config Config, id ID, plan *Plan) (*Owner, error) {
	if plan == nil {
		return nil, &PlanError{ID: id, Reason: "is not known"}
	}
	if plan.ID != id {
		return nil, &PlanError{ID: id, Reason: "is of another step"}
	}
	if err := plan.Check(); err != nil {
		return nil, err
	}
	data, err := wire.Encode(*plan)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(data)
	state := State{ID: id, Model: plan.Model, MaxSampleAge: plan.MaxSampleAge, GroupSizes: plan.sizes(), PlanDigest: sum[:], Epoch: 1}
	if config.Copies != nil {
		// Without a copy, a takeover needs the plan from the trainer again.
		_ = config.Copies.Save(ctx, planKey(id), data)
	}
	owner, err := startOwner(ctx, config, state, *plan, 0)
	if err == nil {
		deleteOldStep(ctx, config.Store, id)
	}
	return owner, err
}

// keptSteps is the number of a trainer's previous steps whose objects are kept, for a
// trainer that restarts from a checkpoint.
const keptSteps = 2

// deleteOldStep deletes the object of the trainer's most recent step that is no longer
// kept. A failure is ignored, since it only leaves one small object behind.
func deleteOldStep(ctx context.Context, store Store, id ID) {
	deleter, ok := store.(interface {
		Delete(ctx context.Context, key string, expect uint64) error
	})
	if !ok || id.Number <= keptSteps {
		return
	}
	id.Number -= keptSteps + 1
	stored, err := store.Get(ctx, id.Key())
	if err == nil {
		_ = deleter.Delete(ctx, id.Key(), stored.Version)
	}
}

// takeOver starts the owner of an existing step under the next epoch.
func takeOver(ctx context.Context, config Config, id ID, plan *Plan, stored object.Object) (*Owner, error) {
	state, err := wire.Decode[State](stored.Value)
	if err != nil {
		return nil, err
	}
	if state.Canceled {
		return nil, &CanceledError{ID: id}
	}
	resolved, err := resolvePlan(ctx, config.Copies, state, plan)
	if err != nil {
		return nil, err
	}
	state.Epoch++
	return startOwner(ctx, config, state, resolved, stored.Version)
}

// resolvePlan returns the plan with the digest of the step object: the given one, or
// without one the plan from the copies.
func resolvePlan(ctx context.Context, copies Copies, state State, given *Plan) (Plan, error) {
	if given != nil {
		digest, err := digestOf(*given)
		if err != nil {
			return Plan{}, err
		}
		if !bytes.Equal(digest, state.PlanDigest) {
			return Plan{}, &PlanError{ID: state.ID, Reason: "differs from the one that was opened"}
		}
		return *given, nil
	}
	if copies == nil {
		return Plan{}, &PlanError{ID: state.ID, Reason: "is not known"}
	}
	data, err := copies.Load(ctx, planKey(state.ID))
	sum := sha256.Sum256(data)
	if err != nil || !bytes.Equal(sum[:], state.PlanDigest) {
		return Plan{}, &PlanError{ID: state.ID, Reason: "is not known"}
	}
	return wire.Decode[Plan](data)
}

// startOwner writes the state with this host as the owner, and starts the owner.
func startOwner(ctx context.Context, config Config, state State, plan Plan, expect uint64) (*Owner, error) {
	state.Owner, state.Copies = config.Self, config.CopyHosts
	value, err := wire.Encode(state)
	if err != nil {
		return nil, err
	}
	out := writeObject(ctx, config.Store, state.ID, value, expect)
	if out.fenced != nil {
		return nil, out.fenced
	}
	if out.err != nil {
		return nil, out.err
	}
	ledger, err := NewLedger(state, plan, config.Policy, config.History)
	if err != nil {
		return nil, err
	}
	restore(ctx, config.Copies, ledger)
	o := &Owner{
		config: config, ledger: ledger, id: state.ID, version: out.version,
		messages: make(chan message, messageCapacity), done: make(chan struct{}),
		cancelFuncs: map[string]context.CancelFunc{}, scoring: map[string]bool{},
	}
	// The owner outlives the call that opens the step.
	o.ctx, o.stop = context.WithCancel(context.WithoutCancel(ctx))
	config.Log.Emit(event.StepOpened, "step", state.ID.Key(), "epoch", state.Epoch)
	go o.run() //nolint:contextcheck // the owner's own context ends it
	return o, nil
}

// restore loads the last committed chunk from the copies into the ledger, since the
// trainer may not have received it yet.
func restore(ctx context.Context, copies Copies, ledger *Ledger) {
	state := ledger.State()
	if copies == nil || state.Cursor == 0 {
		return
	}
	data, err := copies.Load(ctx, chunkKey(state.ID, state.Cursor))
	if err != nil {
		return
	}
	chunk, err := wire.Decode[Chunk](data)
	if err != nil {
		return
	}
	ledger.Restore(chunk)
}
