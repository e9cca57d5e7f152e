package dispatch

import (
	"context"

	"github.com/hyssopwall/hyssopwall/internal/entry/route"
	"github.com/hyssopwall/hyssopwall/internal/host/forward"
)

// Homes returns the summaries of the live homes of a pool in this zone, and one summary
// for each other zone that serves the pool.
func (d *Dispatcher) Homes(pool string) []route.Summary {
	homes := d.config.Picker.LiveSummaries(d.config.Now(), pool)
	for _, hop := range d.config.Fleet.Hops(pool) {
		homes = append(homes, hop.Total)
	}
	return homes
}

// RunAt runs a task at the named home host of this zone or, when host is the name of
// another zone, at any home there. If no host can be reached under the name, it returns a
// *forward.Error with CodeLink.
func (d *Dispatcher) RunAt(ctx context.Context, host string, task forward.Task, sink func(forward.Item) error) error {
	to, ok := d.targetOf(host)
	if !ok {
		return &forward.Error{Code: forward.CodeLink, Message: host + " can't be reached", Ran: "no"}
	}
	d.config.Picker.CountSent(task.Pool, host)
	return d.send(ctx, to, task, sink)
}

// targetOf returns the target for the name of a host or of another zone. It returns false
// if there is no live host under the name.
func (d *Dispatcher) targetOf(host string) (target, bool) {
	if host == d.config.Host {
		return target{name: host}, true
	}
	if address, ok := d.config.Fleet.Address(host); ok {
		return target{name: host, address: address}, true
	}
	return d.zoneTarget(host, nil)
}
