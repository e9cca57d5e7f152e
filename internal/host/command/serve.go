package command

import (
	"context"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/identity"
	"github.com/hyssopwall/hyssopwall/internal/host/server"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
	"github.com/hyssopwall/hyssopwall/internal/site/settings"
)

type serveCommand struct {
	Settings string `required:"" type:"existingfile" help:"The settings file of this host."`
}

// Run serves until ctx ends and then stops gracefully.
func (c serveCommand) Run(ctx context.Context) error {
	set, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	log := event.Log{}
	files := identity.Files{Certificate: set.Certificate, Key: set.Key, Authorities: set.Authority}
	source, err := identity.Open(files, time.Now, log)
	if err != nil {
		return err
	}
	if err := identity.Match(source.Host(), identity.Host{Name: set.Host, Zone: set.Zone}); err != nil {
		return err
	}
	running, err := server.Start(server.Config{Settings: set, Identity: source, Log: log})
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-running.Done():
		return &FailedError{Reason: "the host ended by itself"}
	}
	drain, stop := context.WithTimeout(context.WithoutCancel(ctx), set.DrainTimeout.Or(settings.DefaultDrainTimeout))
	defer stop()
	return running.Shutdown(drain)
}
