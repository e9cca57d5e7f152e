package dispatch

import (
	"context"

	"github.com/hyssopwall/hyssopwall/internal/entry/route"
	"github.com/hyssopwall/hyssopwall/internal/host/forward"
)

// prefixBytes is the length of a prompt's start by which its home is chosen.
const prefixBytes = 256

// place is where a leg of a request goes: the home host itself, or a host of
// another zone that chooses one.
type place struct {
	host    string
	address string
	relay   bool
}

// choose returns where a task goes. Hosts in avoid are not chosen.
func (d *Dispatcher) choose(task forward.Task, avoid []string) (place, bool) {
	if zone, ok := d.spill(task, avoid); ok {
		return zone, true
	}
	host, ok := d.config.Picker.Pick(d.config.Now(), task.Pool, task.Workspace, prefixOf(task), avoid...)
	if !ok {
		return d.anyZone(task.Pool, avoid)
	}
	if host == d.config.Host {
		return place{host: host}, true
	}
	address, ok := d.config.Fleet.Address(host)
	if !ok {
		return place{}, false
	}
	return place{host: host, address: address}, true
}

// spill chooses another zone when its wait and the hop beat the wait here.
func (d *Dispatcher) spill(task forward.Task, avoid []string) (place, bool) {
	now := d.config.Now()
	own := d.config.Picker.Total(now, d.config.Zone, task.Pool)
	if own.Slots == 0 {
		return place{}, false
	}
	zone := route.SpilloverZone(now, task.Workspace, own, d.config.Fleet.Hops(task.Pool))
	if zone == "" {
		return place{}, false
	}
	return d.gateway(zone, avoid)
}

// anyZone chooses the zone with the least wait when this one has no home.
func (d *Dispatcher) anyZone(pool string, avoid []string) (place, bool) {
	for _, hop := range d.config.Fleet.Hops(pool) {
		if hop.Total.Slots == 0 {
			continue
		}
		if p, ok := d.gateway(hop.Total.Zone, avoid); ok {
			return p, true
		}
	}
	return place{}, false
}

func (d *Dispatcher) gateway(zone string, avoid []string) (place, bool) {
	for _, name := range avoid {
		if name == zone {
			return place{}, false
		}
	}
	address, ok := d.config.Fleet.Gateway(zone)
	return place{host: zone, address: address, relay: true}, ok
}

func prefixOf(task forward.Task) uint64 {
	if task.Engine == nil {
		return 0
	}
	start := task.Engine.Prompt[:min(len(task.Engine.Prompt), prefixBytes)]
	hashes := route.PrefixHashes(start, prefixBytes)
	if len(hashes) == 0 {
		return 0
	}
	return hashes[0]
}

// Run runs a task that another host forwarded: here when this host is its
// home, or, for a relayed one, at a home of this zone.
func (d *Dispatcher) Run(ctx context.Context, task forward.Task, sink func(forward.Item) error) error {
	if !task.Relay {
		return d.config.Local.Run(ctx, task, sink)
	}
	task.Relay = false
	host, ok := d.config.Picker.Pick(d.config.Now(), task.Pool, task.Workspace, prefixOf(task))
	if !ok {
		return &forward.Error{Code: forward.CodeNoServer, Message: "no home of " + task.Pool + " in this zone", Ran: "no"}
	}
	if host == d.config.Host {
		return d.config.Local.Run(ctx, task, sink)
	}
	address, ok := d.config.Fleet.Address(host)
	if !ok {
		return &forward.Error{Code: forward.CodeLink, Message: "home not reachable", Ran: "no"}
	}
	return d.config.Remote.Run(ctx, address, task, sink)
}

func (d *Dispatcher) send(ctx context.Context, to place, task forward.Task, sink func(forward.Item) error) error {
	if to.address == "" {
		return d.config.Local.Run(ctx, task, sink)
	}
	task.Relay = to.relay
	return d.config.Remote.Run(ctx, to.address, task, sink)
}
