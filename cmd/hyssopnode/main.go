// Command hyssopnode runs a host on the operators' platform. Package platform translates
// between the platform's protocols and the types of hyssopwall's packages.
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
