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

// supplyEvery is the time between two looks at the platform's list of backend
// servers; a leaving one gets no new work after at most this time.
const supplyEvery = time.Second

// callTimeout bounds a call to the platform.
const callTimeout = 2 * time.Second

// dialer makes the HTTP clients of backend servers.
type dialer struct{}

func base(address string) string {
	if strings.Contains(address, "://") {
		return address
	}
	return "http://" + address
}

// Engine returns the client of a model engine.
func (dialer) Engine(address string) engine.Engine { return &engine.Client{Base: base(address)} }

// Service returns the client of a plain service.
func (dialer) Service(address string) service.Caller { return &service.Client{Base: base(address)} }

// watchSupply is the duty that keeps the list of this zone's backend servers
// and the part of it that this host is home to. During an outage of the
// platform the last list stays.
func (s *Server) watchSupply(ctx context.Context) {
	ticker := time.NewTicker(supplyEvery)
	defer ticker.Stop()
	var last []supply.Server
	for {
		call, stop := context.WithTimeout(ctx, callTimeout)
		if listed, err := s.supply.Servers(call, s.config.Settings.Zone); err == nil {
			last = listed
		}
		stop()
		s.assign(last)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// assign gives this host the backend servers whose home it is among the live
// hosts of its zone.
func (s *Server) assign(listed []supply.Server) {
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

// zoneServers joins the document's backend servers of a zone with those that
// the platform runs.
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
		kind, ok := kindOf(index, server.Pool)
		if ok && server.Zone == zone {
			all = append(all, home.Server{
				Name: server.Name, Pool: server.Pool, Kind: kind, Address: server.Address,
				Spot: server.Class == supply.Spot, Leaving: server.Leaving,
			})
		}
	}
	return all
}

func kindOf(index *document.Index, name string) (document.Kind, bool) {
	for _, kind := range []document.Kind{document.Engine, document.Service} {
		if _, ok := index.Pool(name, kind); ok {
			return kind, true
		}
	}
	return "", false
}

// weightsEvery is the time between two looks at the weight store, for models
// that steps of this host use.
const weightsEvery = time.Second

// releases knows the newest weight version of each model that was asked for.
type releases struct {
	store weightstore.Store

	mu     sync.Mutex
	newest map[string]uint64
}

func newReleases(store weightstore.Store) *releases {
	return &releases{store: store, newest: make(map[string]uint64)}
}

// Newest returns the newest version that is known, zero before the first look.
func (w *releases) Newest(model string) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	version, ok := w.newest[model]
	if !ok {
		w.newest[model] = 0
	}
	return version
}

func (w *releases) run(ctx context.Context) {
	ticker := time.NewTicker(weightsEvery)
	defer ticker.Stop()
	for {
		for _, model := range w.models() {
			w.look(ctx, model)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (w *releases) models() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var models []string
	for model := range w.newest {
		models = append(models, model)
	}
	return models
}

func (w *releases) look(ctx context.Context, model string) {
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
