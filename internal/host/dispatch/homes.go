package dispatch

import (
	"context"

	"github.com/hyssopwall/hyssopwall/internal/entry/route"
	"github.com/hyssopwall/hyssopwall/internal/host/forward"
)

// Homes returns the summaries of the live homes of a pool in this zone, and
// one for each other zone that serves it.
func (d *Dispatcher) Homes(pool string) []route.Summary {
	homes := d.config.Picker.LiveSummaries(d.config.Now(), pool)
	for _, hop := range d.config.Fleet.Hops(pool) {
		homes = append(homes, hop.Total)
	}
	return homes
}

// RunAt runs a task at a home of this zone, or at any home of another zone,
// whichever the name means.
func (d *Dispatcher) RunAt(ctx context.Context, host string, task forward.Task, sink func(forward.Item) error) error {
	to, ok := d.placeOf(host)
	if !ok {
		return &forward.Error{Code: forward.CodeLink, Message: host + " can't be reached", Ran: "no"}
	}
	d.config.Picker.CountSent(task.Pool, host)
	return d.send(ctx, to, task, sink)
}

func (d *Dispatcher) placeOf(host string) (place, bool) {
	if host == d.config.Host {
		return place{host: host}, true
	}
	if address, ok := d.config.Fleet.Address(host); ok {
		return place{host: host, address: address}, true
	}
	return d.gateway(host, nil)
}
