// Package audit keeps the trail of accepted documents: who had which change
// accepted, and when.
//
// Rules:
//
//  1. The entry of a submission is written before the submission can be
//     accepted, under its version and ID. Every accepted version therefore has
//     its entry, whatever fails afterwards.
//  2. An entry names the submission that it follows. The trail is read from
//     the accepted document backwards, so that entries of submissions that
//     were never accepted are not part of it.
//  3. An entry holds the SHA-256 of its document and of the one before, so
//     that a document from elsewhere can be matched to the trail.
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

// Prefix is the common prefix of the keys of entries.
const Prefix = "document/history/"

// maxEntry is the largest entry in bytes. The changes of a larger one are
// counted and left out.
const maxEntry = 256 << 10

// Entry is what the trail holds of one version. Omitted counts the changes
// that are left out, because they are too large to keep.
type Entry struct {
	Version        uint64    `json:"version"`
	ID             string    `json:"id"`
	PreviousID     string    `json:"before,omitempty"` // ID of the version before
	By             string    `json:"by"`
	At             time.Time `json:"at"`
	Digest         string    `json:"digest"` // SHA-256 of the document in hexadecimal
	PreviousDigest string    `json:"follows,omitempty"`
	Changes        []Change  `json:"changes"`
	Omitted        int       `json:"omitted,omitempty"`
}

// Document is one version of the document. The zero value stands before the
// first.
type Document struct {
	Version uint64
	ID      string
	By      string
	At      time.Time
	Body    []byte
}

// NewEntry returns the entry of a document that follows another. It returns an
// error when a body is no JSON.
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

func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

func keyOf(version uint64, id string) string { return fmt.Sprintf("%s%012d/%s", Prefix, version, id) }

// encode returns the stored form, without the changes when it is too large.
func (e Entry) encode() ([]byte, error) {
	data, err := json.Marshal(e)
	if err != nil || len(data) <= maxEntry {
		return data, err
	}
	e.Omitted, e.Changes = len(e.Changes), []Change{}
	return json.Marshal(e)
}

// Store is the part of the platform's object API that the trail uses.
type Store interface {
	Get(ctx context.Context, key string) (object.Object, error)
	Put(ctx context.Context, key string, value []byte, expect uint64) (object.Object, error)
	Delete(ctx context.Context, key string, expect uint64) error
}

// tries is how often a write of an entry is tried when its outcome is unknown.
const tries = 3

// Write stores an entry (rule 1). An entry that is there already is the one of
// an earlier try.
func Write(ctx context.Context, store Store, entry Entry) error {
	data, err := entry.encode()
	if err != nil {
		return err
	}
	for range tries {
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

// Remove deletes the entry of a submission that was not accepted. One that
// stays after a failure is not part of the trail (rule 2).
func Remove(ctx context.Context, store Store, entry Entry) {
	key := keyOf(entry.Version, entry.ID)
	if found, err := store.Get(ctx, key); err == nil {
		_ = store.Delete(ctx, key, found.Version)
	}
}

// MissingError says that the trail ends before its first version.
type MissingError struct {
	Version uint64
	ID      string
}

func (e *MissingError) Error() string {
	return fmt.Sprintf("the trail has no entry of version %d, submission %s", e.Version, e.ID)
}

// Read returns up to limit entries, the newest first, from the accepted
// version and submission backwards (rule 2). It returns what it has read and a
// *MissingError when the trail is broken.
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
