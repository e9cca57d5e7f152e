// Package gate decides for which workspace a request may run. It knows keys
// only as SHA-256 digests, replaces its table atomically when a new document
// is in force, and ends the streams of keys that the new table lacks.
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

// Rules are the parts of an accepted document that the gate needs. Version is
// that of the document. Grace maps a workspace to the time for which its keys
// work on a host that is cut off from news; a missing entry means zero.
type Rules struct {
	Version    uint64
	Grants     []Grant
	OpenRoutes []string
	Grace      map[string]time.Duration
}

// Caller names whom a request runs for. The zero value is the anonymous caller
// of an open route.
type Caller struct {
	Workspace string
	KeyID     string
	digest    [sha256.Size]byte
}

// Anonymous says whether the caller came without a key through an open route.
func (c Caller) Anonymous() bool { return c.KeyID == "" }

// Table is an immutable index of the rules.
type Table struct {
	Version uint64
	keys    map[uint64][]Caller
	open    map[string]bool
	grace   map[string]time.Duration
}

// GrantError says which grant of the rules can't be used and why.
type GrantError struct {
	Workspace string
	KeyID     string
	Reason    string
}

func (e *GrantError) Error() string {
	return fmt.Sprintf("key %s of workspace %s %s", e.KeyID, e.Workspace, e.Reason)
}

// NewTable builds the index. It returns a *GrantError when a digest is
// malformed or two grants share a digest, since a key that names two
// workspaces could run a request for the wrong one.
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

func (t *Table) add(g Grant) error {
	fail := func(reason string) error {
		return &GrantError{Workspace: g.Workspace, KeyID: g.KeyID, Reason: reason}
	}
	if g.Workspace == "" || g.KeyID == "" {
		return fail("lacks a name")
	}
	raw, err := hex.DecodeString(g.Digest)
	if err != nil || len(raw) != sha256.Size {
		return fail("has a malformed digest")
	}
	caller := Caller{Workspace: g.Workspace, KeyID: g.KeyID, digest: [sha256.Size]byte(raw)}
	if _, ok := t.find(caller.digest); ok {
		return fail("has the digest of another key")
	}
	slot := slotOf(caller.digest)
	t.keys[slot] = append(t.keys[slot], caller)
	return nil
}

func slotOf(digest [sha256.Size]byte) uint64 { return binary.BigEndian.Uint64(digest[:]) }

// Gate holds the table in force and the streams that run under its keys. The
// zero value admits nobody until the first Swap.
type Gate struct {
	table atomic.Pointer[Table]

	mu      sync.Mutex
	next    uint64
	streams map[Caller]map[uint64]func()
}
