package dispatch

import (
	"context"

	"github.com/hyssopwall/hyssopwall/internal/entry/route"
	"github.com/hyssopwall/hyssopwall/internal/host/forward"
)

// prefixBytes is the length of the prompt prefix whose hash selects the home host.
const prefixBytes = 256

// target is the destination of one attempt: a home host of this zone, or a host of
// another zone that forwards the task to a home there.
type target struct {
	name    string // the home host or, with relay, the zone
	address string // the link address; empty for this host
	relay   bool
}

// choose returns the target of a task. Hosts and zones in avoid are not chosen. It
// returns false when no target is left or the chosen host is not live.
func (d *Dispatcher) choose(task forward.Task, avoid []string) (target, bool) {
	if remote, ok := d.spilloverTarget(task, avoid); ok {
		return remote, true
	}
	host, ok := d.config.Picker.Pick(d.config.Now(), task.Pool, task.Workspace, prefixHash(task), avoid...)
	if !ok {
		return d.otherZone(task.Pool, avoid)
	}
	if host == d.config.Host {
		return target{name: host}, true
	}
	address, ok := d.config.Fleet.Address(host)
	if !ok {
		return target{}, false
	}
	return target{name: host, address: address}, true
}

// spilloverTarget returns another zone if the wait there plus the delay of the hop is
// enough shorter than the wait in this zone (see route.SpilloverZone). It returns false
// while this zone has no slots at all for the pool: otherZone covers that case.
func (d *Dispatcher) spilloverTarget(task forward.Task, avoid []string) (target, bool) {
	now := d.config.Now()
	local := d.config.Picker.Total(now, d.config.Zone, task.Pool)
	if local.Slots == 0 {
		return target{}, false
	}
	zone := route.SpilloverZone(now, task.Workspace, local, d.config.Fleet.Hops(task.Pool))
	if zone == "" {
		return target{}, false
	}
	return d.zoneTarget(zone, avoid)
}

// otherZone returns the other zone with the most free slots for a pool, apart from zones
// in avoid and zones without a live host. It is used when no home in this zone is left for
// the pool.
func (d *Dispatcher) otherZone(pool string, avoid []string) (target, bool) {
	for _, hop := range d.config.Fleet.Hops(pool) {
		if hop.Total.Slots == 0 {
			continue
		}
		if to, ok := d.zoneTarget(hop.Total.Zone, avoid); ok {
			return to, true
		}
	}
	return target{}, false
}

// zoneTarget returns a host of another zone that relays to a home there. It returns
// false when the zone is in avoid or none of its hosts is live.
func (d *Dispatcher) zoneTarget(zone string, avoid []string) (target, bool) {
	for _, name := range avoid {
		if name == zone {
			return target{}, false
		}
	}
	address, ok := d.config.Fleet.Gateway(zone)
	return target{name: zone, address: address, relay: true}, ok
}

// prefixHash returns the hash of the first prefixBytes of a task's prompt, zero for a
// task without a prompt of that length.
func prefixHash(task forward.Task) uint64 {
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

// Run runs a task that another host forwarded. A relayed task runs at a home of this
// zone, any other on this host.
func (d *Dispatcher) Run(ctx context.Context, task forward.Task, sink func(forward.Item) error) error {
	if !task.Relay {
		return d.config.Local.Run(ctx, task, sink)
	}
	task.Relay = false
	host, ok := d.config.Picker.Pick(d.config.Now(), task.Pool, task.Workspace, prefixHash(task))
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

// send runs a task at its target and passes the items of the answer to sink.
func (d *Dispatcher) send(ctx context.Context, to target, task forward.Task, sink func(forward.Item) error) error {
	if to.address == "" {
		return d.config.Local.Run(ctx, task, sink)
	}
	task.Relay = to.relay
	return d.config.Remote.Run(ctx, to.address, task, sink)
}
