package command

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/identity"
	"github.com/hyssopwall/hyssopwall/internal/host/server"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
	"github.com/hyssopwall/hyssopwall/internal/site/settings"
)

// memoryLimitShare is the share of the host's memory that the Go runtime aims to stay within. The
// rest is for what it does not count, such as the kernel's buffers for connections.
const memoryLimitShare = 0.6

// serveCommand is "serve": it runs the host process.
type serveCommand struct {
	Settings string `required:"" type:"existingfile" help:"The settings file of this host."`
}

// Run serves until ctx is canceled and then drains for at most the time that the settings
// allow. It refuses to start if the certificate is not for the host and zone of the
// settings, and fails if the server stops without being asked to.
func (c serveCommand) Run(ctx context.Context) error {
	config, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(config.MemoryBytes())))
	log := event.Log{}
	files := identity.Files{Certificate: config.Certificate, Key: config.Key, Authorities: config.Authority}
	source, err := identity.Open(files, time.Now, log)
	if err != nil {
		return err
	}
	if err := identity.Match(source.Host(), identity.Host{Name: config.Host, Zone: config.Zone}); err != nil {
		return err
	}
	host, err := server.Start(server.Config{Settings: config, Identity: source, Log: log})
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-host.Done():
		return &FailedError{Reason: "the host stopped unexpectedly"}
	}
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), config.DrainTimeout.Or(settings.DefaultDrainTimeout))
	defer cancel()
	return host.Shutdown(drainCtx)
}
