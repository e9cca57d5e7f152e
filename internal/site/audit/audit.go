// Package audit stores the audit trail of accepted documents: who submitted which
// change, and when.
//
// Rules:
//
//  1. The entry of a submission is written under its version and ID before the
//     submission can be accepted. Every accepted version therefore has an
//     entry, whatever fails afterwards.
//  2. An entry contains the ID of the submission before it. The trail is read
//     backwards from the accepted document, so that entries of submissions that
//     were never accepted are not part of it.
//  3. An entry contains the SHA-256 of its document and of the one before, so
//     that a copy of a document can be matched to the trail.
package audit

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/platform/object"
)

// Prefix is the prefix of the store keys of entries.
const Prefix = "document/history/"

// maxEntryBytes is the maximum size of a stored entry. A larger one is stored without
// its changes, with their number in Omitted.
const maxEntryBytes = 256 << 10

// Entry describes one version in the trail. Omitted is the number of changes that are
// left out because the entry would be too large.
type Entry struct {
	Version        uint64    `json:"version"`
	ID             string    `json:"id"`
	PreviousID     string    `json:"before,omitempty"` // ID of the previous version
	By             string    `json:"by"`
	At             time.Time `json:"at"`
	Digest         string    `json:"digest"` // SHA-256 of the document in hexadecimal
	PreviousDigest string    `json:"follows,omitempty"`
	Changes        []Change  `json:"changes"`
	Omitted        int       `json:"omitted,omitempty"`
}

// Document is one version of the document, submitted by By at the time At. ID is the ID of
// that submission, and Body the text in HuJSON. The zero value is the predecessor of the
// first version.
type Document struct {
	Version uint64
	ID      string
	By      string
	At      time.Time
	Body    []byte
}

// NewEntry returns the entry of next, the successor of previous. It returns an error if
// a body is not valid HuJSON.
func NewEntry(next, previous Document) (Entry, error) {
	changes, err := Diff(previous.Body, next.Body)
	if err != nil {
		return Entry{}, err
	}
	entry := Entry{
		Version: next.Version, ID: next.ID, PreviousID: previous.ID, By: next.By, At: next.At.UTC(),
		Digest: digest(next.Body), Changes: changes,
	}
	if previous.Version > 0 {
		entry.PreviousDigest = digest(previous.Body)
	}
	return entry, nil
}

// digest returns the SHA-256 of body in hexadecimal.
func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// keyOf returns the store key of an entry.
func keyOf(version uint64, id string) string { return fmt.Sprintf("%s%012d/%s", Prefix, version, id) }

// encode encodes the entry for the store, without its changes if it is too large.
func (e Entry) encode() ([]byte, error) {
	data, err := json.Marshal(e)
	if err != nil || len(data) <= maxEntryBytes {
		return data, err
	}
	e.Omitted, e.Changes = len(e.Changes), []Change{}
	return json.Marshal(e)
}

// Store is the part of the platform's object API that this package uses.
type Store interface {
	Get(ctx context.Context, key string) (object.Object, error)
	Put(ctx context.Context, key string, value []byte, expect uint64) (object.Object, error)
	Delete(ctx context.Context, key string, expect uint64) error
}

// writeAttempts is the number of attempts to write an entry while the outcome of each
// is unknown.
const writeAttempts = 3

// Write stores an entry (rule 1). An existing entry of the same version and ID was
// written by an earlier attempt.
func Write(ctx context.Context, store Store, entry Entry) error {
	data, err := entry.encode()
	if err != nil {
		return err
	}
	for range writeAttempts {
		_, err = store.Put(ctx, keyOf(entry.Version, entry.ID), data, 0)
		var conflict *object.ConflictError
		var unknown *object.UnknownError
		if errors.As(err, &conflict) {
			return nil
		}
		if !errors.As(err, &unknown) {
			return err
		}
	}
	return err
}

// Remove deletes the entry of a submission that was not accepted. Errors are ignored,
// since a leftover entry is not part of the trail (rule 2).
func Remove(ctx context.Context, store Store, entry Entry) {
	key := keyOf(entry.Version, entry.ID)
	if found, err := store.Get(ctx, key); err == nil {
		_ = store.Delete(ctx, key, found.Version)
	}
}

// MissingError reports that the trail has a gap: the entry of a version does not exist.
type MissingError struct {
	Version uint64
	ID      string
}

func (e *MissingError) Error() string {
	return fmt.Sprintf("the trail has no entry of version %d, submission %s", e.Version, e.ID)
}

// Read returns up to limit entries, none if limit is zero, newest first, starting at the
// accepted version and its submission ID (rule 2). If an entry is missing, it returns the
// entries read so far and a *MissingError.
func Read(ctx context.Context, store interface {
	Get(ctx context.Context, key string) (object.Object, error)
}, version uint64, id string, limit int,
) ([]Entry, error) {
	trail := []Entry{}
	for ; version > 0 && len(trail) < limit; version-- {
		found, err := store.Get(ctx, keyOf(version, id))
		var missing *object.NotFoundError
		if errors.As(err, &missing) {
			return trail, &MissingError{Version: version, ID: id}
		}
		if err != nil {
			return trail, err
		}
		var entry Entry
		if err := json.Unmarshal(found.Value, &entry); err != nil {
			return trail, fmt.Errorf("entry of version %d: %w", version, err)
		}
		trail = append(trail, entry)
		id = entry.PreviousID
	}
	return trail, nil
}
