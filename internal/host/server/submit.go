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

// Submit validates a document, records it in the audit trail and has it accepted as the
// version after base, which it returns. It returns a *form.ProblemsError for an invalid
// document, and the errors of spread.Accept. The audit entry of a document that was
// certainly not accepted is removed; it stays when the outcome is unknown.
func Submit(ctx context.Context, store object.Store, by string, base uint64, body []byte) (uint64, error) {
	if _, err := document.Decode("document", body); err != nil {
		return 0, err
	}
	previous, err := readBase(ctx, store, base)
	if err != nil {
		return 0, err
	}
	next := spread.Accepted{Version: base + 1, By: by, At: time.Now(), ID: uuid.NewString(), Body: body}
	entry, err := audit.NewEntry(auditDocument(next), auditDocument(previous))
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

// auditDocument returns a document in the form of the audit trail.
func auditDocument(a spread.Accepted) audit.Document {
	return audit.Document{Version: a.Version, ID: a.ID, By: a.By, At: a.At, Body: a.Body}
}

// basePollInterval is the wait before another read of the accepted document when the
// platform returned a lower version than the operator has already seen.
const basePollInterval = 200 * time.Millisecond

// readBase waits until the accepted document has at least version base. It returns the
// document if its version is base, and a *spread.ConflictError if it is higher.
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
		case <-time.After(basePollInterval):
		}
	}
}
