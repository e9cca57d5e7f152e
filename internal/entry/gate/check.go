package gate

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"time"
)

// The reasons of a RefusedError.
const (
	ReasonMissing  = "missing"   // the request came without a key
	ReasonUnknown  = "unknown"   // no grant has the key's digest
	ReasonCutOff   = "cut off"   // the host has been without news for longer than the grace
	ReasonNotReady = "not ready" // the host knows no accepted document
)

// RefusedError says why a request was refused before any work. It holds
// nothing of the key.
type RefusedError struct {
	Reason string
}

func (e *RefusedError) Error() string { return fmt.Sprintf("key refused: %s", e.Reason) }

// Check returns the caller that the key belongs to, or a *RefusedError.
func (g *Gate) Check(key string) (Caller, error) {
	t := g.table.Load()
	switch {
	case t == nil:
		return Caller{}, &RefusedError{Reason: ReasonNotReady}
	case key == "":
		return Caller{}, &RefusedError{Reason: ReasonMissing}
	}
	caller, ok := t.find(sha256.Sum256([]byte(key)))
	if !ok {
		return Caller{}, &RefusedError{Reason: ReasonUnknown}
	}
	return caller, nil
}

// CheckRoute is Check for a route: an open route admits a request without a
// valid key as the anonymous caller.
func (g *Gate) CheckRoute(route, key string) (Caller, error) {
	caller, err := g.Check(key)
	if err == nil {
		return caller, nil
	}
	if t := g.table.Load(); t != nil && t.open[route] {
		return Caller{}, nil
	}
	return Caller{}, err
}

// CheckGrace refuses a caller whose workspace's grace has run out on a host
// that has had no news since cutOff. A zero cutOff means that the host is not
// cut off. Anonymous callers have no key to withdraw and pass.
func (g *Gate) CheckGrace(caller Caller, cutOff, now time.Time) error {
	t := g.table.Load()
	switch {
	case t == nil:
		return &RefusedError{Reason: ReasonNotReady}
	case caller.Anonymous() || t.inGrace(caller.Workspace, cutOff, now):
		return nil
	}
	return &RefusedError{Reason: ReasonCutOff}
}

// Version returns the version of the table in force, zero before the first.
func (g *Gate) Version() uint64 {
	if t := g.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// Withdrawn returns the callers of t that next lacks. A key identifier whose
// digest changed counts as withdrawn: its old key no longer works.
func (t *Table) Withdrawn(next *Table) []Caller {
	var gone []Caller
	for _, callers := range t.keys {
		for _, caller := range callers {
			if !next.holds(caller) {
				gone = append(gone, caller)
			}
		}
	}
	return gone
}

func (t *Table) inGrace(workspace string, cutOff, now time.Time) bool {
	return cutOff.IsZero() || now.Sub(cutOff) < t.grace[workspace]
}

// holds says whether the caller's key still belongs to the same workspace.
func (t *Table) holds(caller Caller) bool {
	if caller.Anonymous() {
		return true
	}
	held, ok := t.find(caller.digest)
	return ok && held == caller
}

// find looks a digest up. The map narrows the search by the first bytes of the
// digest, under Go's secret map seed; the whole digest is then compared in
// constant time, so that the time taken tells nothing about stored digests.
func (t *Table) find(digest [sha256.Size]byte) (Caller, bool) {
	for _, caller := range t.keys[slotOf(digest)] {
		if subtle.ConstantTimeCompare(caller.digest[:], digest[:]) == 1 {
			return caller, true
		}
	}
	return Caller{}, false
}

// FindKey returns the caller of a known key by its name, for work that another
// host admitted. It returns a *RefusedError when the key is not known.
func (g *Gate) FindKey(workspace, keyID string) (Caller, error) {
	t := g.table.Load()
	if t == nil {
		return Caller{}, &RefusedError{Reason: ReasonNotReady}
	}
	for _, callers := range t.keys {
		for _, caller := range callers {
			if caller.Workspace == workspace && caller.KeyID == keyID {
				return caller, nil
			}
		}
	}
	return Caller{}, &RefusedError{Reason: ReasonUnknown}
}
