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

// The kinds of calls by which a duty reaches engines through their homes.
const (
	enginesKind = "engines"
	commandKind = "command"
)

// enginesEvery is how long the list of a fleet's engines is used.
const enginesEvery = 500 * time.Millisecond

// enginesAsk asks a home host for its engines of a model.
type enginesAsk struct {
	Model string `cbor:"1,keyasint"`
}

// Check returns a *wire.FieldError for an ask without a model.
func (a enginesAsk) Check() error {
	if a.Model == "" {
		return &wire.FieldError{Type: "enginesAsk", Field: "Model", Reason: "is empty"}
	}
	return nil
}

// enginesTold lists the engines of a home host.
type enginesTold struct {
	Engines []weights.Engine `cbor:"1,keyasint"`
}

// Check returns a *wire.FieldError for an engine without a name.
func (t enginesTold) Check() error {
	for _, one := range t.Engines {
		if one.Name == "" {
			return &wire.FieldError{Type: "enginesTold", Field: "Engines.Name", Reason: "is empty"}
		}
	}
	return nil
}

// commandCall sends a command to an engine through its home.
type commandCall struct {
	Server  string         `cbor:"1,keyasint"`
	Command engine.Command `cbor:"2,keyasint"`
}

// Check returns a *wire.FieldError for a call without an engine.
func (c commandCall) Check() error {
	if c.Server == "" || c.Command.ID == "" {
		return &wire.FieldError{Type: "commandCall", Field: "Server or Command.ID", Reason: "is empty"}
	}
	return nil
}

// codeRefused marks a command that the engine refused.
const codeRefused = "engine-refused"

// serveEngines answers duties of other hosts.
func (s *Server) serveEngines() {
	link.Serve(s.endpoint, enginesKind, func(_ context.Context, _ identity.Host, a enginesAsk) (enginesTold, error) {
		return enginesTold{Engines: s.ownEngines(a.Model)}, nil
	})
	link.Serve(s.endpoint, commandKind, func(ctx context.Context, _ identity.Host, c commandCall) (reach.None, error) {
		err := s.home.Apply(ctx, c.Server, c.Command)
		if refused, ok := refusal(err); ok {
			return reach.None{}, &link.RemoteError{Code: codeRefused, Message: refused.Code}
		}
		return reach.None{}, err
	})
}

func (s *Server) ownEngines(model string) []weights.Engine {
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

// engines reaches every engine of the fleet through its home host.
type engines struct {
	server *Server

	mu    sync.Mutex
	homes map[string]string // link address of each engine's home, empty for this host
	list  []weights.Engine
	at    time.Time
}

// Engines returns the engines of a model as their homes report them. A home
// that does not answer is left out: its engines go on under what they run.
func (e *engines) Engines(ctx context.Context, model string) ([]weights.Engine, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.at) < enginesEvery {
		return e.list, nil
	}
	e.homes = make(map[string]string)
	e.list = nil
	e.take("", e.server.ownEngines(model))
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
			e.take(address, got.Engines)
		})
	}
	group.Wait()
	e.at = time.Now()
	return e.list, nil
}

// take notes the engines of a home. An engine that two homes name while the
// membership changes is kept once.
func (e *engines) take(address string, list []weights.Engine) {
	for _, one := range list {
		if _, known := e.homes[one.Name]; known {
			continue
		}
		e.homes[one.Name] = address
		e.list = append(e.list, one)
	}
}

// Apply sends a command to an engine through its home.
func (e *engines) Apply(ctx context.Context, name string, command engine.Command) error {
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
	return remoteRefusal(err)
}
