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

// stepCall is a call about a step: it runs at the step's owner.
type stepCall[A wire.Message] interface {
	wire.Message
	kind() string
	// serve runs the call at this host, which becomes the owner when it is not.
	serve(ctx context.Context, s *Steps) (A, error)
}

// callOwner runs a call here when this host owns the step, and otherwise at the
// owner that the step's object names. A step whose owner is gone, or that does
// not exist yet, is taken by this host.
func callOwner[A wire.Message](ctx context.Context, s *Steps, id step.ID, call stepCall[A]) (A, error) {
	var none A
	if _, ok := s.mine(id); ok {
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
	answer, err := ask(ctx, s, address, call)
	if err == nil {
		return answer, nil
	}
	s.learn(id, "")
	return none, fromPeer(err)
}

func ask[A wire.Message](ctx context.Context, s *Steps, address string, call stepCall[A]) (A, error) {
	return link.Call[stepCall[A], A](ctx, s.config.Endpoint, address, call.kind(), call)
}

// ownerOf returns the host that owns a step, empty for none. It remembers what
// it read, so that a platform outage does not stop calls about known steps.
func (s *Steps) ownerOf(ctx context.Context, id step.ID) (string, error) {
	s.mu.Lock()
	known := s.owners[id]
	s.mu.Unlock()
	if known != "" {
		if _, live := s.config.Fleet.Address(known); live {
			return known, nil
		}
	}
	stored, err := s.config.Store.Get(ctx, id.Key())
	if isMissing(err) {
		return "", nil
	}
	if err != nil {
		return "", s.refused(id, err)
	}
	state, err := wire.Decode[step.State](stored.Value)
	if err != nil {
		return "", err
	}
	s.learn(id, state.Owner)
	return state.Owner, nil
}

// toPeer turns an error of a call into what crosses the link.
func toPeer(err error) error {
	var failure *api.Error
	if errors.As(err, &failure) {
		return &link.RemoteError{Code: string(failure.Code), Message: failure.Message}
	}
	return err
}

func fromPeer(err error) error {
	var remote *link.RemoteError
	if errors.As(err, &remote) && remote.Code != link.CodeInternal {
		return &api.Error{Code: api.Code(remote.Code), Message: remote.Message, Ran: api.RanNo, RetrySafe: true, RetryAfter: time.Second}
	}
	return api.RefuseFor(api.Unreachable, "the host that owns the step can't be reached", time.Second)
}

// serve answers the calls of other hosts.
func (s *Steps) serve() {
	serveCall[*openCall](s)
	serveCall[*pullCall](s)
	serveCall[*lookCall](s)
	s.copies.serve()
}

func serveCall[Q stepCall[A], A wire.Message](s *Steps) {
	var zero Q
	link.Serve(s.config.Endpoint, zero.kind(), func(ctx context.Context, _ identity.Host, q Q) (A, error) {
		answer, err := q.serve(ctx, s)
		return answer, toPeer(err)
	})
}
