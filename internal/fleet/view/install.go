package view

import (
	"context"
	"encoding/json"

	"github.com/hyssopwall/hyssopwall/internal/fleet/commit"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
)

// Prefix is the prefix of the keys of all views.
const Prefix = "view/"

// Key returns the key of a shard's view.
func Key(shard string) string { return Prefix + shard }

// Update returns the conditional update that replaces the view from by next.
// A first view replaces the zero View. Rule 1.
func Update(from, next View) (commit.Update, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return commit.Update{}, err
	}
	return commit.New(Key(next.Shard), string(value), from.Version), nil
}

// Install replaces the view from by next and returns next with its version.
// Its errors are those of commit.Run; a *commit.LostError means that another
// view stands, which Parse decodes.
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
