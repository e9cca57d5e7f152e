package lease

import (
	"context"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// NotHeldError says that this host does not hold the duty now. Nothing was
// sent.
type NotHeldError struct {
	Duty string
}

func (e *NotHeldError) Error() string { return fmt.Sprintf("duty %s is not held", e.Duty) }

// Held returns the grant of a duty if this host holds it now. Ask at the last
// moment before each order; a grant must not be kept.
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

// Do checks the duty and, if it is held, calls send at once with a context
// that ends no later than the belief. It returns a *NotHeldError otherwise.
func (h *Holder) Do(ctx context.Context, duty string, send func(context.Context, Grant) error) error {
	grant, ok := h.Held(duty)
	if !ok {
		return &NotHeldError{Duty: duty}
	}
	left := min(grant.Until-h.Clock.Now(), h.Config.filled().OrderTimeout)
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	if _, ok = h.Held(duty); !ok {
		return &NotHeldError{Duty: duty}
	}
	grant.Clock = h.Clock
	return send(ctx, grant)
}

// IsCandidate says whether a host is among the count hosts that should contend
// for a duty, so that the duties spread and few hosts read the platform.
func IsCandidate(duty, self string, hosts []string, count int) bool {
	left := slices.Clone(hosts)
	for range min(count, len(hosts)) {
		// The library's Remove fails on the last node, so a new table is built.
		first := rendezvous.New(left, xxhash.Sum64String).Lookup(duty)
		if first == self {
			return true
		}
		left = slices.DeleteFunc(left, func(host string) bool { return host == first })
	}
	return false
}
