package gate

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"time"
)

// The reasons of a RefusedError.
const (
	ReasonMissing  = "missing"   // the request has no key
	ReasonUnknown  = "unknown"   // no grant has the key's digest
	ReasonCutOff   = "cut off"   // the host received no updates for longer than the grace
	ReasonNotReady = "not ready" // the host has no accepted document
)

// RefusedError is the refusal of a request before any work. It contains no part of
// the key.
type RefusedError struct {
	Reason string
}

func (e *RefusedError) Error() string { return fmt.Sprintf("key refused: %s", e.Reason) }

// Check returns the caller that a key belongs to, or a *RefusedError.
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

// CheckRoute is Check for a request of a route. On an open route, it admits a
// request without a valid key as the anonymous caller.
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

// CheckGrace returns a *RefusedError if this host has received no updates since
// cutOff and the grace of the caller's workspace has run out, or if it has no table
// yet. A zero cutOff means that the host is not cut off. Once there is a table,
// anonymous callers are admitted, because they have no key that could be withdrawn.
func (g *Gate) CheckGrace(caller Caller, cutOff, now time.Time) error {
	t := g.table.Load()
	switch {
	case t == nil:
		return &RefusedError{Reason: ReasonNotReady}
	case caller.Anonymous() || t.withinGrace(caller.Workspace, cutOff, now):
		return nil
	}
	return &RefusedError{Reason: ReasonCutOff}
}

// Version returns the version of the current table, zero before the first.
func (g *Gate) Version() uint64 {
	if t := g.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// Withdrawn returns the callers of t that are not in next. A key identifier whose
// digest changed counts as withdrawn, since its old key is no longer valid.
func (t *Table) Withdrawn(next *Table) []Caller {
	var withdrawn []Caller
	for _, callers := range t.keys {
		for _, caller := range callers {
			if !next.isValid(caller) {
				withdrawn = append(withdrawn, caller)
			}
		}
	}
	return withdrawn
}

// withinGrace reports whether the keys of a workspace are still valid on a host
// without updates since cutOff.
func (t *Table) withinGrace(workspace string, cutOff, now time.Time) bool {
	return cutOff.IsZero() || now.Sub(cutOff) < t.grace[workspace]
}

// isValid reports whether the caller's key still has the same identifier in the same
// workspace. It returns true for an anonymous caller, whether or not a route is open.
func (t *Table) isValid(caller Caller) bool {
	if caller.Anonymous() {
		return true
	}
	current, ok := t.find(caller.digest)
	return ok && current == caller
}

// find returns the caller with a digest. The map, whose hash seed is random and
// secret, narrows the search to digests with the same prefix. The whole digest is
// then compared in constant time, so that the time taken reveals nothing about
// stored digests.
func (t *Table) find(digest [sha256.Size]byte) (Caller, bool) {
	for _, caller := range t.keys[digestPrefix(digest)] {
		if subtle.ConstantTimeCompare(caller.digest[:], digest[:]) == 1 {
			return caller, true
		}
	}
	return Caller{}, false
}

// FindKey returns the caller of a key by its identifier, for requests that another
// host admitted. It returns a *RefusedError when the key is not known or there is no
// table yet. Identifiers are expected to be unique within a workspace.
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
