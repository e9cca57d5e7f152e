package server

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/backend/service"
	"github.com/hyssopwall/hyssopwall/internal/entry/route"
	"github.com/hyssopwall/hyssopwall/internal/host/home"
	"github.com/hyssopwall/hyssopwall/internal/platform/supply"
	"github.com/hyssopwall/hyssopwall/internal/platform/weightstore"
	"github.com/hyssopwall/hyssopwall/internal/site/document"
)

// supplyInterval is the time between two reads of the platform's list of backend
// servers. A server that the platform lists as leaving gets new work until the next
// successful read.
const supplyInterval = time.Second

// callTimeout limits one call to the platform.
const callTimeout = 2 * time.Second

// dialer creates the HTTP clients of backend servers.
type dialer struct{}

// baseURL returns the base URL of an address, which may lack the scheme.
func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return address
	}
	return "http://" + address
}

// Engine returns the client of a model engine.
func (dialer) Engine(address string) engine.Engine { return &engine.Client{Base: baseURL(address)} }

// Service returns the client of a plain service.
func (dialer) Service(address string) service.Caller { return &service.Client{Base: baseURL(address)} }

// watchSupply reads this zone's backend servers from the platform until ctx ends,
// and assigns those that this host is home to. During an outage of the platform it
// goes on with the last list.
func (s *Server) watchSupply(ctx context.Context) {
	ticker := time.NewTicker(supplyInterval)
	defer ticker.Stop()
	var last []supply.Server
	for {
		call, stop := context.WithTimeout(ctx, callTimeout)
		if listed, err := s.supply.Servers(call, s.config.Settings.Zone); err == nil {
			last = listed
		}
		stop()
		s.assignServers(last)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// assignServers gives the home the backend servers that the assignment among the live
// hosts of the zone maps to this host.
func (s *Server) assignServers(listed []supply.Server) {
	index := s.index.Load()
	if index == nil {
		return
	}
	homes := route.NewHomes(s.peers.zoneHosts())
	var own []home.Server
	for _, server := range zoneServers(index, s.config.Settings.Zone, listed) {
		if homes.HomeOf(server.Name) == s.config.Settings.Host {
			own = append(own, server)
		}
	}
	s.home.SetServers(own)
}

// zoneServers returns the backend servers of a zone: those of the document and those
// that the platform runs.
func zoneServers(index *document.Index, zone string, listed []supply.Server) []home.Server {
	var all []home.Server
	for _, pool := range index.Document.Pools {
		for _, server := range pool.Servers {
			if server.Zone == zone {
				all = append(all, home.Server{
					Name: server.Name, Pool: pool.Name, Kind: pool.Kind, Address: server.Address, Spot: server.Class == "spot",
				})
			}
		}
	}
	for _, server := range listed {
		kind, ok := poolKind(index, server.Pool)
		if ok && server.Zone == zone {
			all = append(all, home.Server{
				Name: server.Name, Pool: server.Pool, Kind: kind, Address: server.Address,
				Spot: server.Class == supply.Spot, Leaving: server.Leaving,
			})
		}
	}
	return all
}

// poolKind returns the kind of the pool with the given name, false if the document has
// no such pool.
func poolKind(index *document.Index, name string) (document.Kind, bool) {
	for _, kind := range []document.Kind{document.Engine, document.Service} {
		if _, ok := index.Pool(name, kind); ok {
			return kind, true
		}
	}
	return "", false
}

// weightsInterval is the time between two reads of the weight store, for the models
// that steps of this host use.
const weightsInterval = time.Second

// weightsVersions polls the weight store for the newest version of each model that
// Newest was called with.
type weightsVersions struct {
	store weightstore.Store

	mu     sync.Mutex
	newest map[string]uint64
}

// newWeightsVersions returns weights versions that are read from store by run.
func newWeightsVersions(store weightstore.Store) *weightsVersions {
	return &weightsVersions{store: store, newest: make(map[string]uint64)}
}

// Newest returns the newest known version of a model, and zero before the first read.
// The first call for a model adds it to the polled ones.
func (w *weightsVersions) Newest(model string) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	version, ok := w.newest[model]
	if !ok {
		w.newest[model] = 0
	}
	return version
}

// run reads the newest versions of the polled models until ctx ends.
func (w *weightsVersions) run(ctx context.Context) {
	ticker := time.NewTicker(weightsInterval)
	defer ticker.Stop()
	for {
		for _, model := range w.models() {
			w.refresh(ctx, model)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// models returns the polled models.
func (w *weightsVersions) models() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var models []string
	for model := range w.newest {
		models = append(models, model)
	}
	return models
}

// refresh reads the newest version of a model. An error leaves the known one.
func (w *weightsVersions) refresh(ctx context.Context, model string) {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	release, err := w.store.Newest(ctx, model)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.newest[model] = max(w.newest[model], release.Version)
}
