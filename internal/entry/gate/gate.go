// Package gate authenticates requests: it maps a key to its workspace. It holds
// keys only as SHA-256 digests, replaces its table of keys atomically when a new
// document is accepted, and ends the streams of keys that the new table lacks.
//
// Every method of Gate is safe for concurrent use.
package gate

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// Grant is one key of a workspace. Digest is the SHA-256 of the key in
// hexadecimal; the key itself is never stored.
type Grant struct {
	Workspace string
	KeyID     string
	Digest    string
}

// Rules are the parts of an accepted document from which a Table is built.
type Rules struct {
	Version    uint64 // of the document
	Grants     []Grant
	OpenRoutes []string // routes that admit requests without a key
	// Grace is, by workspace, the time for which its keys stay valid on a host that
	// is cut off from updates. A missing entry means zero.
	Grace map[string]time.Duration
}

// Caller is the workspace and key on whose behalf a request runs. The zero value is
// the anonymous caller of an open route.
type Caller struct {
	Workspace string
	KeyID     string
	digest    [sha256.Size]byte
}

// Anonymous reports whether the caller was admitted by an open route without a key.
func (c Caller) Anonymous() bool { return c.KeyID == "" }

// Table is an immutable index of Rules.
type Table struct {
	Version uint64
	keys    map[uint64][]Caller // by digestPrefix
	open    map[string]bool     // by route
	grace   map[string]time.Duration
}

// GrantError is returned for a grant that can't be used.
type GrantError struct {
	Workspace string
	KeyID     string
	Reason    string
}

func (e *GrantError) Error() string {
	return fmt.Sprintf("key %s of workspace %s %s", e.KeyID, e.Workspace, e.Reason)
}

// NewTable builds the index. It returns a *GrantError when a grant has an empty
// workspace or key identifier, when a digest is malformed, or when two grants have the
// same digest, since a key of two workspaces could run a request for the wrong one. It
// doesn't check that key identifiers are unique.
func NewTable(rules Rules) (*Table, error) {
	t := &Table{
		Version: rules.Version,
		keys:    make(map[uint64][]Caller, len(rules.Grants)),
		open:    make(map[string]bool, len(rules.OpenRoutes)),
		grace:   make(map[string]time.Duration, len(rules.Grace)),
	}
	for _, g := range rules.Grants {
		if err := t.add(g); err != nil {
			return nil, err
		}
	}
	for _, route := range rules.OpenRoutes {
		t.open[route] = true
	}
	for workspace, grace := range rules.Grace {
		t.grace[workspace] = grace
	}
	return t, nil
}

// add adds the key of a grant, or returns a *GrantError.
func (t *Table) add(g Grant) error {
	fail := func(reason string) error {
		return &GrantError{Workspace: g.Workspace, KeyID: g.KeyID, Reason: reason}
	}
	if g.Workspace == "" || g.KeyID == "" {
		return fail("has an empty name")
	}
	raw, err := hex.DecodeString(g.Digest)
	if err != nil || len(raw) != sha256.Size {
		return fail("has a malformed digest")
	}
	caller := Caller{Workspace: g.Workspace, KeyID: g.KeyID, digest: [sha256.Size]byte(raw)}
	if _, ok := t.find(caller.digest); ok {
		return fail("has the digest of another key")
	}
	prefix := digestPrefix(caller.digest)
	t.keys[prefix] = append(t.keys[prefix], caller)
	return nil
}

// digestPrefix returns the first bytes of a digest as an integer.
func digestPrefix(digest [sha256.Size]byte) uint64 { return binary.BigEndian.Uint64(digest[:]) }

// Gate holds the current table and the streams that run under its keys. The zero
// value refuses every request until the first Swap.
type Gate struct {
	table atomic.Pointer[Table]

	mu      sync.Mutex
	lastID  uint64                       // identifier of the last registered stream
	streams map[Caller]map[uint64]func() // functions that end the streams, by identifier
}
