package node

import (
	"context"
	"errors"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/fleet/lease"
	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
	"github.com/hyssopwall/hyssopwall/internal/rollout/release"
	"github.com/hyssopwall/hyssopwall/internal/rollout/weights"
)

// observedEngines tells the pool, and the hosts that may send to the engine, when an engine ends
// the connection of an order or a status query: it may have started again, which hosts without
// requests there would notice a second or two later.
type observedEngines struct {
	release.Engines
	pool *pool.Pool
}

// Load implements release.Engines.
func (o observedEngines) Load(ctx context.Context, server pool.Server, load weights.Load, orders int64, grant lease.Grant) error {
	err := o.Engines.Load(ctx, server, load, orders, grant)
	o.observe(server, err)
	return err
}

// Status implements release.Engines.
func (o observedEngines) Status(ctx context.Context, server pool.Server) (release.Status, error) {
	status, err := o.Engines.Status(ctx, server)
	o.observe(server, err)
	return status, err
}

// observe records a connection that the engine refused or ended. A call that times out shows
// nothing: engines answer late under load.
func (o observedEngines) observe(server pool.Server, err error) {
	lost, ok := errors.AsType[*rest.LostError](err)
	if !ok || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return
	}
	if _, denied := errors.AsType[*rest.NotPermittedError](lost.Err); !denied {
		o.pool.RecordLost(server)
	}
}
