// Command hyssopnode runs a host as a node of the operators' platform.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/hyssopwall/hyssopwall/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := platform.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
