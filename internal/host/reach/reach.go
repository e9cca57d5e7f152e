// Package reach calls a given process of a host. A call to a process that has ended is
// not sent to its successor on the same host.
package reach

import (
	"context"
	"fmt"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/link"
	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// Timeout limits one call.
const Timeout = 2 * time.Second

// Fleet is a view of the processes of the fleet and their addresses.
type Fleet interface {
	// Member returns the latest known process of a host, false if the host is unknown.
	Member(host string) (view.Member, bool)
	// Address returns the link address of a live host.
	Address(host string) (string, bool)
}

// Caller makes calls from the process Self to other processes.
type Caller struct {
	Self     view.Member
	Endpoint *link.Endpoint
	Fleet    Fleet
}

// UnreachableError reports that a process is not live. Nothing was sent.
type UnreachableError struct {
	Member view.Member
}

func (e *UnreachableError) Error() string { return fmt.Sprintf("%s can't be reached", e.Member) }

// Alive reports whether a process is live; this one always is.
func (c Caller) Alive(member view.Member) bool {
	if member == c.Self {
		return true
	}
	_, ok := c.address(member)
	return ok
}

// address returns the link address of a live process. It returns false if its host runs
// another process or is not live.
func (c Caller) address(member view.Member) (string, bool) {
	now, known := c.Fleet.Member(member.Host)
	address, live := c.Fleet.Address(member.Host)
	return address, known && live && now == member
}

// Call sends a request to a process and waits for its answer. It returns a
// *UnreachableError when the process is not live, and the errors of link.Call. The caller
// must handle a request to c.Self itself: Fleet need not know the address of c.Self.
func Call[Q, A wire.Message](ctx context.Context, c Caller, to view.Member, kind string, q Q) (A, error) {
	address, ok := c.address(to)
	if !ok {
		var zero A
		return zero, &UnreachableError{Member: to}
	}
	ctx, stop := context.WithTimeout(ctx, Timeout)
	defer stop()
	return link.Call[Q, A](ctx, c.Endpoint, address, kind, q)
}

// None is an empty answer.
type None struct{}

// Check accepts every answer.
func (None) Check() error { return nil }
