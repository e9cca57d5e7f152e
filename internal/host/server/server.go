// Package server assembles one host: the API for callers, the request path, the home
// of its backend servers, training steps, the exchange with the other hosts, and the duties
// that one host of the fleet holds at a time.
package server

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopwall/hyssopwall/internal/billing/burn"
	"github.com/hyssopwall/hyssopwall/internal/entry/callers"
	"github.com/hyssopwall/hyssopwall/internal/entry/gate"
	"github.com/hyssopwall/hyssopwall/internal/entry/poison"
	"github.com/hyssopwall/hyssopwall/internal/entry/quota"
	"github.com/hyssopwall/hyssopwall/internal/entry/route"
	"github.com/hyssopwall/hyssopwall/internal/fleet/identity"
	"github.com/hyssopwall/hyssopwall/internal/fleet/lease"
	"github.com/hyssopwall/hyssopwall/internal/fleet/link"
	"github.com/hyssopwall/hyssopwall/internal/fleet/spread"
	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
	"github.com/hyssopwall/hyssopwall/internal/host/api"
	"github.com/hyssopwall/hyssopwall/internal/host/claims"
	"github.com/hyssopwall/hyssopwall/internal/host/dispatch"
	"github.com/hyssopwall/hyssopwall/internal/host/forward"
	"github.com/hyssopwall/hyssopwall/internal/host/home"
	"github.com/hyssopwall/hyssopwall/internal/host/metering"
	"github.com/hyssopwall/hyssopwall/internal/host/reach"
	"github.com/hyssopwall/hyssopwall/internal/host/steps"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/platform/report"
	"github.com/hyssopwall/hyssopwall/internal/platform/supply"
	"github.com/hyssopwall/hyssopwall/internal/platform/weightstore"
	"github.com/hyssopwall/hyssopwall/internal/rollout/step"
	rollout "github.com/hyssopwall/hyssopwall/internal/rollout/weights"
	"github.com/hyssopwall/hyssopwall/internal/site/document"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
	"github.com/hyssopwall/hyssopwall/internal/site/settings"
)

// Limits of callers.
const (
	headerTimeout = 10 * time.Second // for reading the headers of a request
	idleTimeout   = 2 * time.Minute  // of a connection between two requests
	// bodyCopies is the number of copies of its body that a request has: as it arrived, joined,
	// decoded, and on the way to the home and the backend server.
	bodyCopies = 5
)

// Config is the configuration of a host.
type Config struct {
	Settings settings.Settings
	Identity *identity.Source
	Lease    lease.Config     // zero for the defaults
	Clock    func() time.Time // for usage windows; nil means time.Now
	Log      event.Log
	Socket   net.PacketConn // for the links to other hosts; nil to open one on Settings.Link
}

// Server is a running host. Use Start.
type Server struct {
	config     Config
	store      object.Store
	supply     supply.Supply
	endpoint   *link.Endpoint
	listener   net.Listener
	httpServer *http.Server

	callers  callers.Server
	gate     gate.Gate
	quota    quota.Limiter
	poison   poison.SuspectTable
	picker   route.Picker
	home     *home.Home
	dispatch *dispatch.Dispatcher
	steps    *steps.Steps
	weights  *weightsVersions
	peers    *peers
	leases   *lease.Holder
	rollouts *rollouts
	claims   *claims.Claims
	metering *metering.Metering
	burn     burn.Recorder
	index    atomic.Pointer[document.Index]
	spread   *spread.Runner
	draining atomic.Bool
	vars     expvar.Map
	requests expvar.Map
	refused  expvar.Map   // requests and connections that were refused to protect the host, by reason
	refusal  atomic.Int64 // time of the latest one in nanoseconds, zero for none

	incarnation uint64 // time of the start in nanoseconds; grows with each start unless the clock is set back
	ctx         context.Context
	cancel      context.CancelFunc
	loops       sync.WaitGroup // background goroutines
	done        chan struct{}
}

// Start starts a host. It listens for callers at once, and is ready when it has applied
// an accepted document.
func Start(config Config) (*Server, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{config: config, ctx: ctx, cancel: cancel, done: make(chan struct{}), incarnation: uint64(time.Now().UnixNano())}
	base := config.Settings.Platform
	s.store = &object.Client{Base: base, Source: config.Settings.Host}
	s.supply = &supply.Client{Base: base, Source: config.Settings.Host}
	var err error
	s.endpoint, err = link.Listen(link.Config{Address: config.Settings.Link, Socket: config.Socket, Identity: config.Identity, Log: config.Log})
	if err != nil {
		return nil, fmt.Errorf("listen for hosts: %w", err)
	}
	s.callers.Memory, s.callers.Files, s.callers.OnRefusal = config.Settings.MemoryBytes(), config.Settings.Files, s.countRefusal
	s.callers.WriteRefusal = api.WriteRefusal
	s.callers.SetLimits(callers.Limits{BodyBytes: api.MaxBody, BodyCopies: bodyCopies, HeadTimeout: headerTimeout, IdleTimeout: idleTimeout})
	s.listener, err = s.callers.Listen(config.Settings.Listen)
	if err != nil {
		_ = s.endpoint.Close()
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	s.build(base)
	s.startLoops()
	return s, nil
}

// build creates the components of the host and connects them. base is the address of
// the platform.
func (s *Server) build(base string) {
	set := s.config.Settings
	s.picker.Seed = xxhash.Sum64String(set.Host)
	s.weights = newWeightsVersions(&weightstore.Client{Base: base, Source: set.Host})
	s.home = home.New(home.Config{Host: set.Host, Zone: set.Zone, Dialer: dialer{}, Now: time.Now, Log: s.config.Log})
	s.spread = spread.Start(spread.Config{
		Endpoint: s.endpoint, Platform: s.store, Folder: spread.Folder{Path: set.DataFolder}, Log: s.config.Log,
	})
	s.peers = newPeers(s)
	s.leases = s.newHolder()
	caller := reach.Caller{Self: s.member(), Endpoint: s.endpoint, Fleet: s.peers}
	s.claims = claims.New(claims.Config{Zone: set.Zone, Store: s.store, Caller: caller, ShardHosts: s.peers.shardHosts})
	s.metering = metering.New(metering.Config{
		Caller: caller, Store: s.store, Sink: &report.Client{Base: base, Source: set.Host}, Leases: s.leases,
		CopyHosts: s.peers.usageCopyHosts, LiveHosts: s.peers.liveMembers, Now: s.usageClock(), Log: s.config.Log,
	})
	s.dispatch = dispatch.New(dispatch.Config{
		Host: set.Host, Zone: set.Zone, Gate: &s.gate, Quota: &s.quota, Picker: &s.picker, Poison: &s.poison,
		Local: s.home, Remote: forward.Remote{Endpoint: s.endpoint}, Fleet: s.peers,
		Claims: s.claims, Meter: s.metering, Observe: s.observeRequest, SpreadMarks: s.peers.broadcastMarks, Now: time.Now, Log: s.config.Log,
	})
	s.rollouts = &rollouts{server: s, duties: make(map[string]*rollout.Duty)}
	s.serveEngines()
	forward.Serve(s.endpoint, s.dispatch)
	s.publish()
	s.steps = steps.New(steps.Config{
		Host: set.Host, Store: s.store, Generator: s.generator, Scorer: s.scorer, Weights: s.weights,
		Gate: &s.gate, Fleet: s.peers, Endpoint: s.endpoint, Meter: s.metering, Observe: s.recordStep, Log: s.config.Log,
	})
	handler := (&api.Server{
		Callers: &s.callers,
		Gate:    &s.gate, Index: s.index.Load, CutOff: s.peers.cutOffSince, Now: time.Now,
		Dispatcher: s.dispatch, Steps: s.steps, Ready: s.ready, Vars: &s.vars,
		Status: func() any { return s.Status() }, Burn: s.burnSnapshot,
	}).Handler()
	s.httpServer = s.callers.HTTP(handler)
}

// startLoops starts the background goroutines and the HTTP server.
func (s *Server) startLoops() {
	ctx := s.ctx
	s.loops.Go(func() { s.watchDocument(ctx) })
	s.loops.Go(func() { s.watchSupply(ctx) })
	s.loops.Go(func() { s.peers.run(ctx) })
	s.loops.Go(func() { s.weights.run(ctx) })
	s.loops.Go(func() { s.leases.Run(ctx) })
	s.loops.Go(func() { s.claims.Run(ctx) })
	s.loops.Go(func() { s.metering.Run(ctx) })
	s.loops.Go(func() { s.expireConnections(ctx) })
	s.loops.Go(func() {
		if err := s.httpServer.Serve(callers.Listener{Listener: s.listener, Server: &s.callers, Connections: &s.callers.Connections}); !errors.Is(err, http.ErrServerClosed) {
			s.cancel()
		}
	})
}

// member identifies this process in the protocols between hosts.
func (s *Server) member() view.Member {
	return view.Member{Host: s.config.Settings.Host, Incarnation: s.incarnation}
}

// usageClock returns the clock for usage windows.
func (s *Server) usageClock() func() time.Time {
	if s.config.Clock != nil {
		return s.config.Clock
	}
	return time.Now
}

// Address returns the IP:port on which the host serves callers.
func (s *Server) Address() string { return s.listener.Addr().String() }

// LinkAddress returns the IP:port on which the host serves other hosts.
func (s *Server) LinkAddress() string { return s.endpoint.Address() }

// Done returns a channel that is closed when the host has stopped.
func (s *Server) Done() <-chan struct{} { return s.done }

// Shutdown stops the host gracefully: it becomes unready, refuses new work, hands over
// its leases and claim shards, and lets running requests end until ctx ends. It then
// stops its steps, which other hosts take over when their trainers ask.
func (s *Server) Shutdown(ctx context.Context) error {
	s.draining.Store(true)
	s.config.Log.Emit(event.HostDraining, "host", s.config.Settings.Host)
	s.peers.announceLeaving(ctx)
	handed := s.handOver(ctx)
	err := s.httpServer.Shutdown(ctx)
	s.waitIdle(ctx)
	<-handed
	s.stop()
	return err
}

// handOverTimeout limits the hand-over of duties and shards, which needs the platform
// and must not use up the time for running requests.
const handOverTimeout = 10 * time.Second

// handOver releases this host's leases and claim shards while its last requests still
// run. Without it, the next holder would wait until this host counts as failed. The
// returned channel is closed when the hand-over has ended.
func (s *Server) handOver(ctx context.Context) <-chan struct{} {
	ctx, stop := context.WithTimeout(ctx, handOverTimeout)
	var group sync.WaitGroup
	group.Go(func() { _ = s.leases.Release(ctx) })
	group.Go(func() { s.claims.HandOver(ctx) })
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer stop()
		group.Wait()
	}()
	return done
}

// waitIdle waits until no request waits or runs at this home, including those of other
// hosts, or until ctx ends.
func (s *Server) waitIdle(ctx context.Context) {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for s.home.Running() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Kill stops the host without draining it or handing anything over, like a crash.
func (s *Server) Kill() {
	_ = s.httpServer.Close()
	s.stop()
}

// stop ends all components and background goroutines.
func (s *Server) stop() {
	s.cancel()
	s.rollouts.close()
	_ = s.spread.Close()
	_ = s.endpoint.Close()
	s.steps.Close()
	s.home.Close()
	s.loops.Wait()
	s.config.Log.Emit(event.HostStopped, "host", s.config.Settings.Host)
	close(s.done)
}

// notReadyError is the reason why a host accepts no new requests.
type notReadyError struct {
	reason string
}

func (e *notReadyError) Error() string { return e.reason }

// ready returns a *notReadyError while the host is draining or has no document.
func (s *Server) ready() error {
	switch {
	case s.draining.Load():
		return &notReadyError{reason: "the host stops"}
	case s.index.Load() == nil:
		return &notReadyError{reason: "no configuration yet"}
	}
	return nil
}

// generator returns the generator for the steps of a workspace.
func (s *Server) generator(workspace string) step.Generator {
	return &steps.Generator{Workspace: workspace, Homes: s.dispatch, Weights: s.weights, MaxSampleAge: func(model string) uint64 {
		if index := s.index.Load(); index != nil {
			pool, _ := index.Pool(model, document.Engine)
			return pool.MaxSampleAge
		}
		return 0
	}}
}

// scorer returns the client of a scoring service for the steps of a workspace.
func (s *Server) scorer(workspace, name string) step.Scorer {
	return &steps.Scorer{Workspace: workspace, Service: name, Index: s.index.Load, Invoker: s.dispatch, Now: time.Now}
}
