package server

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/hyssopwall/hyssopwall/internal/fleet/spread"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/site/audit"
	"github.com/hyssopwall/hyssopwall/internal/site/document"
)

// Submit checks a document, writes it into the audit trail and puts it in
// force as the version after base. It returns a *form.ProblemsError for a
// document that is not sound, and the errors of spread.Accept.
func Submit(ctx context.Context, store object.Store, by string, base uint64, body []byte) (uint64, error) {
	if _, err := document.Decode("document", body); err != nil {
		return 0, err
	}
	previous, err := readBase(ctx, store, base)
	if err != nil {
		return 0, err
	}
	next := spread.Accepted{Version: base + 1, By: by, At: time.Now(), ID: uuid.NewString(), Body: body}
	entry, err := audit.NewEntry(trailOf(next), trailOf(previous))
	if err != nil {
		return 0, err
	}
	if err := audit.Write(ctx, store, entry); err != nil {
		return 0, err
	}
	accepted, err := spread.Accept(ctx, store, spread.Submission{
		By: by, At: next.At, Base: base, Body: body, ID: next.ID, Previous: previous,
	})
	var unknown *spread.OutcomeError
	if err != nil && !errors.As(err, &unknown) {
		audit.Remove(ctx, store, entry)
	}
	return accepted.Version, err
}

func trailOf(a spread.Accepted) audit.Document {
	return audit.Document{Version: a.Version, ID: a.ID, By: a.By, At: a.At, Body: a.Body}
}

// basePause is the wait before the platform is asked again for a version that
// the operator has seen already.
const basePause = 200 * time.Millisecond

// readBase returns the accepted document when its version is base, and a
// *spread.ConflictError when it is higher.
func readBase(ctx context.Context, store object.Store, base uint64) (spread.Accepted, error) {
	for {
		current, err := spread.Get(ctx, store)
		if err != nil || current.Version == base {
			return current, err
		}
		if current.Version > base {
			return current, &spread.ConflictError{Base: base, Have: current.Version, By: current.By}
		}
		select {
		case <-ctx.Done():
			return current, context.Cause(ctx)
		case <-time.After(basePause):
		}
	}
}
