// Command hyssopwall is a rollout service for reinforcement learning. It contains the
// process that runs on each host and the tools of the operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/hyssopwall/hyssopwall/internal/host/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Run(ctx, os.Args[1:], command.Streams{Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(code)
}
