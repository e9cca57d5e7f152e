package usage

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"

	"github.com/hyssopwall/hyssopwall/internal/fleet/commit"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
)

// Keys in the object store.
const (
	StartKey     = "usage/start"    // of the record of the first window
	ReportedKey  = "usage/reported" // of the record of the last window that the platform acknowledged
	WindowPrefix = "usage/window/"  // prefix of the keys of sealed windows
)

// Key returns the key of the window's sealed object.
func (w Window) Key() string { return WindowPrefix + strconv.FormatInt(int64(w), 10) }

// windowRecord is the value stored under StartKey and ReportedKey: a window and the
// process that wrote the record.
type windowRecord struct {
	Window Window `json:"window"`
	Writer string `json:"writer"`
}

// createOnce stores value under key unless the key exists. It returns the value
// that is stored afterwards, which may be another writer's.
func createOnce(ctx context.Context, store object.Store, key, value string) (string, error) {
	_, err := commit.Run(ctx, store, commit.New(key, value, 0))
	var lost *commit.LostError
	if errors.As(err, &lost) {
		return lost.Value, nil
	}
	return value, err
}

// firstWindow returns the first window ever sealed. If none is recorded yet, it
// records open as the first one, unless another host does so before.
func firstWindow(ctx context.Context, store object.Store, writer string, open Window) (Window, error) {
	value, err := json.Marshal(windowRecord{Window: open, Writer: writer})
	if err != nil {
		return 0, err
	}
	stored, err := createOnce(ctx, store, StartKey, string(value))
	if err != nil {
		return 0, err
	}
	var first windowRecord
	err = json.Unmarshal([]byte(stored), &first)
	return first.Window, err
}

// createSealed stores a sealed window unless one exists, and returns the stored
// one. It returns an *object.SizeError when the value is too large.
func createSealed(ctx context.Context, store object.Store, sealed SealedWindow) (SealedWindow, error) {
	value, err := json.Marshal(sealed)
	if err != nil {
		return SealedWindow{}, err
	}
	if len(value) > object.MaxValue {
		return SealedWindow{}, &object.SizeError{Key: sealed.Window.Key(), Size: len(value)}
	}
	stored, err := createOnce(ctx, store, sealed.Window.Key(), string(value))
	if err != nil {
		return SealedWindow{}, err
	}
	return parseSealed([]byte(stored))
}

// parseSealed decodes a stored window.
func parseSealed(value []byte) (SealedWindow, error) {
	var sealed SealedWindow
	err := json.Unmarshal(value, &sealed)
	return sealed, err
}

// readSealed returns a sealed window and whether it exists. A stale read that
// finds none is harmless, since a window is created only if it does not exist.
func readSealed(ctx context.Context, store object.Reader, window Window) (SealedWindow, bool, error) {
	found, err := store.Get(ctx, window.Key())
	var notFound *object.NotFoundError
	if errors.As(err, &notFound) {
		return SealedWindow{}, false, nil
	}
	if err != nil {
		return SealedWindow{}, false, err
	}
	sealed, err := parseSealed(found.Value)
	return sealed, err == nil, err
}

// readReported returns the record of the last acknowledged window and the record's
// version, zero if there is none. After a stale read the sender only repeats
// reports.
func readReported(ctx context.Context, store object.Reader) (windowRecord, uint64, error) {
	found, err := store.Get(ctx, ReportedKey)
	var notFound *object.NotFoundError
	if errors.As(err, &notFound) {
		return windowRecord{}, 0, nil
	}
	if err != nil {
		return windowRecord{}, 0, err
	}
	var last windowRecord
	err = json.Unmarshal(found.Value, &last)
	return last, found.Version, err
}

// writeReported stores the record of the last acknowledged window if the stored one
// still has the given version.
func writeReported(ctx context.Context, store object.Store, next windowRecord, version uint64) error {
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	_, err = commit.Run(ctx, store, commit.New(ReportedKey, string(value), version))
	return err
}
