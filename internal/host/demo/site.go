// Package demo runs a complete site in one process: simulated outside systems (platform,
// engines, services), several hosts on loopback, and the workloads of the two example
// deployments. A run checks the promises of hyssopwall to its users and reports how often
// each was broken.
package demo

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/identity"
	"github.com/hyssopwall/hyssopwall/internal/host/server"
	"github.com/hyssopwall/hyssopwall/internal/platform/hostlist"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/platform/supply"
	"github.com/hyssopwall/hyssopwall/internal/site/document"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
	"github.com/hyssopwall/hyssopwall/internal/site/form"
	"github.com/hyssopwall/hyssopwall/internal/site/settings"
	"github.com/hyssopwall/hyssopwall/internal/standin/engine"
	"github.com/hyssopwall/hyssopwall/internal/standin/fault"
	"github.com/hyssopwall/hyssopwall/internal/standin/network"
	"github.com/hyssopwall/hyssopwall/internal/standin/platform"
	"github.com/hyssopwall/hyssopwall/internal/standin/scorer"
	"github.com/hyssopwall/hyssopwall/internal/standin/service"
	"github.com/hyssopwall/hyssopwall/internal/standin/supplier"
)

// certificateLifetime is the validity of the certificates that a demo issues.
const certificateLifetime = 24 * time.Hour

// Options describes a site: its document, the number of hosts and backend servers, and the
// settings of the simulated systems.
type Options struct {
	Document     []byte
	HostsPerZone int
	Servers      map[string]int // backend servers of each pool, over all zones
	Engine       engine.Settings
	Scorers      map[string]bool // service pools that score samples
	Service      service.Settings
	Platform     platform.Settings
	Clock        func() time.Time // clock of the usage windows; nil means time.Now
	Log          event.Log
}

// Site is a running site. Its methods start, stop and disconnect hosts.
type Site struct {
	Platform *platform.Platform // simulated
	Supplier *supplier.Supplier // starts the simulated backend servers
	Store    object.Store       // client of the platform's object store
	Document document.Document

	Network *network.Net // carries the traffic between the hosts

	options   Options
	authority identity.Pair

	mu    sync.Mutex
	hosts map[string]*server.Server // running hosts, by name
	zones map[string]string         // zone of each host, also of stopped ones, by name
}

// Start starts a site and waits until every host is ready. The caller must close it,
// unless Start returns an error.
func Start(ctx context.Context, options Options) (*Site, error) {
	doc, err := document.Decode("document", options.Document)
	if err != nil {
		return nil, err
	}
	authority, err := identity.CreateAuthority(time.Now(), certificateLifetime)
	if err != nil {
		return nil, err
	}
	s := &Site{
		options: options, Document: doc, authority: authority, Network: &network.Net{},
		hosts: make(map[string]*server.Server), zones: make(map[string]string),
	}
	if err := s.start(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// start starts the platform and the hosts of each zone and waits for them.
func (s *Site) start(ctx context.Context) error {
	if err := s.startPlatform(ctx); err != nil {
		return err
	}
	for _, zone := range s.Document.Zones {
		for i := range s.options.HostsPerZone {
			if err := s.StartHost(fmt.Sprintf("%s-%d", zone.Name, i+1), zone.Name); err != nil {
				return err
			}
		}
	}
	return s.WaitReady(ctx)
}

// startPlatform starts the platform, publishes a first version of each engine pool's
// weights, submits the document and orders the backend servers.
func (s *Site) startPlatform(ctx context.Context) error {
	s.Supplier = &supplier.Supplier{Pools: s.poolSettings()}
	set := s.options.Platform
	set.Starter = s.Supplier
	s.Platform = platform.New(set)
	if err := s.Platform.Start("127.0.0.1:0"); err != nil {
		return err
	}
	// The engines load weights from the platform, whose address is known only now.
	for _, pool := range s.Supplier.Pools {
		if pool.Engine != nil {
			pool.Engine.Weights = s.Platform.URL()
		}
	}
	s.Store = &object.Client{Base: s.Platform.URL()}
	for _, pool := range s.Document.Pools {
		if pool.Kind == document.Engine {
			s.Platform.Publish(pool.Name)
		}
	}
	if _, err := server.Submit(ctx, s.Store, "demo", 0, s.options.Document); err != nil {
		return err
	}
	return s.orderServers(ctx)
}

// poolSettings returns the settings of the backend servers of each pool. Each pool gets
// its own fault script.
func (s *Site) poolSettings() map[string]supplier.Pool {
	pools := make(map[string]supplier.Pool)
	for _, pool := range s.Document.Pools {
		switch {
		case pool.Kind == document.Engine:
			set := s.options.Engine
			set.Model, set.Version = pool.Name, 1
			set.Faults = &fault.Script{}
			pools[pool.Name] = supplier.Pool{Engine: &set}
		case s.options.Scorers[pool.Name]:
			set := service.Settings{Answer: scorer.Answer, Faults: &fault.Script{}}
			pools[pool.Name] = supplier.Pool{Service: &set}
		default:
			set := s.options.Service
			set.Faults = &fault.Script{}
			pools[pool.Name] = supplier.Pool{Service: &set}
		}
	}
	return pools
}

// orderServers orders the initial backend servers of each pool, spread evenly over the
// zones.
func (s *Site) orderServers(ctx context.Context) error {
	client := &supply.Client{Base: s.Platform.URL()}
	zones := s.Document.Zones
	for _, pool := range s.Document.Pools {
		count := s.options.Servers[pool.Name]
		for i, zone := range zones {
			share := (count + len(zones) - 1 - i) / len(zones)
			order := supply.Order{ID: pool.Name + "-" + zone.Name, Zone: zone.Name, Pool: pool.Name, Class: supply.OnDemand, Count: share, Epoch: 1}
			if share == 0 {
				continue
			}
			if err := client.Place(ctx, order); err != nil {
				return err
			}
		}
	}
	return nil
}

// StartHost starts a host in a zone with a new certificate and registers its address with
// the platform. A host that was stopped can be started again under its name; the name of a
// running host must not be used again.
func (s *Site) StartHost(name, zone string) error {
	host := identity.Host{Name: name, Zone: zone}
	pair, err := identity.Issue(s.authority, host, time.Now(), certificateLifetime)
	if err != nil {
		return err
	}
	material, err := identity.ParseCredentials(pair, s.authority.Certificate)
	if err != nil {
		return err
	}
	socket, err := s.Network.Listen(zone, "127.0.0.1:0")
	if err != nil {
		return err
	}
	started, err := server.Start(server.Config{
		Settings: settings.Settings{
			Host: name, Zone: zone, Listen: "127.0.0.1:0", Link: "127.0.0.1:0", Platform: s.Platform.URL(),
			DrainTimeout: form.Duration(5 * time.Second),
		},
		Identity: identity.FixedSource(material, time.Now, s.options.Log),
		Clock:    s.options.Clock,
		Socket:   socket,
		Log:      s.options.Log,
	})
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.hosts[name], s.zones[name] = started, zone
	s.mu.Unlock()
	s.Platform.SetHost(hostlist.Host{Name: name, Zone: zone, Address: started.LinkAddress()})
	return nil
}

// Host returns a running host, or nil.
func (s *Site) Host(name string) *server.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts[name]
}

// Hosts returns a copy of the map of running hosts, by name.
func (s *Site) Hosts() map[string]*server.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]*server.Server, len(s.hosts))
	for name, host := range s.hosts {
		all[name] = host
	}
	return all
}

// HostNames returns the sorted names of the running hosts of a zone, or of all zones
// for "".
func (s *Site) HostNames(zone string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.hosts {
		if zone == "" || s.zones[name] == zone {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// CutPlatform disconnects every running host of a zone from the platform if cut is set,
// and reconnects it if not.
func (s *Site) CutPlatform(zone string, cut bool) {
	for _, name := range s.HostNames(zone) {
		s.Platform.Cut(name, cut)
	}
}

// CutZone drops all traffic between the hosts of a zone and those of all other zones if cut
// is set, and delivers it again if not.
func (s *Site) CutZone(zone string, cut bool) {
	for _, other := range s.Document.Zones {
		if other.Name != zone {
			s.Network.Cut(zone, other.Name, cut)
		}
	}
}

// URLs returns the base URLs that the running hosts serve callers at, in no fixed order.
func (s *Site) URLs() []string {
	var urls []string
	for _, host := range s.Hosts() {
		urls = append(urls, "http://"+host.Address())
	}
	return urls
}

// KillHost stops a host at once, as a crash would, without draining.
func (s *Site) KillHost(name string) {
	if host := s.removeHost(name); host != nil {
		host.Kill()
	}
}

// StopHost drains and stops a host. It does nothing if the host isn't running.
func (s *Site) StopHost(ctx context.Context, name string) error {
	host := s.removeHost(name)
	if host == nil {
		return nil
	}
	return host.Shutdown(ctx)
}

// removeHost removes a host from the running hosts and returns it, or nil.
func (s *Site) removeHost(name string) *server.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	host := s.hosts[name]
	delete(s.hosts, name)
	return host
}

// readyPollInterval is the time between two checks whether the hosts are ready.
const readyPollInterval = 20 * time.Millisecond

// WaitReady waits until every host is ready and knows a backend server of each pool for
// which Options.Servers lists some. It returns an error when ctx ends before.
func (s *Site) WaitReady(ctx context.Context) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for {
		if s.ready() {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait until all hosts are ready: %w", ctx.Err())
		case <-ticker.C:
		}
	}
}

// ready reports whether every host can serve every pool in populatedPools.
func (s *Site) ready() bool {
	for _, host := range s.Hosts() {
		if !host.Serves(s.populatedPools()) {
			return false
		}
	}
	return true
}

// populatedPools returns the names of the pools for which Options.Servers lists backend
// servers, whether or not these still run.
func (s *Site) populatedPools() []string {
	var pools []string
	for _, pool := range s.Document.Pools {
		if s.options.Servers[pool.Name] > 0 {
			pools = append(pools, pool.Name)
		}
	}
	return pools
}

// Close kills all hosts in parallel and then stops the simulated systems.
func (s *Site) Close() {
	var group sync.WaitGroup
	for name := range s.Hosts() {
		group.Go(func() { s.KillHost(name) })
	}
	group.Wait()
	if s.Platform != nil {
		s.Platform.Close()
	}
	if s.Supplier != nil {
		s.Supplier.Close()
	}
}
