// Command hyssopstand runs stand-ins (simulators) for the systems around hyssopwall: the
// platform, engines, services, the weight store, trainers and a load generator.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/hyssopwall/hyssopwall/internal/standin/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
