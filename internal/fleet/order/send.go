package order

import (
	"context"
	"errors"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/fleet/lease"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/platform/supply"
)

// Classify returns the outcome of a send under the epoch that ended with err.
//
//   - Accepted: no error, or a conflict with an older epoch, which means that the
//     receiver has the order from an earlier holder.
//   - Fenced: a conflict with a higher epoch, a conflict with this epoch, which means
//     that another order has the ID, or an engine's refusal with the code "fenced".
//   - Refused: any other refusal by an engine, an error of package object that
//     states that the order had no effect (limit, outage, invalid request), or a
//     lease that isn't held.
//   - OutcomeUnknown: a conflict that names no epoch, as one without a body, and any
//     other error.
func Classify(err error, epoch uint64) Outcome {
	var (
		refused  *engine.RefusedError
		conflict *object.ConflictError
		limit    *object.LimitError
		outage   *object.OutageError
		request  *object.RequestError
		notHeld  *lease.NotHeldError
	)
	switch {
	case errors.As(err, &conflict) && conflict.Have == 0:
		return OutcomeUnknown
	case err == nil, errors.As(err, &conflict) && conflict.Have < epoch:
		return Accepted
	case errors.As(err, &refused) && refused.Code == "fenced", errors.As(err, &conflict):
		return Fenced
	case errors.As(err, &refused), errors.As(err, &limit), errors.As(err, &outage), errors.As(err, &request), errors.As(err, &notHeld):
		return Refused
	default:
		return OutcomeUnknown
	}
}

// GroupSize is the desired number of backend servers of a group: a zone, a pool
// and a class. The target of its intent is the group.
type GroupSize struct {
	Zone  string       `json:"zone"`
	Pool  string       `json:"pool"`
	Class supply.Class `json:"class"`
	Count int          `json:"count"`
}

// Group returns the name of the group that the count applies to.
func (g GroupSize) Group() string { return g.Zone + "/" + g.Pool + "/" + string(g.Class) }

// SendToSupply returns a Placer.Send that places orders at the platform's
// ordering interface.
func SendToSupply(to supply.Supply) func(context.Context, Intent[GroupSize], uint64) error {
	return func(ctx context.Context, intent Intent[GroupSize], epoch uint64) error {
		size := intent.Command
		return to.Place(ctx, supply.Order{
			ID: intent.ID, Zone: size.Zone, Pool: size.Pool, Class: size.Class, Count: size.Count, Epoch: epoch,
		})
	}
}

// EngineChange is a change to an engine; exactly one of Version, Adapter and
// Role is set. Model is passed on with it, see engine.Command. The target of its
// intent names the engine and the kind of change.
type EngineChange struct {
	Engine  string `json:"engine"`
	Model   string `json:"model,omitempty"`
	Version uint64 `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// Applier is the part of an engine that executes commands.
type Applier interface {
	Apply(ctx context.Context, command engine.Command) error
}

// SendToEngines returns a Placer.Send that sends commands to the engines that
// find returns by name. A command to an unknown engine is refused without a send.
func SendToEngines(find func(name string) (Applier, bool)) func(context.Context, Intent[EngineChange], uint64) error {
	return func(ctx context.Context, intent Intent[EngineChange], epoch uint64) error {
		change := intent.Command
		to, ok := find(change.Engine)
		if !ok {
			return &engine.RefusedError{Code: "gone"}
		}
		return to.Apply(ctx, engine.Command{
			ID: intent.ID, Epoch: epoch, Model: change.Model,
			Version: change.Version, Adapter: change.Adapter, Role: change.Role,
		})
	}
}
