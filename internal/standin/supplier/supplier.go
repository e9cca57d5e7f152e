// Package supplier starts the backend servers that the platform stand-in supplies. They
// run in the same process and listen on the loopback interface.
package supplier

import (
	"fmt"
	"strings"
	"sync"

	"github.com/hyssopwall/hyssopwall/internal/platform/supply"
	"github.com/hyssopwall/hyssopwall/internal/standin/engine"
	"github.com/hyssopwall/hyssopwall/internal/standin/service"
)

// Pool holds the settings for the servers of a pool. Exactly one of Engine and Service
// is set. Each server gets a shallow copy of them, so that all share Faults; the name of
// an engine is that of its server.
type Pool struct {
	Engine  *engine.Settings
	Service *service.Settings
}

// UnknownPoolError reports that no pool has the name, or that it has no settings.
type UnknownPoolError struct {
	Name string
}

func (e *UnknownPoolError) Error() string { return fmt.Sprintf("no pool %s", e.Name) }

// Supplier starts and stops backend servers; it implements platform.Starter. Pools must
// not change after the first use.
type Supplier struct {
	Pools map[string]Pool

	mu       sync.Mutex
	engines  map[string]*engine.Engine
	services map[string]*service.Service
}

// Start starts a server on a free port and returns its address as IP:port. It returns an
// *UnknownPoolError if there are no settings for the server's pool.
func (s *Supplier) Start(server supply.Server) (string, error) {
	pool, found := s.Pools[server.Pool]
	switch {
	case found && pool.Engine != nil:
		return s.startEngine(server.Name, *pool.Engine)
	case found && pool.Service != nil:
		return s.startService(server.Name, *pool.Service)
	}
	return "", &UnknownPoolError{server.Pool}
}

func (s *Supplier) startEngine(name string, settings engine.Settings) (string, error) {
	settings.Name = name
	started := engine.New(settings)
	if err := started.Start("127.0.0.1:0"); err != nil {
		return "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.engines == nil {
		s.engines = make(map[string]*engine.Engine)
	}
	s.engines[name] = started
	return address(started.URL()), nil
}

func (s *Supplier) startService(name string, settings service.Settings) (string, error) {
	started := service.New(settings)
	if err := started.Start("127.0.0.1:0"); err != nil {
		return "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.services == nil {
		s.services = make(map[string]*service.Service)
	}
	s.services[name] = started
	return address(started.URL()), nil
}

// address returns the IP:port of a base URL.
func address(url string) string { return strings.TrimPrefix(url, "http://") }

// Stop stops a server at once. Unknown names are ignored.
func (s *Supplier) Stop(name string) {
	s.mu.Lock()
	stoppedEngine, stoppedService := s.engines[name], s.services[name]
	s.mu.Unlock()
	if stoppedEngine != nil {
		stoppedEngine.Close()
	}
	if stoppedService != nil {
		stoppedService.Close()
	}
}

// Close stops all servers.
func (s *Supplier) Close() {
	for _, running := range s.Engines() {
		running.Close()
	}
	for _, running := range s.Services() {
		running.Close()
	}
}

// Engine returns the engine with the name, which may be stopped, or nil.
func (s *Supplier) Engine(name string) *engine.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engines[name]
}

// Engines returns all engines by name, including stopped ones.
func (s *Supplier) Engines() map[string]*engine.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]*engine.Engine, len(s.engines))
	for name, running := range s.engines {
		all[name] = running
	}
	return all
}

// Services returns all services by name, including stopped ones.
func (s *Supplier) Services() map[string]*service.Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]*service.Service, len(s.services))
	for name, running := range s.services {
		all[name] = running
	}
	return all
}
