package usage

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"

	"github.com/hyssopwall/hyssopwall/internal/fleet/commit"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
)

// Keys of the objects.
const (
	StartKey     = "usage/start"    // the first window
	ReportedKey  = "usage/reported" // the last window that was acknowledged
	WindowPrefix = "usage/window/"
)

// Key returns the key of a window's sealed object.
func (w Window) Key() string { return WindowPrefix + strconv.FormatInt(int64(w), 10) }

type mark struct {
	Window Window `json:"window"`
	Writer string `json:"writer"`
}

// settle writes value where nothing stands and returns what stands then, its
// own or another's value.
func settle(ctx context.Context, store object.Store, key, value string) (string, error) {
	_, err := commit.Run(ctx, store, commit.New(key, value, 0))
	var lost *commit.LostError
	if errors.As(err, &lost) {
		return lost.Value, nil
	}
	return value, err
}

// start returns the first window, agreeing on it if there is none.
func start(ctx context.Context, store object.Store, writer string, open Window) (Window, error) {
	value, err := json.Marshal(mark{Window: open, Writer: writer})
	if err != nil {
		return 0, err
	}
	stands, err := settle(ctx, store, StartKey, string(value))
	if err != nil {
		return 0, err
	}
	var first mark
	err = json.Unmarshal([]byte(stands), &first)
	return first.Window, err
}

// create stores a sealed window and returns the one that stands.
func create(ctx context.Context, store object.Store, sealed SealedWindow) (SealedWindow, error) {
	value, err := json.Marshal(sealed)
	if err != nil {
		return SealedWindow{}, err
	}
	if len(value) > object.MaxValue {
		return SealedWindow{}, &object.SizeError{Key: sealed.Window.Key(), Size: len(value)}
	}
	stands, err := settle(ctx, store, sealed.Window.Key(), string(value))
	if err != nil {
		return SealedWindow{}, err
	}
	return parse([]byte(stands))
}

func parse(value []byte) (SealedWindow, error) {
	var sealed SealedWindow
	err := json.Unmarshal(value, &sealed)
	return sealed, err
}

// read returns a sealed window. An old read that finds none is harmless, since
// the window is created only where nothing stands.
func read(ctx context.Context, store object.Reader, window Window) (SealedWindow, bool, error) {
	found, err := store.Get(ctx, window.Key())
	var missing *object.NotFoundError
	if errors.As(err, &missing) {
		return SealedWindow{}, false, nil
	}
	if err != nil {
		return SealedWindow{}, false, err
	}
	sealed, err := parse(found.Value)
	return sealed, err == nil, err
}

// reported returns the last acknowledged window and the version of its mark. An
// old read only makes the sender repeat reports.
func reported(ctx context.Context, store object.Reader) (mark, uint64, error) {
	found, err := store.Get(ctx, ReportedKey)
	var missing *object.NotFoundError
	if errors.As(err, &missing) {
		return mark{}, 0, nil
	}
	if err != nil {
		return mark{}, 0, err
	}
	var last mark
	err = json.Unmarshal(found.Value, &last)
	return last, found.Version, err
}

func acknowledge(ctx context.Context, store object.Store, next mark, version uint64) error {
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	_, err = commit.Run(ctx, store, commit.New(ReportedKey, string(value), version))
	return err
}
