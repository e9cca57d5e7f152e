package command

import (
	"context"
	"fmt"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/spread"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/site/audit"
)

// documentCommand groups the commands that show the accepted document.
type documentCommand struct {
	Log  logCommand  `cmd:"" help:"Show the accepted changes and who submitted them, newest first."`
	Show showCommand `cmd:"" help:"Print the accepted document as it was submitted."`
}

// logCommand is "document log": the audit trail of the document.
type logCommand struct {
	output
	Platform string `required:"" help:"Address of the platform, http://IP:port."`
	Last     int    `default:"20" help:"Number of versions to show."` // at least 1
}

// Run reads the audit trail backwards from the accepted document. If an entry can't be
// read, it shows the newer ones and then fails.
func (c logCommand) Run(ctx context.Context, streams Streams) error {
	if c.Last < 1 {
		return &usageError{reason: "--last must be 1 or more"}
	}
	store := &object.Client{Base: c.Platform}
	accepted, err := spread.Get(ctx, store)
	if err != nil {
		return err
	}
	trail, readErr := audit.Read(ctx, store, accepted.Version, accepted.ID, c.Last)
	if err := c.show(streams, trail, func() error { return writeTrail(streams, trail) }); err != nil {
		return err
	}
	return readErr
}

// writeTrail writes the entries as text, each with its changes.
func writeTrail(streams Streams, trail []audit.Entry) error {
	for _, entry := range trail {
		_, _ = fmt.Fprintf(streams.Out, "version %d  %s  by %s\n", entry.Version, entry.At.Format(time.RFC3339), entry.By)
		for _, change := range entry.Changes {
			_, _ = fmt.Fprintf(streams.Out, "  %s: %s\n", change.Field, describeChange(change))
		}
		if entry.Omitted > 0 {
			_, _ = fmt.Fprintf(streams.Out, "  %d changes, too large to keep\n", entry.Omitted)
		}
	}
	return nil
}

// describeChange returns the old and new value of a changed field, or the one value of
// an added or removed field.
func describeChange(change audit.Change) string {
	switch {
	case change.From == nil:
		return "added " + string(change.To)
	case change.To == nil:
		return "removed " + string(change.From)
	default:
		return string(change.From) + " -> " + string(change.To)
	}
}

// showCommand is "document show".
type showCommand struct {
	Platform string `required:"" help:"Address of the platform, http://IP:port."`
}

// Run prints the accepted document, byte for byte as it was submitted.
func (c showCommand) Run(ctx context.Context, streams Streams) error {
	accepted, err := spread.Get(ctx, &object.Client{Base: c.Platform})
	if err != nil {
		return err
	}
	if accepted.Version == 0 {
		return &FailedError{Reason: "no document has been accepted yet"}
	}
	_, err = streams.Out.Write(accepted.Body)
	return err
}
