package lease

import (
	"context"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// NotHeldError reports that this host does not hold the duty. Nothing was sent.
type NotHeldError struct {
	Duty string
}

func (e *NotHeldError) Error() string { return fmt.Sprintf("duty %s is not held by this host", e.Duty) }

// Held returns the grant of a duty if this host holds it now. It has to be called
// immediately before each order; a grant must not be kept for a later one.
func (h *Holder) Held(duty string) (Grant, bool) {
	h.start()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	for _, d := range h.duties {
		if d.Name == duty {
			return d.Held(h.session, now)
		}
	}
	return Grant{}, false
}

// Do calls send if the host holds the duty, with a context that ends no later than the
// lease and lasts Config.OrderTimeout at most. Otherwise it returns a *NotHeldError. The
// timer of the context stops while the machine is suspended, so send should call
// Grant.Check immediately before it sends.
func (h *Holder) Do(ctx context.Context, duty string, send func(context.Context, Grant) error) error {
	grant, ok := h.Held(duty)
	if !ok {
		return &NotHeldError{Duty: duty}
	}
	timeout := min(grant.Until-h.Clock.Now(), h.Config.withDefaults().OrderTimeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if _, ok = h.Held(duty); !ok {
		return &NotHeldError{Duty: duty}
	}
	grant.Clock = h.Clock
	return send(ctx, grant)
}

// IsCandidate reports whether a host is among the count hosts that should contend for a
// duty. Rendezvous hashing selects them, so that the duties spread over the hosts and few
// hosts read the platform's store.
func IsCandidate(duty, self string, hosts []string, count int) bool {
	remaining := slices.Clone(hosts)
	for range min(count, len(hosts)) {
		// The library's Remove fails on the last node, so a new table is built.
		first := rendezvous.New(remaining, xxhash.Sum64String).Lookup(duty)
		if first == self {
			return true
		}
		remaining = slices.DeleteFunc(remaining, func(host string) bool { return host == first })
	}
	return false
}
