package spread

import (
	"context"

	"github.com/hyssopwall/hyssopwall/internal/platform/object"
)

// DigestError reports that a stored document does not match the digest in its
// record.
type DigestError struct {
	ID string
}

func (e *DigestError) Error() string {
	return "document " + e.ID + " does not match its digest"
}

// Get reads the accepted document from the platform, for a process that is not a
// host. It returns the zero value if no document was accepted yet.
func Get(ctx context.Context, store object.Reader) (Accepted, error) {
	record, _, err := read(ctx, store)
	if err != nil || record.Version == 0 {
		return Accepted{}, err
	}
	if accepted, ok := record.Resolve(Accepted{}); ok {
		return accepted, nil
	}
	return readBody(ctx, store, record)
}

// readBody reads a large document from its own object.
func readBody(ctx context.Context, store object.Reader, record Record) (Accepted, error) {
	found, err := store.Get(ctx, BodyKey(record.ID))
	if err != nil {
		return Accepted{}, err
	}
	accepted, ok := record.with(found.Value)
	if !ok {
		return Accepted{}, &DigestError{ID: record.ID}
	}
	return accepted, nil
}
