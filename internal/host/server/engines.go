package server

import (
	"context"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/fleet/identity"
	"github.com/hyssopwall/hyssopwall/internal/fleet/link"
	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
	"github.com/hyssopwall/hyssopwall/internal/host/reach"
	"github.com/hyssopwall/hyssopwall/internal/rollout/weights"
)

// The kinds of calls by which the host with the roll-out duty reaches engines through
// their home hosts.
const (
	enginesKind = "engines"
	commandKind = "command"
)

// enginesCacheTTL is how long fleetEngines reuses the list of the fleet's engines.
const enginesCacheTTL = 500 * time.Millisecond

// enginesAsk requests the engines of a model from their home host.
type enginesAsk struct {
	Model string `cbor:"1,keyasint"`
}

// Check returns a *wire.FieldError for a request without a model.
func (a enginesAsk) Check() error {
	if a.Model == "" {
		return &wire.FieldError{Type: "enginesAsk", Field: "Model", Reason: "is empty"}
	}
	return nil
}

// enginesTold is the answer to enginesAsk: the engines of a home host.
type enginesTold struct {
	Engines []weights.Engine `cbor:"1,keyasint"`
}

// Check returns a *wire.FieldError for an engine without a name.
func (t enginesTold) Check() error {
	for _, listed := range t.Engines {
		if listed.Name == "" {
			return &wire.FieldError{Type: "enginesTold", Field: "Engines.Name", Reason: "is empty"}
		}
	}
	return nil
}

// commandCall asks a home host to send a command to one of its engines.
type commandCall struct {
	Server  string         `cbor:"1,keyasint"`
	Command engine.Command `cbor:"2,keyasint"`
}

// Check returns a *wire.FieldError for a call without an engine or a command ID.
func (c commandCall) Check() error {
	if c.Server == "" || c.Command.ID == "" {
		return &wire.FieldError{Type: "commandCall", Field: "Server or Command.ID", Reason: "is empty"}
	}
	return nil
}

// codeRefused is the code of the link error for a command that the engine refused.
const codeRefused = "engine-refused"

// serveEngines answers the calls of other hosts about this host's engines.
func (s *Server) serveEngines() {
	link.Serve(s.endpoint, enginesKind, func(_ context.Context, _ identity.Host, a enginesAsk) (enginesTold, error) {
		return enginesTold{Engines: s.localEngines(a.Model)}, nil
	})
	link.Serve(s.endpoint, commandKind, func(ctx context.Context, _ identity.Host, c commandCall) (reach.None, error) {
		err := s.home.Apply(ctx, c.Server, c.Command)
		if refused, ok := engineRefusal(err); ok {
			return reach.None{}, &link.RemoteError{Code: codeRefused, Message: refused.Code}
		}
		return reach.None{}, err
	})
}

// localEngines returns this host's engines of a model that are not leaving and have
// reported their state.
func (s *Server) localEngines(model string) []weights.Engine {
	var all []weights.Engine
	for _, state := range s.home.Servers() {
		if state.Pool == model && !state.Leaving && state.Boot != "" {
			all = append(all, weights.Engine{
				Name: state.Name, Zone: s.config.Settings.Zone, Version: state.Version, Boot: state.Boot,
				Slots: state.Slots, Running: state.Running,
			})
		}
	}
	return all
}

// fleetEngines lists the engines of one model in the fleet and sends them commands
// through their home hosts. It caches the list without the model's name, so each model
// needs its own.
type fleetEngines struct {
	server *Server

	mu        sync.Mutex
	homes     map[string]string // link address of each engine's home, empty for this host
	cached    []weights.Engine  // valid for enginesCacheTTL from fetchedAt
	fetchedAt time.Time
}

// Engines returns the engines of a model as their home hosts report them. The engines
// of a home that does not answer are left out and keep the version that they run.
func (e *fleetEngines) Engines(ctx context.Context, model string) ([]weights.Engine, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.fetchedAt) < enginesCacheTTL {
		return e.cached, nil
	}
	e.homes = make(map[string]string)
	e.cached = nil
	e.add("", e.server.localEngines(model))
	var answers sync.Mutex
	var group sync.WaitGroup
	for _, peer := range e.server.peers.live(func(*peer) bool { return true }) {
		address := peer.Address
		group.Go(func() {
			ctx, stop := context.WithTimeout(ctx, helloTimeout)
			defer stop()
			got, err := link.Call[enginesAsk, enginesTold](ctx, e.server.endpoint, address, enginesKind, enginesAsk{Model: model})
			if err != nil {
				return
			}
			answers.Lock()
			defer answers.Unlock()
			e.add(address, got.Engines)
		})
	}
	group.Wait()
	e.fetchedAt = time.Now()
	return e.cached, nil
}

// add adds the engines of a home host, with an empty address for this host. An engine
// that two homes report while the membership changes is added once.
func (e *fleetEngines) add(address string, list []weights.Engine) {
	for _, listed := range list {
		if _, known := e.homes[listed.Name]; known {
			continue
		}
		e.homes[listed.Name] = address
		e.cached = append(e.cached, listed)
	}
}

// Apply sends a command to an engine through its home host. It returns an
// *engine.RefusedError with the code "home" if the home is not known.
func (e *fleetEngines) Apply(ctx context.Context, name string, command engine.Command) error {
	e.mu.Lock()
	address, known := e.homes[name]
	e.mu.Unlock()
	switch {
	case !known:
		return &engine.RefusedError{Code: "home"}
	case address == "":
		return e.server.home.Apply(ctx, name, command)
	}
	_, err := link.Call[commandCall, reach.None](ctx, e.server.endpoint, address, commandKind, commandCall{Server: name, Command: command})
	return decodeRefusal(err)
}
