package command

import (
	"context"
	"fmt"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/spread"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/site/audit"
)

type documentCommand struct {
	Log  logCommand  `cmd:"" help:"Show who had which changes accepted, the newest first."`
	Show showCommand `cmd:"" help:"Print the accepted document as it was submitted."`
}

type logCommand struct {
	output
	Platform string `required:"" help:"Address of the platform, http://IP:port."`
	Last     int    `default:"20" help:"Number of versions to show."`
}

// Run reads the audit trail from the accepted document backwards.
func (c logCommand) Run(ctx context.Context, streams Streams) error {
	if c.Last < 1 {
		return &usageError{reason: "--last must be 1 or more"}
	}
	store := &object.Client{Base: c.Platform}
	accepted, err := spread.Get(ctx, store)
	if err != nil {
		return err
	}
	trail, broken := audit.Read(ctx, store, accepted.Version, accepted.ID, c.Last)
	if err := c.show(streams, trail, func() error { return writeTrail(streams, trail) }); err != nil {
		return err
	}
	return broken
}

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

type showCommand struct {
	Platform string `required:"" help:"Address of the platform, http://IP:port."`
}

// Run prints the accepted document.
func (c showCommand) Run(ctx context.Context, streams Streams) error {
	accepted, err := spread.Get(ctx, &object.Client{Base: c.Platform})
	if err != nil {
		return err
	}
	if accepted.Version == 0 {
		return &FailedError{Reason: "no document was accepted yet"}
	}
	_, err = streams.Out.Write(accepted.Body)
	return err
}
