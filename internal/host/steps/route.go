package steps

import (
	"context"
	"errors"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/identity"
	"github.com/hyssopwall/hyssopwall/internal/fleet/link"
	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
	"github.com/hyssopwall/hyssopwall/internal/host/api"
	"github.com/hyssopwall/hyssopwall/internal/rollout/step"
)

// stepCall is a call about a step that runs at the step's owner.
type stepCall[A wire.Message] interface {
	wire.Message
	kind() string
	// serve runs the call on this host, which first becomes the owner if it is not.
	serve(ctx context.Context, s *Steps) (A, error)
}

// callOwner runs a call on this host if it owns the step, and otherwise on the owner named
// in the step's object. This host becomes the owner of a step that does not exist yet or
// whose owner is not live.
func callOwner[A wire.Message](ctx context.Context, s *Steps, id step.ID, call stepCall[A]) (A, error) {
	var none A
	if _, ok := s.ownedStep(id); ok {
		return call.serve(ctx, s)
	}
	owner, err := s.ownerOf(ctx, id)
	if err != nil {
		return none, err
	}
	address, live := s.config.Fleet.Address(owner)
	if owner == "" || owner == s.config.Host || !live {
		return call.serve(ctx, s)
	}
	answer, err := callPeer(ctx, s, address, call)
	if err == nil {
		return answer, nil
	}
	s.cacheOwner(id, "")
	return none, fromRemoteError(err)
}

// callPeer sends a call to another host.
func callPeer[A wire.Message](ctx context.Context, s *Steps, address string, call stepCall[A]) (A, error) {
	return link.Call[stepCall[A], A](ctx, s.config.Endpoint, address, call.kind(), call)
}

// ownerOf returns the host that owns a step, empty for none. It caches the owner, so that
// calls about a step with a cached owner work during a platform outage.
func (s *Steps) ownerOf(ctx context.Context, id step.ID) (string, error) {
	s.mu.Lock()
	cached := s.owners[id]
	s.mu.Unlock()
	if cached != "" {
		if _, live := s.config.Fleet.Address(cached); live {
			return cached, nil
		}
	}
	stored, err := s.config.Store.Get(ctx, id.Key())
	if isNotFound(err) {
		return "", nil
	}
	if err != nil {
		return "", s.apiError(id, err)
	}
	state, err := wire.Decode[step.State](stored.Value)
	if err != nil {
		return "", err
	}
	s.cacheOwner(id, state.Owner)
	return state.Owner, nil
}

// toRemoteError returns the error to send to the host that made a call.
func toRemoteError(err error) error {
	var failure *api.Error
	if errors.As(err, &failure) {
		return &link.RemoteError{Code: string(failure.Code), Message: failure.Message}
	}
	return err
}

// fromRemoteError returns the caller's error for a failed call to another host.
func fromRemoteError(err error) error {
	var remote *link.RemoteError
	if errors.As(err, &remote) && remote.Code != link.CodeInternal {
		return &api.Error{Code: api.Code(remote.Code), Message: remote.Message, Ran: api.RanNo, RetrySafe: true, RetryAfter: time.Second}
	}
	return api.RefuseFor(api.Unreachable, "the host that owns the step can't be reached", time.Second)
}

// serve registers the handlers for calls of other hosts.
func (s *Steps) serve() {
	serveCall[*openCall](s)
	serveCall[*pullCall](s)
	serveCall[*statusCall](s)
	s.copies.serve()
}

// serveCall registers the handler for one kind of call.
func serveCall[Q stepCall[A], A wire.Message](s *Steps) {
	var zero Q
	link.Serve(s.config.Endpoint, zero.kind(), func(ctx context.Context, _ identity.Host, q Q) (A, error) {
		answer, err := q.serve(ctx, s)
		return answer, toRemoteError(err)
	})
}
