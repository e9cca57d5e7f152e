package view

import (
	"context"
	"encoding/json"

	"github.com/hyssopwall/hyssopwall/internal/fleet/commit"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
)

// Prefix is the prefix of the keys of all view objects.
const Prefix = "view/"

// Key returns the key of a shard's view object.
func Key(shard string) string { return Prefix + shard }

// Update returns the conditional update that replaces the view from by next
// (rule 1). For the first view of a shard, from is the zero View. Next isn't
// checked; the error is that of its encoding.
func Update(from, next View) (commit.Update, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return commit.Update{}, err
	}
	return commit.New(Key(next.Shard), string(value), from.Version), nil
}

// Install replaces the view from by next in the store and returns next with its
// object version. Its errors are those of commit.Run. A *commit.LostError
// contains the view that is installed instead, to be decoded by Parse.
func Install(ctx context.Context, store object.Store, from, next View) (View, error) {
	update, err := Update(from, next)
	if err != nil {
		return View{}, err
	}
	version, err := commit.Run(ctx, store, update)
	if err != nil {
		return View{}, err
	}
	next.Version = version
	return next, nil
}
