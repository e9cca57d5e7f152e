package command

import (
	"context"
	"fmt"
	"os"

	"github.com/hyssopwall/hyssopwall/internal/host/server"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/site/document"
)

type submitCommand struct {
	output
	File     string `arg:"" type:"existingfile" help:"The document."`
	Platform string `required:"" help:"Address of the platform, http://IP:port."`
	By       string `required:"" help:"Who submits it, for the audit trail."`
	Base     uint64 `help:"Version that the document was made from; without it, the one accepted now."`
}

// submitted is what submit shows.
type submitted struct {
	Version uint64 `json:"version"`
}

// Run checks the document and submits it.
func (c submitCommand) Run(ctx context.Context, streams Streams) error {
	body, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	if _, err := document.Decode(c.File, body); err != nil {
		return err
	}
	store := &object.Client{Base: c.Platform}
	base := c.Base
	if base == 0 {
		current, err := server.Accepted(ctx, store)
		if err != nil {
			return err
		}
		base = current.Version
	}
	version, err := server.Submit(ctx, store, c.By, base, body)
	if err != nil {
		return err
	}
	return c.show(streams, submitted{Version: version}, func() error {
		_, err := fmt.Fprintf(streams.Out, "accepted as version %d\n", version)
		return err
	})
}
