package order

import (
	"context"
	"errors"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/fleet/lease"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/platform/supply"
)

// Judge says what the error of a send under the epoch means for the order. A
// conflict with an older epoch means that the receiver has the order from an
// earlier holder. An error of another kind is unclear.
func Judge(err error, epoch uint64) Outcome {
	var (
		refused  *engine.RefusedError
		conflict *object.ConflictError
		limit    *object.LimitError
		outage   *object.OutageError
		request  *object.RequestError
		free     *lease.NotHeldError
	)
	switch {
	case err == nil, errors.As(err, &conflict) && conflict.Have < epoch:
		return Accepted
	case errors.As(err, &refused) && refused.Code == "fenced", errors.As(err, &conflict):
		return Fenced
	case errors.As(err, &refused), errors.As(err, &limit), errors.As(err, &outage), errors.As(err, &request), errors.As(err, &free):
		return Refused
	default:
		return Unclear
	}
}

// Fleet is what a group of backend servers should be. Its target is Group.
type Fleet struct {
	Zone  string       `json:"zone"`
	Pool  string       `json:"pool"`
	Class supply.Class `json:"class"`
	Count int          `json:"count"`
}

// Group names the servers that the count is of.
func (f Fleet) Group() string { return f.Zone + "/" + f.Pool + "/" + string(f.Class) }

// ToSupply sends orders to the platform's ordering interface.
func ToSupply(to supply.Supply) func(context.Context, Intent[Fleet], uint64) error {
	return func(ctx context.Context, intent Intent[Fleet], epoch uint64) error {
		want := intent.Command
		return to.Place(ctx, supply.Order{
			ID: intent.ID, Zone: want.Zone, Pool: want.Pool, Class: want.Class, Count: want.Count, Epoch: epoch,
		})
	}
}

// Load is what an engine should serve; exactly one of Version, Adapter and
// Role is set. Its target names the engine and the kind of change.
type Load struct {
	Engine  string `json:"engine"`
	Model   string `json:"model,omitempty"`
	Version uint64 `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// Applier is the part of an engine that takes commands.
type Applier interface {
	Apply(ctx context.Context, command engine.Command) error
}

// ToEngines sends commands to engines that find returns by name. An engine
// that is not known has not been sent anything.
func ToEngines(find func(name string) (Applier, bool)) func(context.Context, Intent[Load], uint64) error {
	return func(ctx context.Context, intent Intent[Load], epoch uint64) error {
		want := intent.Command
		to, ok := find(want.Engine)
		if !ok {
			return &engine.RefusedError{Code: "gone"}
		}
		return to.Apply(ctx, engine.Command{
			ID: intent.ID, Epoch: epoch, Model: want.Model,
			Version: want.Version, Adapter: want.Adapter, Role: want.Role,
		})
	}
}
