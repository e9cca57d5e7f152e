// Package metering counts the usage of the requests that this host serves, keeps copies
// of other hosts' counters, and seals and reports usage windows while this host holds
// the usage duty.
package metering

import (
	"context"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/billing/usage"
	"github.com/hyssopwall/hyssopwall/internal/fleet/identity"
	"github.com/hyssopwall/hyssopwall/internal/fleet/link"
	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
	"github.com/hyssopwall/hyssopwall/internal/host/dispatch"
	"github.com/hyssopwall/hyssopwall/internal/host/reach"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/platform/report"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// The kinds of calls between hosts.
const (
	copyKind    = "usage.copy"
	collectKind = "usage.collect"
	coverKind   = "usage.cover"
)

// Config is the configuration of the metering of a host. CopyHosts returns the other
// hosts that may keep copies of its counters, the preferred ones first. LiveHosts returns
// all live hosts, this one included.
type Config struct {
	Caller    reach.Caller
	Store     object.Store
	Sink      report.Sink
	Leases    usage.Leases
	CopyHosts func() []view.Member
	LiveHosts func() []view.Member
	Now       func() time.Time
	Log       event.Log
}

// Metering meters the usage of a host. Use New, then Run.
type Metering struct {
	meter  *usage.Meter
	sealer *usage.Sealer
}

// New returns the metering of a host and starts to answer other hosts' calls about it.
func New(config Config) *Metering {
	m := &Metering{}
	peers := peers{caller: config.Caller, local: m}
	m.meter = &usage.Meter{
		Self: config.Caller.Self, Peers: peers, Hosts: config.CopyHosts, Alive: config.Caller.Alive, Now: config.Now,
	}
	m.sealer = &usage.Sealer{
		Self: config.Caller.Self, Store: config.Store, Sink: config.Sink, Leases: config.Leases,
		Peers: peers, Hosts: config.LiveHosts, Now: config.Now, Log: config.Log,
	}
	m.serve(config.Caller.Endpoint)
	return m
}

// Run replicates the counters, and seals windows while this host holds the usage duty,
// until ctx ends.
func (m *Metering) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { m.meter.Run(ctx) })
	group.Go(func() { m.sealer.Run(ctx) })
	group.Wait()
}

// Count counts the usage of a request and waits until other hosts have stored the count.
// After an error the usage is counted too, but too few other hosts may have stored it.
func (m *Metering) Count(ctx context.Context, used dispatch.Usage) error {
	return m.meter.Add(ctx, used.Workspace, usage.Count{Requests: used.Requests, Tokens: used.Tokens, Samples: used.Samples})
}

// Delivered counts samples that were delivered to a trainer, and their tokens. It waits and
// fails as Count does.
func (m *Metering) Delivered(ctx context.Context, workspace string, samples, tokens uint64) error {
	return m.meter.Add(ctx, workspace, usage.Count{Samples: samples, Tokens: tokens})
}

// UnderReplicated returns the number of counts, since the host started, that were stored by
// too few hosts.
func (m *Metering) UnderReplicated() uint64 { return m.meter.UnderReplicated.Load() }

// serve answers the calls of other hosts.
func (m *Metering) serve(endpoint *link.Endpoint) {
	link.Serve(endpoint, copyKind, func(_ context.Context, _ identity.Host, q usage.Copy) (reach.None, error) {
		m.meter.Copy(q)
		return reach.None{}, nil
	})
	link.Serve(endpoint, collectKind, func(_ context.Context, _ identity.Host, q open) (usage.Holdings, error) {
		return m.meter.Collect(q.Window), nil
	})
	link.Serve(endpoint, coverKind, func(_ context.Context, _ identity.Host, q usage.Cover) (reach.None, error) {
		m.meter.Cover(q)
		return reach.None{}, nil
	})
}

// open is the request of a Collect call, which asks a host for the counters that it holds
// and that are not sealed yet. Window is the sealer's current window.
type open struct {
	Window usage.Window `cbor:"1,keyasint"`
}

// Check accepts every window.
func (open) Check() error { return nil }

// peers implements usage.Peers with calls over the links. Collect and Cover calls to
// this host itself go to the local meter.
type peers struct {
	caller reach.Caller
	local  *Metering
}

// Copy sends counters to a host that keeps copies.
func (p peers) Copy(ctx context.Context, to view.Member, q usage.Copy) error {
	_, err := reach.Call[usage.Copy, reach.None](ctx, p.caller, to, copyKind, q)
	return err
}

// Collect returns the counters of a host that are not sealed yet.
func (p peers) Collect(ctx context.Context, from view.Member, window usage.Window) (usage.Holdings, error) {
	if from == p.caller.Self {
		return p.local.meter.Collect(window), nil
	}
	return reach.Call[open, usage.Holdings](ctx, p.caller, from, collectKind, open{Window: window})
}

// Cover tells a host which counters are sealed.
func (p peers) Cover(ctx context.Context, to view.Member, q usage.Cover) error {
	if to == p.caller.Self {
		p.local.meter.Cover(q)
		return nil
	}
	_, err := reach.Call[usage.Cover, reach.None](ctx, p.caller, to, coverKind, q)
	return err
}
